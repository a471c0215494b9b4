use std::{net::SocketAddr, time::Duration};

use adapter::{CallError, StoreClient, StoreKey, StoreTransaction};

use crate::{
    error::PlatformError,
    row::{Condition, Row, Rows, Write},
    vm::VmRecord,
};

/// Table of this project's rows.
const TABLE: &str = "fleet";
/// Table of the VM list, a row for each VM.
const VM_TABLE: &str = "vms";

/// The records that the daemons keep in the platform's store.
#[derive(Clone, Debug)]
pub struct Client {
    store: StoreClient,
}

impl Client {
    /// A client of the store at `addr`.
    pub fn new(addr: SocketAddr) -> Client {
        Client { store: StoreClient::new(addr) }
    }

    /// A row, `None` if it is absent.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let row = self.store.row(StoreKey { table: TABLE, key }).await?;
        Ok(row.map(Row::try_from).transpose()?.filter(|row| row.version > 0))
    }

    /// Rows that changed after revision `since`.
    pub async fn rows(&self, since: u64) -> Result<Rows, PlatformError> {
        let changed = match since {
            0 => self.store.rows(TABLE).await,
            since => self.store.feed(TABLE, since, Duration::ZERO).await,
        };
        let changed = match changed {
            Err(CallError::HistoryGone) => self.store.rows(TABLE).await?,
            changed => changed?,
        };
        let rows = changed.rows.into_iter().map(Row::try_from).collect::<Result<_, _>>()?;
        Ok(Rows { revision: changed.version, rows })
    }

    /// Writes rows together if the conditions hold; their version afterwards.
    pub async fn transact(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> Result<u64, PlatformError> {
        let mut change = StoreTransaction::default();
        for condition in conditions {
            let place = StoreKey { table: TABLE, key: &condition.key };
            change = change.with_expected(place, condition.version);
        }
        for write in writes {
            let place = StoreKey { table: TABLE, key: &write.key };
            change = change.with_put(place, &serde_json::to_vec(&write.value)?);
        }
        Ok(self.store.apply(&change).await?)
    }

    /// Text of an object, `None` if it is absent.
    pub async fn object(&self, key: &str) -> Result<Option<String>, PlatformError> {
        let Some(bytes) = self.store.object(key).await? else { return Ok(None) };
        let text = String::from_utf8(bytes);
        text.map(Some).map_err(|error| PlatformError::Malformed { message: error.to_string() })
    }

    /// Writes an object.
    pub async fn put_object(&self, key: &str, body: &str) -> Result<(), PlatformError> {
        Ok(self.store.put_object(key, body.as_bytes().to_vec()).await?)
    }

    /// The VM list, which may be out of date.
    pub async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        let rows = self.store.rows(VM_TABLE).await?.rows;
        rows.into_iter().map(|row| Row::try_from(row)?.record()).collect()
    }
}
