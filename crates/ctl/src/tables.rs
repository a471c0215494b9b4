use platform::{Client, TablePointer};
use snafu::ResultExt;
use table::Table;

use crate::error::{CtlError, TableSnafu};

/// Client for the versions of the table that the platform holds.
#[derive(Clone, Debug)]
pub struct TableClient {
    pub(crate) client: Client,
}

impl TableClient {
    /// Creates a client that reads through `client`.
    pub fn new(client: Client) -> TableClient {
        TableClient { client }
    }

    /// Returns the version of the pointer's row, for a compare-and-set, and the pointer to
    /// the applied table.
    pub async fn pointer(&self) -> Result<(u64, TablePointer), CtlError> {
        let row = self.client.row(TablePointer::KEY).await?;
        let Some(row) = row else { return Err(CtlError::NoVersion { version: 1 }) };
        Ok((row.version, row.record()?))
    }

    /// Returns a version of the table as text, with its number; the applied version if
    /// `version` is `None`.
    pub async fn text(&self, version: Option<u64>) -> Result<(u64, String), CtlError> {
        let (_, pointer) = self.pointer().await?;
        let version = version.unwrap_or(pointer.version);
        let object = object_name(&pointer, version).ok_or(CtlError::NoVersion { version })?;
        let text = self.client.object(object).await?;
        Ok((version, text.ok_or(CtlError::NoVersion { version })?))
    }

    /// Returns a version of the table in parsed form; otherwise as [`TableClient::text`].
    pub async fn table(&self, version: Option<u64>) -> Result<(u64, Table), CtlError> {
        let (version, text) = self.text(version).await?;
        let what = format!("version {version}");
        Ok((version, Table::parse(&text).context(TableSnafu { what })?))
    }
}

fn object_name(pointer: &TablePointer, version: u64) -> Option<&str> {
    if version == pointer.version {
        return Some(&pointer.object);
    }
    let entry = pointer.history.iter().find(|entry| entry.version == version);
    entry.map(|entry| entry.object.as_str())
}
