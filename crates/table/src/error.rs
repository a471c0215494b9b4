use base::GroupId;
use snafu::Snafu;

use crate::{column::Column, key::RowKey};

/// Why a text was rejected as a table. No part of a rejected text is applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TableError {
    /// The text is not valid CSV, or a line has the wrong number of cells.
    #[snafu(display("line {line}: {message}"))]
    Csv {
        /// Line of the text, counted from 1.
        line: u64,
        /// Error message of the CSV reader.
        message: String,
    },

    /// The first line is not the expected header.
    #[snafu(display("line 1: expected the header {expected:?}, found {found:?}"))]
    InvalidHeader {
        /// The required header.
        expected: String,
        /// The header in the text.
        found: String,
    },

    /// The value of a cell is not allowed in its column.
    #[snafu(display(
        "line {line}, column {column}: {found:?}; allowed: {}",
        column.allowed_values()
    ))]
    InvalidCell {
        /// Line of the text, counted from 1.
        line: u64,
        /// Column of the cell.
        column: Column,
        /// Text of the cell.
        found: String,
    },

    /// Two rows have the same name and rank.
    #[snafu(display("line {line}, column rank: duplicate row for {key}"))]
    DuplicateRow {
        /// Line of the second row.
        line: u64,
        /// Name and rank of both rows.
        key: RowKey,
    },

    /// Two rows map the same name to different groups.
    #[snafu(display(
        "line {line}, column group: {name:?} maps to {second}; allowed: {first}, as in its other rows"
    ))]
    ConflictingGroups {
        /// Line of the second row.
        line: u64,
        /// Name that both rows have.
        name: String,
        /// Group of the earlier row.
        first: GroupId,
        /// Group of the later row.
        second: GroupId,
    },

    /// The floors of a group add up to more than 100 percent.
    #[snafu(display(
        "column floor: the rows of group {group} add up to {sum} percent; allowed: at most 100"
    ))]
    FloorsTooHigh {
        /// Group whose floors are too high.
        group: GroupId,
        /// Sum of the floors of its rows, in percent.
        sum: u32,
    },

    /// The table has no rows.
    #[snafu(display("line 2: the table has no rows; allowed: one or more"))]
    Empty,
}
