use std::{rc::Rc, time::Instant};

use base::Position;
use rusqlite::types::Value;

/// A committed transaction in a member's log.
#[derive(Clone, Debug)]
pub(crate) struct LogEntry {
    /// Term and index in the log.
    pub(crate) position: Position,
    /// When the primary committed it.
    pub(crate) committed_at: Instant,
    /// Its writing statements, in the order in which they ran. Empty for the entry with which a
    /// primary opens its term.
    pub(crate) statements: Rc<[LoggedStatement]>,
}

/// A writing statement, replicated by its text.
#[derive(Clone, Debug)]
pub(crate) struct LoggedStatement {
    /// Text in the dialect of the SQL engine.
    pub(crate) sql: String,
    /// Values of its parameters.
    pub(crate) params: Vec<Value>,
}
