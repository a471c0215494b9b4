use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::PlatformError;

/// A row of the platform's store, with its value decoded from JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Row {
    /// Key of the row within the table.
    pub key: String,
    /// Version of the store at which the row was last written; 0 if the row does not exist.
    pub version: u64,
    /// JSON value; null if the row was deleted.
    pub value: Value,
}

/// Rows as of one revision of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Rows {
    /// Revision of the store that the rows reflect.
    pub revision: u64,
    /// The rows, deleted ones included if the caller asked for changes.
    pub rows: Vec<Row>,
    /// Whether these are all rows, so that those that are missing do not exist.
    pub complete: bool,
}

/// Precondition of a write: the version that a row must have.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Condition {
    /// Key of the row that is checked.
    pub key: String,
    /// Version that the row must have; 0 means that the row must not exist.
    pub version: u64,
}

/// A row to insert or replace.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Write {
    /// Key of the row that is written.
    pub key: String,
    /// New JSON value.
    pub value: Value,
}

impl TryFrom<adapter::Row> for Row {
    type Error = PlatformError;

    fn try_from(row: adapter::Row) -> Result<Row, PlatformError> {
        let adapter::Row { key, value, version } = row;
        let value = value.map(|bytes| serde_json::from_slice(&bytes)).transpose()?;
        Ok(Row { key, version, value: value.unwrap_or_default() })
    }
}

impl Row {
    /// Decodes the value into a record type.
    pub fn record<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        Ok(serde_json::from_value(self.value.clone())?)
    }
}

/// Decodes rows and leaves out those that cannot be decoded, which are logged: one that another
/// writer has left must not hide the others.
pub(crate) fn decode_readable<T>(
    rows: Vec<adapter::Row>,
    decode: impl Fn(adapter::Row) -> Result<T, PlatformError>,
) -> Vec<T> {
    let mut decoded = Vec::with_capacity(rows.len());
    for row in rows {
        let key = row.key.clone();
        match decode(row) {
            Ok(row) => decoded.push(row),
            Err(error) => logs::warn(&format!("ignoring row {key:?}: {error}")),
        }
    }
    decoded
}

#[cfg(test)]
mod tests;
