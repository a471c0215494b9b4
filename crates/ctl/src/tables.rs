use platform::{Client, TablePointer};
use snafu::ResultExt;
use table::Table;

use crate::error::{CtlError, TableSnafu};

/// The tables that the platform holds.
#[derive(Clone, Debug)]
pub struct TableClient {
    pub(crate) client: Client,
}

impl TableClient {
    /// TableClient at the platform.
    pub fn new(client: Client) -> TableClient {
        TableClient { client }
    }

    /// Which table is in force, and the version of the row that says so.
    pub async fn pointer(&self) -> Result<(u64, TablePointer), CtlError> {
        let row = self.client.row(TablePointer::KEY).await?;
        let Some(row) = row else { return Err(CtlError::NoVersion { version: 1 }) };
        Ok((row.version, row.record()?))
    }

    /// Text of a version; of the one in force if none is named.
    pub async fn text(&self, version: Option<u64>) -> Result<(u64, String), CtlError> {
        let (_, pointer) = self.pointer().await?;
        let version = version.unwrap_or(pointer.version);
        let object = object_of(&pointer, version).ok_or(CtlError::NoVersion { version })?;
        let text = self.client.object(object).await?;
        Ok((version, text.ok_or(CtlError::NoVersion { version })?))
    }

    /// A version as a table.
    pub async fn table(&self, version: Option<u64>) -> Result<(u64, Table), CtlError> {
        let (version, text) = self.text(version).await?;
        let what = format!("version {version}");
        Ok((version, Table::parse(&text).context(TableSnafu { what })?))
    }
}

fn object_of(pointer: &TablePointer, version: u64) -> Option<&str> {
    if version == pointer.version {
        return Some(&pointer.object);
    }
    let known = pointer.history.iter().find(|known| known.version == version);
    known.map(|known| known.object.as_str())
}
