use std::collections::BTreeMap;

/// Table and key of a row. The part of a table is always the unnamed one.
pub(crate) type StoreKey = (String, String);

/// The rows of the store. Every transaction increments the store's version and assigns it to the
/// rows that it changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rows {
    pub(crate) version: u64,
    /// Version up to which the change history is discarded; feeds can start from here at the
    /// earliest.
    pub(crate) discarded_version: u64,
    /// Value in base64, `None` for a deleted row, and version of the last change.
    rows: BTreeMap<StoreKey, (Option<String>, u64)>,
}

/// A conditional atomic write of rows.
#[derive(Debug, Default)]
pub(crate) struct StoreTransaction {
    /// Versions that rows must have; 0 for a row that must not exist.
    pub(crate) expect: Vec<(StoreKey, u64)>,
    pub(crate) set: Vec<(StoreKey, String)>,
    pub(crate) delete: Vec<StoreKey>,
}

impl Rows {
    /// Applies a transaction and returns the new version of the store; `None` if a condition does
    /// not hold.
    pub(crate) fn apply(&mut self, transaction: StoreTransaction) -> Option<u64> {
        let is_met = |(place, version): &(StoreKey, u64)| {
            let found = self.rows.get(place).filter(|(value, _)| value.is_some());
            found.map_or(0, |(_, version)| *version) == *version
        };
        if !transaction.expect.iter().all(is_met) {
            return None;
        }
        self.version += 1;
        for (place, value) in transaction.set {
            self.rows.insert(place, (Some(value), self.version));
        }
        for place in transaction.delete {
            self.rows.insert(place, (None, self.version));
        }
        Some(self.version)
    }

    /// Existing rows of a table, by key: key, value and version.
    pub(crate) fn existing(&self, table: &str) -> Vec<(&str, Option<&str>, u64)> {
        let rows = self.all(table);
        rows.filter(|(_, value, _)| value.is_some()).collect()
    }

    /// Rows of a table that were changed or deleted after a version, in the order of the changes.
    pub(crate) fn after(&self, table: &str, version: u64) -> Vec<(&str, Option<&str>, u64)> {
        let mut rows: Vec<_> =
            self.all(table).filter(|(_, _, changed)| *changed > version).collect();
        rows.sort_by_key(|(_, _, version)| *version);
        rows
    }

    /// Rows of a table, including deleted ones.
    fn all(&self, table: &str) -> impl Iterator<Item = (&str, Option<&str>, u64)> {
        self.rows
            .iter()
            .filter(move |((row_table, _), _)| row_table == table)
            .map(|((_, key), (value, version))| (key.as_str(), value.as_deref(), *version))
    }
}
