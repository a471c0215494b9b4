//! The operators' table: maps each name to a group and sets the weight and limits
//! of each name and rank. Parsing rejects invalid values, so code that holds a
//! [`Table`] need not validate it again.

mod ack;
mod column;
mod error;
mod key;
mod merge;
mod policy;
mod row;
mod table;
mod text;

pub use crate::{
    ack::Acknowledgement,
    column::Column,
    error::TableError,
    key::RowKey,
    merge::{CellConflict, MergeError, merge},
    policy::Policy,
    row::Row,
    table::Table,
    text::HEADER,
};

#[cfg(test)]
mod tests;
