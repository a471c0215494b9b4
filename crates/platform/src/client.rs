use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use adapter::{CallError, StoreClient, StoreKey, StoreTransaction};
use base::store_version;

use crate::{
    error::PlatformError,
    row::{self, Condition, Row, Rows, Write},
    vm::VmRecord,
};

/// Table of the rows that this project writes.
const TABLE: &str = "fleet";
/// Table of the VM list, with one row per VM.
const VM_TABLE: &str = "vms";
/// Prefix of the keys of the records of the store's eras.
const ERA_PREFIX: &str = "era/";

/// Typed access to the records that the daemons share through the platform's store.
#[derive(Clone, Debug)]
pub struct Client {
    store: StoreClient,
    /// Version of the record of the era in which this client last wrote.
    era_record: Arc<Mutex<Option<u64>>>,
}

impl Client {
    /// Creates a client for the store at `addr`. Opens no connection yet.
    pub fn new(addr: SocketAddr) -> Client {
        Client { store: StoreClient::new(addr), era_record: Arc::default() }
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
        let (changed, complete) = match changed {
            Err(CallError::HistoryGone) => (self.store.rows(TABLE).await?, true),
            changed => (changed?, since == 0),
        };
        let rows = row::decode_readable(changed.rows, Row::try_from);
        Ok(Rows { revision: changed.version, rows, complete })
    }

    /// Writes all of `writes` atomically if every condition holds, and returns their new
    /// version.
    ///
    /// The write also depends on the record of the store's era, which the first write in an era
    /// creates: the versions in the conditions may be given out again when the store comes back
    /// from an older copy.
    pub async fn transact(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> Result<u64, PlatformError> {
        let mut may_retry = true;
        loop {
            let (era, is_first_write, start) = self.begin_transaction().await?;
            // A version of another era says nothing about the row of this one.
            let is_outdated =
                |it: &Condition| it.version > 0 && store_version::era(it.version) != era;
            if conditions.iter().any(is_outdated) {
                self.set_era_record(None);
                return Err(PlatformError::Conflict);
            }
            let mut transaction = start;
            for condition in conditions {
                let place = StoreKey { table: TABLE, key: &condition.key };
                transaction = transaction.with_expected(place, condition.version);
            }
            for write in writes {
                let place = StoreKey { table: TABLE, key: &write.key };
                transaction = transaction.with_put(place, &serde_json::to_vec(&write.value)?);
            }
            match self.store.apply(&transaction).await {
                // Another daemon's write may have created the record of the era meanwhile.
                Err(CallError::Conflict) if is_first_write && may_retry => may_retry = false,
                Err(error) => {
                    self.set_era_record(None);
                    return Err(error.into());
                }
                Ok(version) => return Ok(version),
            }
        }
    }

    fn set_era_record(&self, version: Option<u64>) {
        *self.era_record.lock().unwrap_or_else(PoisonError::into_inner) = version;
    }

    /// Returns the present era, whether it has no record yet, and the beginning of a transaction
    /// that depends on the record, or creates it and deletes those of other eras.
    async fn begin_transaction(&self) -> Result<(u64, bool, StoreTransaction), PlatformError> {
        let known = *self.era_record.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(version) = known {
            let era = store_version::era(version);
            return Ok((era, false, depend_on(era, version)));
        }
        let rows = self.store.rows(TABLE).await?;
        let era = store_version::era(rows.version);
        let own = era_key(era);
        let records = rows.rows.iter().filter(|row| row.key.starts_with(ERA_PREFIX));
        if let Some(record) = records.clone().find(|row| row.key == own) {
            self.set_era_record(Some(record.version));
            return Ok((era, false, depend_on(era, record.version)));
        }
        let place = StoreKey { table: TABLE, key: &own };
        let creation = depend_on(era, 0).with_put(place, b"{}");
        let change = records.fold(creation, |transaction, row| {
            transaction.with_delete(StoreKey { table: TABLE, key: &row.key })
        });
        Ok((era, true, change))
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
        Ok(row::decode_readable(rows, |row| Row::try_from(row)?.record()))
    }
}

/// A transaction that depends on the record of an era; a version of 0 means that there is none yet.
fn depend_on(era: u64, version: u64) -> StoreTransaction {
    let key = era_key(era);
    let place = StoreKey { table: TABLE, key: &key };
    StoreTransaction::new(era).with_expected(place, version)
}

fn era_key(era: u64) -> String {
    format!("{ERA_PREFIX}{era}")
}
