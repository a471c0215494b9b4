use adapter::{Key, Row, Rows};
use base::FastMap;
use serde::de::DeserializeOwned;
use succession::{DaemonRecord, DutyRecord, LeadRecord};

/// Table of this project's rows in the store.
pub(crate) const TABLE: &str = "corianderwharf";
const DUTY: &str = "duty";
const LEAD: &str = "lead/";
const DAEMON: &str = "daemon/";

/// This project's rows as last read.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// Version of the newest row, 0 before anything was read.
    pub(crate) version: u64,
    pub(crate) known: bool,
    pub(crate) duty: Option<(DutyRecord, u64)>,
    pub(crate) leads: FastMap<String, (LeadRecord, u64)>,
    pub(crate) daemons: FastMap<String, (DaemonRecord, u64)>,
    /// Newest version seen of each row, dropped ones too.
    versions: FastMap<String, u64>,
}

/// What a row is about.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Changed {
    Duty,
    Lead(String),
    Daemons,
}

impl Ledger {
    /// Place of the duty's row.
    pub(crate) fn duty_key() -> Key<'static> {
        Key { table: TABLE, key: DUTY }
    }

    /// Key of the row that says who is primary of a group.
    pub(crate) fn lead_key(group: &str) -> String {
        format!("{LEAD}{group}")
    }

    /// Key of a daemon's row.
    pub(crate) fn daemon_key(vm: &str) -> String {
        format!("{DAEMON}{vm}")
    }

    /// Takes rows in; what changed by them.
    pub(crate) fn take_in(&mut self, rows: &Rows, whole: bool) -> Vec<Changed> {
        let mut changed = Vec::new();
        for row in &rows.rows {
            self.take_row(row, &mut changed);
        }
        if whole {
            self.known = true;
            self.drop_missing(rows, &mut changed);
        }
        changed
    }

    fn take_row(&mut self, row: &Row, changed: &mut Vec<Changed>) {
        let seen = self.versions.entry(row.key.clone()).or_default();
        if *seen >= row.version {
            return;
        }
        *seen = row.version;
        self.version = self.version.max(row.version);
        let (value, version) = (row.value.as_deref(), row.version);
        if row.key == DUTY {
            self.duty = decode(&row.key, value).map(|duty| (duty, version));
            changed.push(Changed::Duty);
        } else if let Some(group) = row.key.strip_prefix(LEAD) {
            put(&mut self.leads, group, decode(&row.key, value), version);
            changed.push(Changed::Lead(group.to_owned()));
        } else if let Some(vm) = row.key.strip_prefix(DAEMON) {
            put(&mut self.daemons, vm, decode(&row.key, value), version);
            changed.push(Changed::Daemons);
        }
    }

    /// Drops daemons that a whole reading lacks. Other rows are never dropped.
    fn drop_missing(&mut self, rows: &Rows, changed: &mut Vec<Changed>) {
        let before = self.daemons.len();
        self.daemons.retain(|vm, (_, version)| {
            let key = Ledger::daemon_key(vm);
            *version > rows.version || rows.rows.iter().any(|row| row.key == key)
        });
        if self.daemons.len() < before {
            changed.push(Changed::Daemons);
        }
    }
}

fn put<T>(map: &mut FastMap<String, (T, u64)>, key: &str, value: Option<T>, version: u64) {
    match value {
        Some(value) => map.insert(key.to_owned(), (value, version)),
        None => map.remove(key),
    };
}

fn decode<T: DeserializeOwned>(key: &str, value: Option<&[u8]>) -> Option<T> {
    match serde_json::from_slice(value?) {
        Ok(record) => Some(record),
        Err(error) => {
            logs::error(&format!("row {key:?} of this project cannot be read: {error}"));
            None
        }
    }
}
