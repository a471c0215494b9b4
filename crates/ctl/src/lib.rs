//! Library behind `corianderctl`, the operators' command-line tool: editing the table,
//! listing names, showing the state of the fleet, explaining the routing of a request, and
//! tracing a request through logs.

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
