use std::time::{SystemTime, UNIX_EPOCH};

use platform::{Condition, PlatformError, TablePointer, TableVersion, Write};
use snafu::ResultExt;
use table::{Table, merge};

use crate::{
    error::{CtlError, MergeSnafu},
    tables::TableClient,
};

const KEPT_VERSIONS: usize = 50;
const MAX_ATTEMPTS: u32 = 20;

/// An edit of the table.
#[derive(Debug)]
pub struct Put {
    tables: TableClient,
    from: u64,
    edit: Table,
}

/// What came of an edit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PutOutcome {
    /// Version that holds the edit.
    pub version: u64,
    /// Whether other edits were merged with it.
    pub merged: bool,
}

impl Put {
    /// An edit that was made from version `from`.
    pub fn new(tables: TableClient, from: u64, edit: Table) -> Put {
        Put { tables, from, edit }
    }

    /// Merges the edit with what is in force and puts the result in force by
    /// one compare-and-set. A lost reply is settled by reading back whether the
    /// pointer names this attempt's object.
    pub async fn run(&self) -> Result<PutOutcome, CtlError> {
        let (_, base) = self.tables.table(Some(self.from)).await?;
        let mut last = None;
        for attempt in 0..MAX_ATTEMPTS {
            match self.attempt(&base, attempt).await? {
                Ok(outcome) => return Ok(outcome),
                Err(error) => last = Some(error),
            }
        }
        let lost = PlatformError::Unavailable { message: "no attempt came about".to_owned() };
        Err(last.unwrap_or(lost).into())
    }

    async fn attempt(
        &self,
        base: &Table,
        attempt: u32,
    ) -> Result<Result<PutOutcome, PlatformError>, CtlError> {
        let (row_version, pointer) = self.tables.pointer().await?;
        let (_, in_force) = self.tables.table(Some(pointer.version)).await?;
        let from = self.from;
        let merged = merge(base, &in_force, &self.edit).context(MergeSnafu { from })?;
        let version = pointer.version + 1;
        let object = format!("tables-{version}-{}-{attempt}", unique());
        self.tables.client.put_object(&object, &merged.to_csv()).await?;
        let next = successor(&pointer, version, &object);
        let outcome = PutOutcome { version, merged: pointer.version != self.from };
        match self.write(row_version, &next).await {
            Ok(()) => Ok(Ok(outcome)),
            Err(error @ PlatformError::Conflict) => Ok(Err(error)),
            Err(error) => {
                let (_, now) = self.tables.pointer().await?;
                let came_about =
                    now.object == object || now.history.iter().any(|known| known.object == object);
                Ok(if came_about { Ok(outcome) } else { Err(error) })
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

fn successor(pointer: &TablePointer, version: u64, object: &str) -> TablePointer {
    let old = TableVersion { version: pointer.version, object: pointer.object.clone() };
    let mut history = vec![old];
    history.extend(pointer.history.iter().take(KEPT_VERSIONS - 1).cloned());
    TablePointer { version, object: object.to_owned(), history }
}

/// A name that no other attempt has: time and process.
fn unique() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", since.as_nanos(), std::process::id())
}
