use rusqlite::types::Value;
use wire::{Conn, CopyDone, CopyInResponse, CopyOutResponse, WireError, tags};

use crate::member::{
    engine,
    error::SqlError,
    log_entry::LoggedStatement,
    response::{self, Columns},
    session::{FLUSH_ABOVE_BYTES, MAX_FRAME_BYTES, Session},
};

impl Session {
    /// Runs `COPY ... FROM STDIN`: inserts the rows once the client has sent all of them.
    pub(crate) async fn copy_in(
        &mut self,
        table: &str,
        columns: &[String],
    ) -> Result<Result<(), SqlError>, WireError> {
        let width = match self.copy_column_count(table, columns) {
            Ok(width) => width,
            Err(error) => return Ok(Err(error)),
        };
        let placeholders: Vec<String> = (1..=width).map(|place| format!("${place}")).collect();
        let names =
            if columns.is_empty() { String::new() } else { format!("({})", columns.join(",")) };
        let sql = format!("INSERT INTO {table}{names} VALUES ({})", placeholders.join(","));
        self.conn.queue(&CopyInResponse::new(0, width as i16, vec![0; width]));
        self.conn.flush().await?;
        let mut text = Vec::new();
        loop {
            let frame = self.conn.read_frame(MAX_FRAME_BYTES).await?;
            match frame.tag {
                tags::COPY_DATA => text.extend_from_slice(frame.body()),
                tags::COPY_DONE => break,
                tags::COPY_FAIL => {
                    return Ok(Err(SqlError::new("57014", "COPY given up by the caller")));
                }
                _ => {}
            }
        }
        Ok(self.load(&sql, &text).await)
    }

    pub(crate) fn copy_column_count(
        &self,
        table: &str,
        columns: &[String],
    ) -> Result<usize, SqlError> {
        self.check_term()?;
        let names = if columns.is_empty() { "*".to_owned() } else { columns.join(",") };
        Ok(self.db.prepare(&format!("SELECT {names} FROM {table}"))?.column_count())
    }

    /// Inserts the lines of a COPY text with the statement `sql`, and queues the command tag.
    pub(crate) async fn load(&mut self, sql: &str, text: &[u8]) -> Result<(), SqlError> {
        self.ensure_transaction(sql).await?;
        let text = String::from_utf8_lossy(text);
        let mut count = 0;
        for line in text.lines().filter(|line| *line != "\\.") {
            let params: Vec<Value> = line.split('\t').map(copy_value).collect();
            let mut prepared = self.db.prepare_cached(sql)?;
            engine::bind(&mut prepared, &params)?;
            prepared.raw_execute()?;
            if let Some(transaction) = &mut self.transaction {
                transaction.logged.push(LoggedStatement { sql: sql.to_owned(), params });
            }
            count += 1;
        }
        response::queue_complete(&mut self.conn, &format!("COPY {count}"));
        Ok(())
    }

    /// Runs `COPY ... TO STDOUT` with the rows of `query`.
    pub(crate) async fn copy_out(
        &mut self,
        query: &str,
    ) -> Result<Result<(), SqlError>, WireError> {
        if let Err(error) = self.check_term() {
            return Ok(Err(error));
        }
        if let Err(error) = self.ensure_transaction(query).await {
            return Ok(Err(error));
        }
        let prepared = self.db.prepare(query);
        let mut prepared = match prepared {
            Ok(prepared) => prepared,
            Err(error) => return Ok(Err(error.into())),
        };
        let oids = Columns::from_statement(&prepared).oids;
        self.conn.queue(&CopyOutResponse::new(0, oids.len() as i16, vec![0; oids.len()]));
        let mut rows = prepared.raw_query();
        let mut count = 0;
        loop {
            match rows.next() {
                Ok(Some(row)) => queue_copy_row(&mut self.conn, row, oids.len()),
                Ok(None) => break,
                Err(error) => return Ok(Err(error.into())),
            }
            count += 1;
            if self.conn.queued() > FLUSH_ABOVE_BYTES {
                self.conn.flush().await?;
            }
        }
        self.conn.queue(&CopyDone::new());
        response::queue_complete(&mut self.conn, &format!("COPY {count}"));
        Ok(Ok(()))
    }
}

fn copy_value(text: &str) -> Value {
    if text == "\\N" { Value::Null } else { Value::Text(text.to_owned()) }
}

fn queue_copy_row(conn: &mut Conn, row: &rusqlite::Row<'_>, width: usize) {
    let cells = (0..width).map(|index| match row.get_ref(index) {
        Ok(rusqlite::types::ValueRef::Null) | Err(_) => "\\N".to_owned(),
        Ok(rusqlite::types::ValueRef::Integer(number)) => number.to_string(),
        Ok(rusqlite::types::ValueRef::Real(number)) => number.to_string(),
        Ok(rusqlite::types::ValueRef::Text(bytes) | rusqlite::types::ValueRef::Blob(bytes)) => {
            String::from_utf8_lossy(bytes).into_owned()
        }
    });
    let line = format!("{}\n", cells.collect::<Vec<_>>().join("\t"));
    conn.queue(&wire::CopyData::new(line.into()));
}
