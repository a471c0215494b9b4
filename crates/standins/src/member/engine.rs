use std::rc::Rc;

use base::Position;
use rusqlite::{Connection, OpenFlags, types::Value};

use crate::member::{error::SqlError, log_entry::LoggedStatement};

/// An in-memory SQLite database, shared by the connections of a member.
#[derive(Debug)]
pub(crate) struct Engine {
    uri: String,
    writer: Rc<Connection>,
    generation: u64,
}

impl Engine {
    /// Creates an empty database. `name` and `generation` together must be unique in the process,
    /// as connections share a database by its name.
    pub(crate) fn new(name: &str, generation: u64) -> Engine {
        let uri = format!("file:{name}-{generation}?mode=memory&cache=shared");
        let writer = Rc::new(open(&uri));
        Engine { uri, writer, generation }
    }

    /// Number of times that the member's database was rebuilt.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Opens a connection for a session.
    pub(crate) fn connection(&self) -> Connection {
        open(&self.uri)
    }

    /// Applies a replicated transaction, or nothing of it.
    pub(crate) fn apply(&self, statements: &[LoggedStatement]) -> Result<(), SqlError> {
        self.writer.execute_batch("BEGIN IMMEDIATE")?;
        for statement in statements {
            if let Err(error) = self.apply_statement(statement) {
                let _ = self.writer.execute_batch("ROLLBACK");
                return Err(error);
            }
        }
        self.writer.execute_batch("COMMIT")?;
        Ok(())
    }

    fn apply_statement(&self, statement: &LoggedStatement) -> Result<(), SqlError> {
        let mut prepared = self.writer.prepare_cached(&statement.sql)?;
        bind(&mut prepared, &statement.params)?;
        let mut rows = prepared.raw_query();
        while rows.next()?.is_some() {}
        Ok(())
    }
}

/// Binds the parameters `$1`, `$2` and so on. Values without a parameter are ignored.
pub(crate) fn bind(
    prepared: &mut rusqlite::Statement<'_>,
    params: &[Value],
) -> Result<(), SqlError> {
    for (index, value) in params.iter().enumerate() {
        let name = format!("${}", index + 1);
        if let Some(place) = prepared.parameter_index(&name)? {
            prepared.raw_bind_parameter(place, value)?;
        }
    }
    Ok(())
}

/// Whether an error means that another connection's transaction holds a lock.
pub(crate) fn is_busy(error: &rusqlite::Error) -> bool {
    use rusqlite::ffi::ErrorCode;
    matches!(error.sqlite_error_code(), Some(ErrorCode::DatabaseLocked | ErrorCode::DatabaseBusy))
}

/// Position of the next entry of `term` in a log that ends at `end`.
pub(crate) fn next_position(term: base::Term, end: Position) -> Position {
    Position { term, index: end.index + 1 }
}

fn open(uri: &str) -> Connection {
    let flags = OpenFlags::SQLITE_OPEN_READ_WRITE
        | OpenFlags::SQLITE_OPEN_CREATE
        | OpenFlags::SQLITE_OPEN_URI
        | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    Connection::open_with_flags(uri, flags).expect("cannot open an in-memory database")
}
