use std::collections::BTreeSet;

use base::FastMap;
use snafu::Snafu;

use crate::{column::Column, error::TableError, key::RowKey, row::Row, table::Table};

/// A cell that two edits of the same version changed to different values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellConflict {
    /// Row of the cell.
    pub key: RowKey,
    /// Column of the cell; `None` if one of the edits removed the whole row.
    pub column: Option<Column>,
    /// Value in the table that is applied now; empty if its edit removed the row.
    pub applied: String,
    /// Value of the rejected edit; empty if it removes the row.
    pub refused: String,
}

/// Why two edits cannot be merged.
#[derive(Debug, Snafu)]
pub enum MergeError {
    /// Both edits changed the same cells to different values.
    #[snafu(display("{}", describe_all(conflicts)))]
    Conflicts {
        /// All cells that the edits changed to different values.
        conflicts: Vec<CellConflict>,
    },
    /// Each edit is valid on its own, but their combination is not.
    #[snafu(display("the merged table is not valid: {source}"))]
    Invalid {
        /// Rule that the combination violates.
        source: TableError,
    },
}

/// Three-way merge of the table `applied` now and `edited`, which were both
/// derived from `base`.
///
/// Changes to different cells are combined. If both changed a cell to different
/// values, the merge fails and reports every such cell with both values.
pub fn merge(base: &Table, applied: &Table, edited: &Table) -> Result<Table, MergeError> {
    let mut conflicts = Vec::new();
    let mut rows = Vec::new();
    for key in keys([base, applied, edited]) {
        let versions = RowVersions {
            key: &key,
            base: base.row(&key),
            applied: applied.row(&key),
            edited: edited.row(&key),
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
    applied: Option<&'a Row>,
    edited: Option<&'a Row>,
}

impl RowVersions<'_> {
    fn merge(&self, conflicts: &mut Vec<CellConflict>) -> Option<Row> {
        if self.edited == self.base || self.edited == self.applied {
            return self.applied.cloned();
        }
        if self.applied == self.base {
            return self.edited.cloned();
        }
        match (self.applied, self.edited) {
            (Some(applied), Some(edited)) => self.merge_cells(applied, edited, conflicts),
            _ => {
                conflicts.push(self.conflict(None));
                None
            }
        }
    }

    fn merge_cells(
        &self,
        applied: &Row,
        edited: &Row,
        conflicts: &mut Vec<CellConflict>,
    ) -> Option<Row> {
        let mut cells = FastMap::default();
        for column in Column::ALL {
            let base = self.base.map(|row| row.cell(column));
            let (applied_cell, edited_cell) = (applied.cell(column), edited.cell(column));
            let changed_in_edited = base.as_ref() != Some(&edited_cell);
            let changed_in_applied = base.as_ref() != Some(&applied_cell);
            if changed_in_edited && changed_in_applied && edited_cell != applied_cell {
                conflicts.push(self.conflict(Some(column)));
            }
            cells.insert(column as usize, changed_in_edited);
        }
        Some(pick_cells(applied, edited, |column| cells[&(column as usize)]))
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
            applied: text(self.applied),
            refused: text(self.edited),
        }
    }
}

fn pick_cells(applied: &Row, edited: &Row, from_edited: impl Fn(Column) -> bool) -> Row {
    let mut row = applied.clone();
    if from_edited(Column::Group) {
        row.group = edited.group.clone();
    }
    let (policy, source) = (&mut row.policy, &edited.policy);
    assign_if(&mut policy.weight, source.weight, from_edited(Column::Weight));
    assign_if(&mut policy.floor, source.floor, from_edited(Column::Floor));
    assign_if(&mut policy.in_flight, source.in_flight, from_edited(Column::InFlight));
    assign_if(&mut policy.per_second, source.per_second, from_edited(Column::PerSecond));
    assign_if(&mut policy.queue, source.queue, from_edited(Column::Queue));
    assign_if(&mut policy.target, source.target, from_edited(Column::TargetMs));
    assign_if(&mut policy.age, source.age, from_edited(Column::AgeMs));
    assign_if(&mut policy.ack, source.ack, from_edited(Column::Ack));
    row
}

fn assign_if<T>(place: &mut T, value: T, change: bool) {
    if change {
        *place = value;
    }
}

fn describe_all(conflicts: &[CellConflict]) -> String {
    let lines: Vec<String> = conflicts.iter().map(describe_one).collect();
    lines.join("\n")
}

fn describe_one(conflict: &CellConflict) -> String {
    let CellConflict { key, column, applied, refused } = conflict;
    let column = column.map_or("row", Column::as_str);
    format!("{key}, column {column}: in force {applied:?}, refused {refused:?}")
}
