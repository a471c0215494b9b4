use std::collections::BTreeMap;

use base::{FastMap, GroupId, Rank};

use crate::{error::TableError, key::RowKey, policy::Policy, row::Row, text};

/// A valid table: every name leads to exactly one group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
    groups: FastMap<String, GroupId>,
}

impl Table {
    /// Reads a table from CSV with the header [`crate::HEADER`].
    pub fn parse(text: &str) -> Result<Table, TableError> {
        let rows = text::rows(text)?;
        Table::from_rows(rows)
    }

    /// Builds a table from rows with their line numbers.
    pub(crate) fn from_rows(rows: Vec<(u64, Row)>) -> Result<Table, TableError> {
        let mut table = Table::default();
        for (line, row) in rows {
            table.insert(line, row)?;
        }
        if table.rows.is_empty() {
            return Err(TableError::Empty);
        }
        table.check_floors()?;
        Ok(table)
    }

    /// The table as CSV, rows ordered by name and rank.
    pub fn to_csv(&self) -> String {
        text::render(self.rows.values())
    }

    /// The group that answers to `name`.
    pub fn group(&self, name: &str) -> Option<&GroupId> {
        self.groups.get(name)
    }

    /// Weight and limits of `name` at `rank`; the defaults where it has no row.
    pub fn policy(&self, name: &str, rank: Rank) -> Policy {
        let key = RowKey { name: name.to_owned(), rank };
        self.rows.get(&key).map(|row| row.policy).unwrap_or_default()
    }

    /// Every row, ordered by name and rank.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// The row of a name and rank.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Every name with its group, ordered by name.
    pub fn names(&self) -> BTreeMap<&str, &GroupId> {
        self.groups.iter().map(|(name, group)| (name.as_str(), group)).collect()
    }

    fn insert(&mut self, line: u64, row: Row) -> Result<(), TableError> {
        if self.rows.contains_key(&row.key) {
            return Err(TableError::DuplicateRow { line, key: row.key });
        }
        let first = self.groups.entry(row.key.name.clone()).or_insert_with(|| row.group.clone());
        if *first != row.group {
            return Err(TableError::ConflictingGroups {
                line,
                name: row.key.name,
                first: first.clone(),
                second: row.group,
            });
        }
        self.rows.insert(row.key.clone(), row);
        Ok(())
    }

    fn check_floors(&self) -> Result<(), TableError> {
        let mut sums: BTreeMap<&GroupId, u32> = BTreeMap::new();
        for row in self.rows.values() {
            *sums.entry(&row.group).or_default() += row.policy.floor;
        }
        match sums.into_iter().find(|(_, sum)| *sum > 100) {
            Some((group, sum)) => Err(TableError::FloorsTooHigh { group: group.clone(), sum }),
            None => Ok(()),
        }
    }
}
