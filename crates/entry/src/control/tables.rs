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
    row: Row,
    /// Revision of the last value, also of a row that was deleted since.
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
    /// Key, value and version of each row. Deleted rows are absent.
    pub(crate) rows: Vec<(String, Vec<u8>, u64)>,
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
    pub(crate) fn merge(&mut self, name: &'static str, rows: Rows, complete: bool) -> Vec<Row> {
        let table = self.tables.entry(name).or_default();
        let mut updates = Vec::new();
        // The configuration is replaced, never deleted.
        if complete && name != OPERATOR_TABLE {
            let listed: FastSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
            for CachedRow { row: cached, .. } in table.rows.values_mut() {
                let missing = !listed.contains(cached.key.as_str());
                if missing && cached.value.is_some() && cached.version <= rows.version {
                    *cached = Row { value: None, version: rows.version, ..cached.clone() };
                    updates.push(cached.clone());
                }
            }
        }
        for row in rows.rows {
            let revision = Revision::new(name, &row);
            let Some(cached) = table.rows.get_mut(&row.key) else {
                if row.version > table.as_of {
                    table.newest = table.newest.max(row.version);
                    table.rows.insert(row.key.clone(), CachedRow { row: row.clone(), revision });
                    updates.push(row);
                }
                continue;
            };
            let version = cached.row.version.max(row.version);
            let is_superseded = cached.supersedes(&row, revision);
            if row.version > cached.row.version {
                table.newest = table.newest.max(row.version);
            }
            cached.row.version = version;
            if !is_superseded {
                cached.row.value.clone_from(&row.value);
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
                .filter_map(|CachedRow { row, .. }| {
                    Some((row.key.clone(), row.value.clone()?, row.version))
                })
                .collect(),
        };
        let tables = self.tables.iter();
        tables.filter(|(name, _)| wanted.is_none_or(|it| it == **name)).map(snapshot).collect()
    }
}

impl CachedRow {
    /// Whether the cached row stays in force when `row` is received.
    fn supersedes(&self, row: &Row, revision: Option<Revision>) -> bool {
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

impl From<TableSnapshot> for Rows {
    fn from(snapshot: TableSnapshot) -> Rows {
        let rows = snapshot.rows.into_iter();
        let rows = rows.map(|(key, value, version)| Row { key, value: Some(value), version });
        // The store's clock is known only from the store itself.
        Rows { rows: rows.collect(), version: snapshot.as_of, clock_ms: 0 }
    }
}

#[cfg(test)]
mod tests;
