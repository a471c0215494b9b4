use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::PlatformError;

/// A row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the store that wrote it; 0 means that the row is absent.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// Rows under a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Rows {
    /// Revision that the answer reflects.
    pub revision: u64,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A version that must be in force for a write to happen.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Its version; 0 means that it must be absent.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Its new value.
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
    /// The value as a record.
    pub fn record<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        Ok(serde_json::from_value(self.value.clone())?)
    }
}
