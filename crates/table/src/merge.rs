use std::collections::BTreeSet;

use base::FastMap;
use snafu::Snafu;

use crate::{column::Column, error::TableError, key::RowKey, row::Row, table::Table};

/// A cell that two edits of the same version set to different values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellConflict {
    /// Row of the cell.
    pub key: RowKey,
    /// Column of the cell; `None` when one edit removed the whole row.
    pub column: Option<Column>,
    /// Value of the edit that is in force, empty if it removed the row.
    pub applied: String,
    /// Value of the edit that is refused, empty if it removes the row.
    pub refused: String,
}

/// Why two edits cannot be merged.
#[derive(Debug, Snafu)]
pub enum MergeError {
    /// Both edits changed the same cells.
    #[snafu(display("{}", describe(conflicts)))]
    Conflicts {
        /// Every cell that both edits changed.
        conflicts: Vec<CellConflict>,
    },
    /// Each edit is valid, their combination is not.
    #[snafu(display("the merged table is not valid: {source}"))]
    Invalid {
        /// What is wrong with the combination.
        source: TableError,
    },
}

/// Applies an edit made from `base` to the table `theirs` that is in force now.
///
/// Edits of different cells merge. Edits of the same cell to different values
/// are refused, showing both.
pub fn merge(base: &Table, theirs: &Table, mine: &Table) -> Result<Table, MergeError> {
    let mut conflicts = Vec::new();
    let mut rows = Vec::new();
    for key in keys([base, theirs, mine]) {
        let versions = RowVersions {
            key: &key,
            base: base.row(&key),
            theirs: theirs.row(&key),
            mine: mine.row(&key),
        };
        rows.extend(versions.merge(&mut conflicts));
    }
    if !conflicts.is_empty() {
        return Err(MergeError::Conflicts { conflicts });
    }
    let rows = rows.into_iter().map(|row| (0, row)).collect();
    Table::from_rows(rows).map_err(|source| MergeError::Invalid { source })
}

fn keys(tables: [&Table; 3]) -> BTreeSet<RowKey> {
    tables.into_iter().flat_map(Table::rows).map(|row| row.key.clone()).collect()
}

struct RowVersions<'a> {
    key: &'a RowKey,
    base: Option<&'a Row>,
    theirs: Option<&'a Row>,
    mine: Option<&'a Row>,
}

impl RowVersions<'_> {
    fn merge(&self, conflicts: &mut Vec<CellConflict>) -> Option<Row> {
        if self.mine == self.base || self.mine == self.theirs {
            return self.theirs.cloned();
        }
        if self.theirs == self.base {
            return self.mine.cloned();
        }
        match (self.theirs, self.mine) {
            (Some(theirs), Some(mine)) => self.merge_cells(theirs, mine, conflicts),
            _ => {
                conflicts.push(self.conflict(None));
                None
            }
        }
    }

    fn merge_cells(
        &self,
        theirs: &Row,
        mine: &Row,
        conflicts: &mut Vec<CellConflict>,
    ) -> Option<Row> {
        let mut cells = FastMap::default();
        for column in Column::ALL {
            let base = self.base.map(|row| row.cell(column));
            let (their_cell, my_cell) = (theirs.cell(column), mine.cell(column));
            let my_change = base.as_ref() != Some(&my_cell);
            let their_change = base.as_ref() != Some(&their_cell);
            if my_change && their_change && my_cell != their_cell {
                conflicts.push(self.conflict(Some(column)));
            }
            cells.insert(column as usize, my_change);
        }
        Some(pick_cells(theirs, mine, |column| cells[&(column as usize)]))
    }

    fn conflict(&self, column: Option<Column>) -> CellConflict {
        let text = |row: Option<&Row>| match (row, column) {
            (Some(row), Some(column)) => row.cell(column),
            (Some(_), None) => "the row".to_owned(),
            (None, _) => String::new(),
        };
        CellConflict {
            key: self.key.clone(),
            column,
            applied: text(self.theirs),
            refused: text(self.mine),
        }
    }
}

fn pick_cells(theirs: &Row, mine: &Row, from_mine: impl Fn(Column) -> bool) -> Row {
    let mut row = theirs.clone();
    if from_mine(Column::Group) {
        row.group = mine.group.clone();
    }
    let (policy, source) = (&mut row.policy, &mine.policy);
    pick(&mut policy.weight, source.weight, from_mine(Column::Weight));
    pick(&mut policy.floor, source.floor, from_mine(Column::Floor));
    pick(&mut policy.in_flight, source.in_flight, from_mine(Column::InFlight));
    pick(&mut policy.per_second, source.per_second, from_mine(Column::PerSecond));
    pick(&mut policy.queue, source.queue, from_mine(Column::Queue));
    pick(&mut policy.target, source.target, from_mine(Column::TargetMs));
    pick(&mut policy.age, source.age, from_mine(Column::AgeMs));
    pick(&mut policy.ack, source.ack, from_mine(Column::Ack));
    row
}

fn pick<T>(place: &mut T, value: T, change: bool) {
    if change {
        *place = value;
    }
}

fn describe(conflicts: &[CellConflict]) -> String {
    let lines: Vec<String> = conflicts.iter().map(describe_one).collect();
    lines.join("\n")
}

fn describe_one(conflict: &CellConflict) -> String {
    let CellConflict { key, column, applied, refused } = conflict;
    let column = column.map_or("row", Column::as_str);
    format!("{key}, column {column}: in force {applied:?}, refused {refused:?}")
}
