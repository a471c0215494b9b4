use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use adapter::{Code, Statement, Verb, format_position, split_after_clause};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpStream, tcp},
};

use super::{
    activity::{Activity, RunStatement},
    group::{Group, Refusal},
};
use crate::clock::now;

/// Item that reads as the session's settings, so that tests can check them.
const SETTINGS_ITEM: &str = "values";
/// Text of a statement that the member discards when it is prepared, so that executing it
/// fails with `NOSTMT`.
const DISCARDED_STATEMENT: &str = "forgotten";

/// Serves one connection of the line protocol to a member.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) service: String,
    pub(crate) id: String,
    pub(crate) group: Arc<Mutex<Group>>,
    activity: Activity,
    /// Name under which the connection was opened.
    organisation: String,
    /// Writes of the open transaction; `None` outside a transaction.
    transaction: Option<Vec<(String, String)>>,
    session_settings: BTreeMap<String, String>,
    /// Verbs of the prepared statements by name.
    names: BTreeMap<String, Verb>,
}

/// Rows of a result, and whether its `COMPLETE` line carries the member's signature, as it does
/// for data statements and COMMIT.
type QueryResult = Result<(Vec<String>, bool), Code>;

impl Session {
    pub(crate) fn new(
        service: String,
        id: String,
        group: Arc<Mutex<Group>>,
        activity: Activity,
    ) -> Session {
        let (session_settings, names) = (BTreeMap::new(), BTreeMap::new());
        Session {
            service,
            id,
            group,
            activity,
            organisation: String::new(),
            transaction: None,
            session_settings,
            names,
        }
    }

    /// Serves the connection until the other side closes it or breaks the protocol.
    pub(crate) async fn serve(mut self, stream: TcpStream) {
        let (rx, mut tx) = stream.into_split();
        let mut lines = BufReader::new(rx).lines();
        let Ok(Some(startup)) = lines.next_line().await else { return };
        let words: Vec<_> = startup.split(' ').collect();
        let wrong_member = words.get(3).is_some_and(|id| *id != self.id);
        if words.get(1) != Some(&self.service.as_str()) || wrong_member {
            return send(&mut tx, "ERROR MISROUTED another member\r\n").await;
        }
        self.organisation = words.get(2).copied().unwrap_or_default().to_owned();
        let Some(_open) = self.activity.open(&self.id, &self.organisation) else {
            return send(&mut tx, "ERROR TOOMANY connections\r\n").await;
        };
        send(&mut tx, &self.ready()).await;
        while let Ok(Some(line)) = lines.next_line().await {
            let mut words = line.splitn(3, ' ');
            let (Some("QUERY"), Some(request), Some(text)) =
                (words.next(), words.next(), words.next())
            else {
                return;
            };
            let is_single = self.transaction.is_none();
            let result = self.run(request, text);
            self.record(request, text, is_single, &result);
            if self.group().is_stopped(&self.id) {
                return;
            }
            let result = format!("{}{}", self.format(result), self.ready());
            send(&mut tx, &result).await;
        }
    }

    fn group(&self) -> std::sync::MutexGuard<'_, Group> {
        let mut group = self.group.lock().unwrap_or_else(PoisonError::into_inner);
        group.advance(now());
        group
    }

    fn ready(&self) -> String {
        let state = if self.transaction.is_some() { "T" } else { "I" };
        format!("READY {state} {}\r\n", format_position(self.group().position(&self.id)))
    }

    fn format(&self, result: QueryResult) -> String {
        match result {
            Ok((rows, signed)) => {
                let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                let signature = if signed { format!("{}.sig", self.id) } else { "-".to_owned() };
                format!("{rows}COMPLETE {signature}\r\n")
            }
            Err(code) => format!("ERROR {} {}\r\n", code.as_str(), self.id),
        }
    }

    /// Records a statement unless it was refused or the proxy sent it for itself.
    fn record(&self, request: &str, text: &str, is_single: bool, result: &QueryResult) {
        if !matches!(result, Ok(_) | Err(Code::InDoubt)) {
            return;
        }
        let begins_operation = match Statement::parse(split_after_clause(text).1) {
            Some(Statement::Begin { .. }) => true,
            Some(Statement::Data(_) | Statement::Execute { .. }) => is_single,
            Some(_) => false,
            None => return,
        };
        self.activity.record(RunStatement {
            request: request.to_owned(),
            organisation: self.organisation.clone(),
            member: self.id.clone(),
            at: now(),
            begins_operation,
        });
    }

    fn run(&mut self, request: &str, text: &str) -> QueryResult {
        let (after, text) = split_after_clause(text);
        if after.is_some() {
            self.group().check(&self.id, after, false).map_err(code)?;
        }
        let mut words = text.split(' ');
        match (words.next(), words.next()) {
            (Some("STATUS"), _) => return Ok((vec![self.status()], false)),
            (Some("STEPDOWN"), term) => {
                let term = term.and_then(|term| term.parse().ok()).ok_or(Code::Malformed)?;
                self.group().step_down(&self.id, term);
                return Ok((vec![self.status()], false));
            }
            (Some("RESET"), None) => {
                (self.transaction, self.session_settings, self.names) = Default::default();
                return Ok((Vec::new(), false));
            }
            _ => {}
        }
        match Statement::parse(text).ok_or(Code::Malformed)? {
            Statement::Begin { read_only } => {
                self.group().check(&self.id, None, !read_only).map_err(code)?;
                self.transaction = Some(Vec::new());
            }
            Statement::Rollback => self.transaction = None,
            Statement::Commit => {
                let writes = self.transaction.take().unwrap_or_default();
                if !writes.is_empty() {
                    self.commit(request, writes)?;
                }
                return Ok((Vec::new(), true));
            }
            Statement::Set { name, value } => {
                self.session_settings.insert(name.to_owned(), value.to_owned());
            }
            Statement::Prepare { name, statement } if statement.text != DISCARDED_STATEMENT => {
                self.names.insert(name.to_owned(), statement.verb);
            }
            Statement::Prepare { .. } => {}
            Statement::Deallocate { name } => {
                self.names.remove(name);
            }
            Statement::Execute { name, arguments } => {
                let verb = *self.names.get(name).ok_or(Code::NoStatement)?;
                return self.run_data(request, verb, arguments);
            }
            Statement::Data(verb) => {
                let (_, arguments) = text.split_once(' ').unwrap_or_default();
                return self.run_data(request, verb, arguments);
            }
        }
        Ok((Vec::new(), false))
    }

    fn run_data(&mut self, request: &str, verb: Verb, arguments: &str) -> QueryResult {
        let (item, value) = arguments.split_once(' ').unwrap_or((arguments, ""));
        if verb == Verb::Fetch {
            let value = match item {
                SETTINGS_ITEM => format!("{:?}", self.session_settings),
                item => self.group().read(&self.id, item).unwrap_or_default().to_owned(),
            };
            return Ok((vec![value], true));
        }
        let write = (item.to_owned(), value.to_owned());
        if self.transaction.is_some() {
            self.group().check(&self.id, None, true).map_err(code)?;
        }
        match &mut self.transaction {
            Some(writes) => writes.push(write),
            None => self.commit(request, vec![write])?,
        }
        Ok((Vec::new(), true))
    }

    fn commit(&self, request: &str, writes: Vec<(String, String)>) -> Result<(), Code> {
        self.group().commit(now(), &self.id, request, writes).map_err(code)
    }

    fn status(&self) -> String {
        let group = self.group();
        let role = if group.is_primary(&self.id) { "primary" } else { "replica" };
        let (term, received) = (group.term(&self.id), group.received_position(&self.id));
        format!("{role} {term} {} 0 0 0 1", format_position(received))
    }
}

fn code(refusal: Refusal) -> Code {
    match refusal {
        Refusal::ReadOnly => Code::ReadOnly,
        Refusal::Lagging => Code::Lagging,
        // Never sent: the session of a stopped member ends without an answer.
        Refusal::Stopped => Code::Busy,
        Refusal::Unconfirmed => Code::InDoubt,
    }
}

async fn send(tx: &mut tcp::OwnedWriteHalf, text: &str) {
    // An error means that the other side has closed the connection; the next read ends the session.
    let _ = tx.write_all(text.as_bytes()).await;
}
