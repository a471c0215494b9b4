//! The operators' tool: the table, names, the state of the fleet, and what
//! would be chosen for a request.

mod command;
mod error;
mod fleet;
mod put;
mod tables;
mod trace;

pub use crate::{
    command::{Command, HELP},
    error::CtlError,
    fleet::Fleet,
    put::{Put, PutOutcome},
    tables::TableClient,
};
