use base::GroupId;
use snafu::Snafu;

use crate::{column::Column, key::RowKey};

/// Why a text is not accepted as a table. Nothing of it is applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TableError {
    /// The text is not CSV with the expected number of cells.
    #[snafu(display("line {line}: {message}"))]
    Csv {
        /// Line of the text, counted from 1.
        line: u64,
        /// What the CSV reader found.
        message: String,
    },

    /// The first line does not name the columns.
    #[snafu(display("line 1: expected the header {expected:?}, found {found:?}"))]
    InvalidHeader {
        /// The header as it must be.
        expected: String,
        /// The header as it is.
        found: String,
    },

    /// A cell holds something its column does not allow.
    #[snafu(display(
        "line {line}, column {column}: {found:?}; allowed: {}",
        column.allowed_values()
    ))]
    InvalidCell {
        /// Line of the text, counted from 1.
        line: u64,
        /// Column of the cell.
        column: Column,
        /// What the cell holds.
        found: String,
    },

    /// Two rows speak of the same name and rank.
    #[snafu(display("line {line}, column rank: {key} has a row already"))]
    DuplicateRow {
        /// Line of the second row.
        line: u64,
        /// Name and rank of both rows.
        key: RowKey,
    },

    /// Two rows send the same name to different groups.
    #[snafu(display(
        "line {line}, column group: {name:?} leads to {second}; allowed: {first}, as in its other rows"
    ))]
    ConflictingGroups {
        /// Line of the second row.
        line: u64,
        /// The name.
        name: String,
        /// Group of the earlier row.
        first: GroupId,
        /// Group of the later row.
        second: GroupId,
    },

    /// The floors of a group add up to more than the whole.
    #[snafu(display(
        "column floor: the rows of group {group} add up to {sum} percent; allowed: at most 100"
    ))]
    FloorsTooHigh {
        /// The group.
        group: GroupId,
        /// Sum of its floors, in percent.
        sum: u32,
    },

    /// The table has no rows.
    #[snafu(display("line 2: the table has no rows; allowed: one or more"))]
    Empty,
}
