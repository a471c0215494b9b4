use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::Time;

use crate::clock::now;

/// What the members have been asked to do, for tests. Clones share the record.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity {
    record: Arc<Mutex<Record>>,
}

#[derive(Debug, Default)]
struct Record {
    /// Connections that each member accepts.
    max_conns: u32,
    connections: BTreeMap<String, Connections>,
    /// The last loss of power: when it was, and until when the connections from before it count.
    loss: Option<(Time, Time)>,
    /// Members of connections that have ended but still count, and until when.
    held: Vec<(String, Time)>,
    statements: Vec<RunStatement>,
}

/// Connections to a member.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Connections {
    /// Connections that are open.
    pub open: u32,
    /// Most connections that were open at the same time.
    pub peak: u32,
    /// Connections refused because the limit was reached.
    pub refused: u32,
    /// Number of connections opened so far, by the name under which they were opened.
    pub opened: BTreeMap<String, u64>,
}

/// A caller's statement that a member has run, or a statement for its session or transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RunStatement {
    /// Identifier of the request that it belongs to.
    pub request: String,
    /// Name under which its connection was opened.
    pub organisation: String,
    /// Member that ran it.
    pub member: String,
    /// When it had run, on the stand-in's clock.
    pub at: Time,
    /// Whether it is an operation by itself or begins a transaction.
    pub begins_operation: bool,
}

/// An open connection to a member, which counts until this value is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    activity: Activity,
    member: String,
    opened_at: Time,
}

impl Activity {
    /// Sets the number of connections that each member accepts.
    pub(crate) fn set_max_conns(&self, max_conns: u32) {
        self.lock().max_conns = max_conns;
    }

    /// Counts the connections that are open now until `until`, also if they end before. The members
    /// of a platform do not notice at once that a VM has lost power.
    pub(crate) fn hold_until(&self, until: Time) {
        self.lock().loss = Some((now(), until));
    }

    /// Records a connection to a member; `None` if the member has reached its limit.
    pub(crate) fn open(&self, member: &str, name: &str) -> Option<OpenConnection> {
        let mut record = self.lock();
        record.drop_held();
        let max_conns = record.max_conns;
        let connections = record.connections.entry(member.to_owned()).or_default();
        if connections.open >= max_conns {
            connections.refused += 1;
            return None;
        }
        connections.open += 1;
        connections.peak = connections.peak.max(connections.open);
        *connections.opened.entry(name.to_owned()).or_insert(0) += 1;
        Some(OpenConnection { activity: self.clone(), member: member.to_owned(), opened_at: now() })
    }

    pub(crate) fn record(&self, statement: RunStatement) {
        self.lock().statements.push(statement);
    }

    pub(crate) fn statements(&self) -> Vec<RunStatement> {
        self.lock().statements.clone()
    }

    pub(crate) fn connections(&self) -> BTreeMap<String, Connections> {
        let mut record = self.lock();
        record.drop_held();
        record.connections.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Record {
    /// Ends the counting of connections that members need not hold any longer.
    fn drop_held(&mut self) {
        let now = now();
        let Record { connections, held, .. } = self;
        held.retain(|(member, until)| {
            let is_held = now < *until;
            if !is_held && let Some(connections) = connections.get_mut(member) {
                connections.open -= 1;
            }
            is_held
        });
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut record = self.activity.lock();
        if let Some((at, until)) = record.loss
            && self.opened_at < at
            && now() < until
        {
            record.held.push((std::mem::take(&mut self.member), until));
        } else if let Some(connections) = record.connections.get_mut(&self.member) {
            connections.open -= 1;
        }
    }
}
