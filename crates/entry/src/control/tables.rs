use std::cmp::Ordering;

use adapter::{OPERATOR_TABLE, Revision, Row, Rows};
use base::{FastMap, FastSet, store_version};

/// Cache of the rows of several tables, as last read from the store or from another daemon.
#[derive(Debug, Default)]
pub(crate) struct TableCache {
    tables: FastMap<&'static str, CachedTable>,
}

#[derive(Debug, Default)]
struct CachedTable {
    /// Rows by key, including deleted ones.
    rows: FastMap<String, CachedRow>,
    /// Version of the store that the rows reflect.
    as_of: u64,
    /// Highest version of a row that was received. Rows that are only inferred to be deleted,
    /// because a complete list lacks them, do not raise it.
    newest: u64,
}

#[derive(Clone, Debug)]
struct CachedRow {
    /// The value in force, with the version of the newest row that was received.
    row: Row,
    /// Version at which the value in force was written. It is older than that of the row if the
    /// row of an older copy of the store, which came back, has not replaced the value.
    written_at: u64,
    /// Revision of the last value that has one, also if the row was deleted since.
    revision: Option<Revision>,
}

/// All rows of a table, as sent to another daemon.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct TableSnapshot {
    /// Name of the table.
    pub(crate) table: String,
    /// Version of the store that the rows reflect.
    pub(crate) as_of: u64,
    /// The rows. Deleted ones are absent.
    pub(crate) rows: Vec<SnapshotRow>,
}

/// A cached row, as sent to another daemon.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct SnapshotRow {
    key: String,
    value: Vec<u8>,
    /// Version of the newest row that the sender has received under the key.
    version: u64,
    /// Version at which the value was written.
    written_at: u64,
}

/// Rows to merge into the cache.
#[derive(Debug)]
pub(crate) struct ReceivedRows {
    pub(crate) rows: Rows,
    /// Versions at which values were written, by key, where they differ from those of the rows.
    written_at: FastMap<String, u64>,
}

impl TableCache {
    /// Merges rows of a table into the cache and returns those that changed it. If `complete`,
    /// cached rows that are missing from `rows` are marked as deleted.
    ///
    /// The cache reflects every change up to `as_of`. A row that is not cached although it is older
    /// has been deleted, and comes from a daemon or a response that has not noticed yet: it is
    /// ignored, or a member that has left would be used again.
    ///
    /// The rows of an older copy of the store are newer by their versions, but not by their
    /// [revisions](Revision): a value that the cache has and the copy lacks stays in force.
    /// `revision_of` returns the revision of a row; `None` if its value is not one that the
    /// operator or the member of that key has written.
    pub(crate) fn merge(
        &mut self,
        name: &'static str,
        received: ReceivedRows,
        complete: bool,
        revision_of: impl Fn(&Row) -> Option<Revision>,
    ) -> Vec<Row> {
        let ReceivedRows { rows, written_at } = received;
        let table = self.tables.entry(name).or_default();
        let mut updates = Vec::new();
        // The configuration is replaced, never deleted.
        if complete && name != OPERATOR_TABLE {
            let listed: FastSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
            for cached in table.rows.values_mut() {
                let CachedRow { row, written_at, .. } = cached;
                let missing = !listed.contains(row.key.as_str());
                if missing && row.value.is_some() && row.version <= rows.version {
                    *row = Row { value: None, version: rows.version, ..row.clone() };
                    *written_at = rows.version;
                    updates.push(row.clone());
                }
            }
        }
        for row in rows.rows {
            let revision = revision_of(&row);
            let written_at = written_at.get(&row.key).copied().unwrap_or(row.version);
            let Some(cached) = table.rows.get_mut(&row.key) else {
                if row.version > table.as_of {
                    table.newest = table.newest.max(row.version);
                    let cached = CachedRow { row: row.clone(), written_at, revision };
                    table.rows.insert(row.key.clone(), cached);
                    updates.push(row);
                }
                continue;
            };
            let version = cached.row.version.max(row.version);
            let is_superseded = cached.supersedes(&row, written_at, revision);
            if row.version > cached.row.version {
                table.newest = table.newest.max(row.version);
            }
            cached.row.version = version;
            if !is_superseded {
                cached.row.value.clone_from(&row.value);
                cached.written_at = written_at;
                cached.revision = revision.or(cached.revision);
                updates.push(cached.row.clone());
            }
        }
        table.as_of = table.as_of.max(rows.version);
        updates
    }

    /// Number of rows that are older than the cached ones.
    pub(crate) fn outdated(&self, table: &'static str, rows: &Rows) -> usize {
        let Some(table) = self.tables.get(table) else { return 0 };
        let is_outdated = |row: &&Row| {
            table.rows.get(&row.key).is_some_and(|cached| row.version < cached.row.version)
        };
        rows.rows.iter().filter(is_outdated).count()
    }

    /// Highest version of a row that was received of a table; 0 if there was none.
    pub(crate) fn newest(&self, table: &'static str) -> u64 {
        self.tables.get(table).map_or(0, |table| table.newest)
    }

    /// Version of the store that the cached rows of a table reflect; `None` if all of its rows have
    /// never been read.
    pub(crate) fn as_of(&self, table: &str) -> Option<u64> {
        self.tables.get(table).map(|table| table.as_of)
    }

    /// Snapshots of one table or of all, for another daemon.
    pub(crate) fn snapshots(&self, wanted: Option<&str>) -> Vec<TableSnapshot> {
        let snapshot = |(name, table): (&&'static str, &CachedTable)| TableSnapshot {
            table: (*name).to_owned(),
            as_of: table.as_of,
            rows: table
                .rows
                .values()
                .filter_map(|CachedRow { row, written_at, .. }| {
                    Some(SnapshotRow {
                        key: row.key.clone(),
                        value: row.value.clone()?,
                        version: row.version,
                        written_at: *written_at,
                    })
                })
                .collect(),
        };
        let tables = self.tables.iter();
        tables.filter(|(name, _)| wanted.is_none_or(|it| it == **name)).map(snapshot).collect()
    }
}

impl CachedRow {
    /// Whether the cached row stays in force when `row` is received, whose value was written at
    /// `written_at`. Within an era of the store, its versions tell the order, whatever the values
    /// state.
    fn supersedes(&self, row: &Row, written_at: u64, revision: Option<Revision>) -> bool {
        if store_version::era(written_at) == store_version::era(self.written_at) {
            return written_at <= self.written_at;
        }
        let is_older = row.version <= self.row.version;
        let (Some(known), Some(received)) = (self.revision, revision) else { return is_older };
        let is_deleted = self.row.value.is_none();
        let era = store_version::era(row.version).cmp(&store_version::era(self.row.version));
        if known.incarnation != received.incarnation {
            return match era {
                Ordering::Equal => is_older,
                // The row may be one of the older copy.
                Ordering::Greater => received.incarnation < known.incarnation,
                Ordering::Less => true,
            };
        }
        match received.number.cmp(&known.number) {
            // Whatever a writer repeats after the store has lost writes, its last value counts.
            Ordering::Less => true,
            Ordering::Equal => is_older || (is_deleted && era == Ordering::Greater),
            // The cached row may be one of the older copy, and `row` one that the store has lost.
            Ordering::Greater => is_deleted && is_older,
        }
    }
}

impl From<Rows> for ReceivedRows {
    fn from(rows: Rows) -> ReceivedRows {
        ReceivedRows { rows, written_at: FastMap::default() }
    }
}

impl From<TableSnapshot> for ReceivedRows {
    fn from(snapshot: TableSnapshot) -> ReceivedRows {
        let held = snapshot.rows.iter().filter(|row| row.written_at != row.version);
        let written_at = held.map(|row| (row.key.clone(), row.written_at)).collect();
        let rows = snapshot.rows.into_iter();
        let rows =
            rows.map(|row| Row { key: row.key, value: Some(row.value), version: row.version });
        // The store's clock is known only from the store itself.
        let rows = Rows { rows: rows.collect(), version: snapshot.as_of, clock_ms: 0 };
        ReceivedRows { rows, written_at }
    }
}

#[cfg(test)]
mod tests;
