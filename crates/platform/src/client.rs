use std::{net::SocketAddr, time::Duration};

use adapter::{CallError, StoreClient, StoreKey, StoreTransaction};

use crate::{
    error::PlatformError,
    row::{Condition, Row, Rows, Write},
    vm::VmRecord,
};

/// Table of the rows that this project writes.
const TABLE: &str = "fleet";
/// Table of the VM list, with one row per VM.
const VM_TABLE: &str = "vms";

/// Typed access to the records that the daemons share through the platform's store.
#[derive(Clone, Debug)]
pub struct Client {
    store: StoreClient,
}

impl Client {
    /// Creates a client for the store at `addr`. Opens no connection yet.
    pub fn new(addr: SocketAddr) -> Client {
        Client { store: StoreClient::new(addr) }
    }

    /// Reads the row with this key; `None` if it does not exist.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let row = self.store.row(StoreKey { table: TABLE, key }).await?;
        Ok(row.map(Row::try_from).transpose()?.filter(|row| row.version > 0))
    }

    /// Reads the rows that changed after revision `since`. Returns all rows if `since` is
    /// 0 or the store no longer has the changes back to it.
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

    /// Writes all of `writes` atomically if every condition holds, and returns their new
    /// version.
    pub async fn transact(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> Result<u64, PlatformError> {
        let mut transaction = StoreTransaction::default();
        for condition in conditions {
            let place = StoreKey { table: TABLE, key: &condition.key };
            transaction = transaction.with_expected(place, condition.version);
        }
        for write in writes {
            let place = StoreKey { table: TABLE, key: &write.key };
            transaction = transaction.with_put(place, &serde_json::to_vec(&write.value)?);
        }
        Ok(self.store.apply(&transaction).await?)
    }

    /// Reads an object as UTF-8 text; `None` if it does not exist.
    pub async fn object(&self, key: &str) -> Result<Option<String>, PlatformError> {
        let Some(bytes) = self.store.object(key).await? else { return Ok(None) };
        let text = String::from_utf8(bytes);
        text.map(Some).map_err(|error| PlatformError::Malformed { message: error.to_string() })
    }

    /// Writes an object, replacing an existing one.
    pub async fn put_object(&self, key: &str, body: &str) -> Result<(), PlatformError> {
        Ok(self.store.put_object(key, body.as_bytes().to_vec()).await?)
    }

    /// Reads the VM list, which may be out of date.
    pub async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        let rows = self.store.rows(VM_TABLE).await?.rows;
        rows.into_iter().map(|row| Row::try_from(row)?.record()).collect()
    }
}
