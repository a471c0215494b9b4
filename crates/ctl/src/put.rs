use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::store_version;
use platform::{Condition, PlatformError, TablePointer, TableVersion, Write};
use snafu::ResultExt;
use table::{Table, merge};

use crate::{
    error::{CtlError, MergeSnafu},
    tables::TableClient,
};

const MAX_HISTORY_VERSIONS: usize = 50;
const MAX_ATTEMPTS: u32 = 20;
/// Time between two reads of a table that the daemons have yet to write again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Edit of the table, to be merged with concurrent edits and applied.
#[derive(Debug)]
pub struct Put {
    tables: TableClient,
    from: u64,
    edit: Table,
}

/// Result of an edit that was applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PutOutcome {
    /// Version of the table that contains the edit.
    pub version: u64,
    /// Whether the table had changed since the edit's base version, so that the edit was
    /// merged with others.
    pub merged: bool,
}

impl Put {
    /// Creates an edit that was made from version `from` of the table.
    pub fn new(tables: TableClient, from: u64, edit: Table) -> Put {
        Put { tables, from, edit }
    }

    /// Merges the edit with the applied table and applies the result by one compare-and-set
    /// of the pointer. If another edit wins, the merge is repeated. If the reply to the write
    /// is lost, the pointer is read back: the write succeeded if the pointer or its history
    /// names the object of this attempt.
    pub async fn run(&self) -> Result<PutOutcome, CtlError> {
        self.wait_until_current().await?;
        let (_, base) = self.tables.table(Some(self.from)).await?;
        let mut last = None;
        for attempt in 0..MAX_ATTEMPTS {
            match self.attempt(&base, attempt).await? {
                Ok(outcome) => return Ok(outcome),
                Err(error) => last = Some(error),
            }
        }
        let lost = PlatformError::Unavailable { message: "no attempt was made".to_owned() };
        Err(last.unwrap_or(lost).into())
    }

    /// Waits until the table in the store is known to be the newest one. After the store has come
    /// back from an older copy, the daemons write again what it has lost within a few seconds; an
    /// edit made before would get the version of a lost one, and not be applied.
    async fn wait_until_current(&self) -> Result<(), CtlError> {
        for _ in 0..MAX_ATTEMPTS {
            let (row_version, pointer) = self.tables.pointer().await?;
            if pointer.is_current(store_version::era(row_version)) {
                return Ok(());
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let message = "the store has lost writes, and no daemon has written the table again";
        Err(PlatformError::Unavailable { message: message.to_owned() }.into())
    }

    async fn attempt(
        &self,
        base: &Table,
        attempt: u32,
    ) -> Result<Result<PutOutcome, PlatformError>, CtlError> {
        let (row_version, pointer) = self.tables.pointer().await?;
        let (_, applied) = self.tables.table(Some(pointer.version)).await?;
        let from = self.from;
        let merged = merge(base, &applied, &self.edit).context(MergeSnafu { from })?;
        let version = pointer.version + 1;
        let object = format!("tables-{version}-{}-{attempt}", unique_suffix());
        self.tables.client.put_object(&object, &merged.to_csv()).await?;
        let era = store_version::era(row_version);
        if !pointer.is_current(era) {
            return Ok(Err(PlatformError::Conflict));
        }
        let next = next_pointer(&pointer, version, &object, era);
        let outcome = PutOutcome { version, merged: pointer.version != self.from };
        match self.write(row_version, &next).await {
            Ok(()) => Ok(Ok(outcome)),
            Err(error @ PlatformError::Conflict) => Ok(Err(error)),
            Err(error) => {
                let (_, now) = self.tables.pointer().await?;
                let succeeded =
                    now.object == object || now.history.iter().any(|entry| entry.object == object);
                Ok(if succeeded { Ok(outcome) } else { Err(error) })
            }
        }
    }

    async fn write(&self, row_version: u64, next: &TablePointer) -> Result<(), PlatformError> {
        let key = TablePointer::KEY.to_owned();
        let conditions = [Condition { key: key.clone(), version: row_version }];
        let writes = [Write { key, value: serde_json::to_value(next)? }];
        self.tables.client.transact(&conditions, &writes).await.map(|_| ())
    }
}

fn next_pointer(pointer: &TablePointer, version: u64, object: &str, era: u64) -> TablePointer {
    let old = TableVersion { version: pointer.version, object: pointer.object.clone() };
    let mut history = vec![old];
    history.extend(pointer.history.iter().take(MAX_HISTORY_VERSIONS - 1).cloned());
    TablePointer { version, object: object.to_owned(), history, era }
}

/// Returns a suffix that makes object names unique: the time and the process ID.
fn unique_suffix() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", since.as_nanos(), std::process::id())
}
