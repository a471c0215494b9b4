use std::collections::BTreeMap;

/// A row's table and key. The part is always the one without name.
pub(crate) type Place = (String, String);

/// Rows of the store with their versions.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) version: u64,
    /// Versions up to this one are no longer in the history.
    pub(crate) forgotten: u64,
    /// Value in base64, `None` if dropped, and version.
    rows: BTreeMap<Place, (Option<String>, u64)>,
}

/// A transaction as it came.
#[derive(Debug, Default)]
pub(crate) struct Transaction {
    pub(crate) expect: Vec<(Place, u64)>,
    pub(crate) set: Vec<(Place, String)>,
    pub(crate) delete: Vec<Place>,
}

impl Rows {
    /// Applies a transaction if its conditions hold; the new version.
    pub(crate) fn apply(&mut self, transaction: Transaction) -> Option<u64> {
        let holds = |(place, version): &(Place, u64)| {
            let found = self.rows.get(place).filter(|(value, _)| value.is_some());
            found.map_or(0, |(_, version)| *version) == *version
        };
        if !transaction.expect.iter().all(holds) {
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

    /// Rows of a table: key, value and version.
    pub(crate) fn of(&self, table: &str) -> Vec<(&str, Option<&str>, u64)> {
        let rows = self.all(table);
        rows.filter(|(_, value, _)| value.is_some()).collect()
    }

    /// Rows of a table that changed after a version, in order.
    pub(crate) fn after(&self, table: &str, version: u64) -> Vec<(&str, Option<&str>, u64)> {
        let mut rows: Vec<_> = self.all(table).filter(|(_, _, of)| *of > version).collect();
        rows.sort_by_key(|(_, _, version)| *version);
        rows
    }

    fn all(&self, table: &str) -> impl Iterator<Item = (&str, Option<&str>, u64)> {
        self.rows
            .iter()
            .filter(move |((of, _), _)| of == table)
            .map(|((_, key), (value, version))| (key.as_str(), value.as_deref(), *version))
    }
}
