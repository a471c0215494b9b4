use adapter::{Row, Rows};
use base::FastMap;

/// Rows of the store as last learnt, from the store itself or from another daemon.
#[derive(Debug, Default)]
pub(crate) struct TableCache {
    tables: FastMap<&'static str, CachedTable>,
}

#[derive(Debug, Default)]
struct CachedTable {
    /// Rows by key, dropped ones too.
    rows: FastMap<String, Row>,
    /// Version of the store that the rows reflect.
    as_of: u64,
    /// Version of the newest row.
    newest: u64,
}

/// All rows of a table, for another daemon.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct TableSnapshot {
    pub(crate) table: String,
    /// Version of the store that the rows reflect.
    pub(crate) as_of: u64,
    /// Key, value and version.
    pub(crate) rows: Vec<(String, Vec<u8>, u64)>,
}

impl TableCache {
    /// Takes rows in; those that are updates. A complete reading shows which rows are gone.
    pub(crate) fn merge(&mut self, table: &'static str, rows: Rows, complete: bool) -> Vec<Row> {
        let table = self.tables.entry(table).or_default();
        let mut updates = Vec::new();
        if complete {
            let listed: Vec<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
            for known in table.rows.values_mut() {
                let missing = !listed.contains(&known.key.as_str());
                if missing && known.value.is_some() && known.version <= rows.version {
                    *known = Row { value: None, version: rows.version, ..known.clone() };
                    updates.push(known.clone());
                }
            }
        }
        for row in rows.rows {
            let known = table.rows.get(&row.key).map_or(0, |known| known.version);
            if row.version > known {
                table.newest = table.newest.max(row.version);
                table.rows.insert(row.key.clone(), row.clone());
                updates.push(row);
            }
        }
        table.as_of = table.as_of.max(rows.version);
        updates
    }

    /// Version of the newest row of a table.
    pub(crate) fn newest(&self, table: &'static str) -> u64 {
        self.tables.get(table).map_or(0, |table| table.newest)
    }

    /// All rows, for another daemon.
    pub(crate) fn snapshots(&self) -> Vec<TableSnapshot> {
        let snapshot = |(name, table): (&&'static str, &CachedTable)| TableSnapshot {
            table: (*name).to_owned(),
            as_of: table.as_of,
            rows: table
                .rows
                .values()
                .filter_map(|row| Some((row.key.clone(), row.value.clone()?, row.version)))
                .collect(),
        };
        self.tables.iter().map(snapshot).collect()
    }
}

impl From<TableSnapshot> for Rows {
    fn from(snapshot: TableSnapshot) -> Rows {
        let rows = snapshot.rows.into_iter();
        let rows = rows.map(|(key, value, version)| Row { key, value: Some(value), version });
        // Only the store tells its clock.
        Rows { rows: rows.collect(), version: snapshot.as_of, clock_ms: 0 }
    }
}
