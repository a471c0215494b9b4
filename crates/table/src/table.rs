use std::collections::BTreeMap;

use base::{FastMap, GroupId, Rank};

use crate::{error::TableError, key::RowKey, policy::Policy, row::Row, text};

/// A valid table: it is not empty, every name belongs to exactly one group, and the
/// floors of a group add up to at most 100 percent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
    groups: FastMap<String, GroupId>,
}

impl Table {
    /// Parses a table from CSV with the header [`crate::HEADER`].
    pub fn parse(text: &str) -> Result<Table, TableError> {
        let rows = text::rows(text)?;
        Table::from_rows(rows)
    }

    /// Builds a table from rows; the line numbers are used in errors only.
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

    /// Group that serves `name`; `None` if the table has no such name.
    pub fn group(&self, name: &str) -> Option<&GroupId> {
        self.groups.get(name)
    }

    /// Weight and limits of `name` at `rank`; the defaults if the table has no row.
    pub fn policy(&self, name: &str, rank: Rank) -> Policy {
        let key = RowKey { name: name.to_owned(), rank };
        self.rows.get(&key).map(|row| row.policy).unwrap_or_default()
    }

    /// All rows, ordered by name and rank.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Row of a name and rank, if there is one.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }

    /// All names with their groups, ordered by name.
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
