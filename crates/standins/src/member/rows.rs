use std::time::Duration;

use rusqlite::{Connection, types::Value};
use wire::{Conn, WireError};

use crate::member::{
    engine,
    error::SqlError,
    response::{self, Columns},
    session::FLUSH_ABOVE_BYTES,
    values,
};

/// Runs a statement and sends its rows while they are read. `formats` is `None` in the simple
/// query protocol, where the columns are described before the first row. The outer error
/// breaks the connection, the inner one is reported to the client.
pub(crate) async fn run(
    db: &Connection,
    conn: &mut Conn,
    sql: &str,
    params: &[Value],
    formats: Option<&[i16]>,
) -> Result<Result<(), SqlError>, WireError> {
    let result = send_rows(db, conn, sql, params, formats).await;
    match result {
        Ok(tag) => {
            response::queue_complete(conn, &tag);
            Ok(Ok(()))
        }
        Err(RunError::Sql(error)) => Ok(Err(error)),
        Err(RunError::Wire(error)) => Err(error),
    }
}

enum RunError {
    Sql(SqlError),
    Wire(WireError),
}

impl<E: Into<SqlError>> From<E> for RunError {
    fn from(error: E) -> RunError {
        RunError::Sql(error.into())
    }
}

async fn send_rows(
    db: &Connection,
    conn: &mut Conn,
    sql: &str,
    params: &[Value],
    formats: Option<&[i16]>,
) -> Result<String, RunError> {
    let mut prepared = db.prepare_cached(sql)?;
    let mut columns = Columns::from_statement(&prepared);
    let width = columns.oids.len();
    engine::bind(&mut prepared, params)?;
    let described = formats.is_some();
    let formats = formats.unwrap_or_default();
    let readonly = prepared.readonly();
    let mut rows = prepared.raw_query();
    let mut returned = 0;
    while let Some(row) = rows.next()? {
        if returned == 0 && width > 0 && !described {
            infer_column_types(&mut columns, row);
            conn.queue(&columns.description(&[]));
        }
        response::queue_row(conn, row, &columns.oids, formats)?;
        returned += 1;
        if conn.queued() > FLUSH_ABOVE_BYTES {
            conn.flush().await.map_err(RunError::Wire)?;
            // Lets other tasks run.
            monoio::time::sleep(Duration::ZERO).await;
        }
    }
    if returned == 0 && width > 0 && !described {
        conn.queue(&columns.description(&[]));
    }
    let changed = if readonly { 0 } else { db.changes() };
    Ok(response::tag(sql, returned, changed))
}

/// Sets the types of text columns from the values of the first row. Most expressions count as text
/// as well, because they have no declared type.
fn infer_column_types(columns: &mut Columns, row: &rusqlite::Row<'_>) {
    for index in 0..columns.oids.len() {
        if columns.oids[index] != values::oid::TEXT {
            continue;
        }
        if let Ok(value) = row.get_ref(index) {
            columns.oids[index] = values::oid_of_value(value);
        }
    }
}
