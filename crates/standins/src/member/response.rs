use bytes::BytesMut;
use rusqlite::types::ValueRef;
use wire::{CommandComplete, Conn, DataRow, FieldDescription, RowDescription};

use crate::member::{error::SqlError, values};

/// Names and types of a result's columns.
#[derive(Clone, Debug)]
pub(crate) struct Columns {
    pub(crate) names: Vec<String>,
    /// Type OIDs of the columns.
    pub(crate) oids: Vec<u32>,
}

impl Columns {
    /// Columns of a statement that has not run yet. The type of a column without a declared type
    /// is derived from its name.
    pub(crate) fn from_statement(prepared: &rusqlite::Statement<'_>) -> Columns {
        let columns = prepared.columns();
        let oids = columns.iter().map(|column| match column.decl_type() {
            Some(declaration) => values::oid_of_declaration(declaration),
            None => values::oid_of_expression(column.name()),
        });
        let oids = oids.collect();
        let names = columns.iter().map(|column| column.name().to_owned()).collect();
        Columns { names, oids }
    }

    /// Columns of type text with these names.
    pub(crate) fn text(names: &[&str]) -> Columns {
        Columns {
            names: names.iter().map(|&name| name.to_owned()).collect(),
            oids: vec![values::oid::TEXT; names.len()],
        }
    }

    /// Builds the `RowDescription` message, with the result formats of a bind message.
    pub(crate) fn description(&self, formats: &[i16]) -> RowDescription {
        let fields = self.names.iter().zip(&self.oids).enumerate().map(|(index, (name, &oid))| {
            FieldDescription::new(name.clone(), 0, 0, oid, -1, -1, format_code(formats, index))
        });
        RowDescription::new(fields.collect())
    }
}

/// Format code of the column or parameter at `index`. As in the bind message, no code stands for
/// text and a single code for all of them.
pub(crate) fn format_code(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        several => several.get(index).copied().unwrap_or(0),
    }
}

/// Queues a `DataRow` of text values.
pub(crate) fn queue_text_row(conn: &mut Conn, cells: &[&str]) {
    let mut data = BytesMut::new();
    for cell in cells {
        values::put_field(&mut data, ValueRef::Text(cell.as_bytes()), values::oid::TEXT, 0);
    }
    conn.queue(&DataRow::new(data, cells.len() as i16));
}

/// Queues a row of the engine as a `DataRow`.
pub(crate) fn queue_row(
    conn: &mut Conn,
    row: &rusqlite::Row<'_>,
    oids: &[u32],
    formats: &[i16],
) -> Result<(), SqlError> {
    let mut data = BytesMut::new();
    for (index, &oid) in oids.iter().enumerate() {
        let value = row.get_ref(index)?;
        values::put_field(&mut data, value, oid, format_code(formats, index));
    }
    conn.queue(&DataRow::new(data, oids.len() as i16));
    Ok(())
}

/// Queues the `CommandComplete` of a statement.
pub(crate) fn queue_complete(conn: &mut Conn, tag: &str) {
    conn.queue(&CommandComplete::new(tag.to_owned()));
}

/// Builds the command tag of a statement, from the rows that it returned and changed.
pub(crate) fn tag(sql: &str, returned: u64, changed: u64) -> String {
    let mut words = sql.split_whitespace().map(str::to_uppercase);
    let first = words.next().unwrap_or_default();
    match first.as_str() {
        "INSERT" => format!("INSERT 0 {changed}"),
        "UPDATE" | "DELETE" => format!("{first} {changed}"),
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {returned}"),
        _ => {
            let second = words.next().unwrap_or_default();
            format!("{first} {second}").trim().to_owned()
        }
    }
}
