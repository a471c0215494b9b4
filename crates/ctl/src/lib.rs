//! Library behind `corianderctl`, the operators' command-line tool: editing the table,
//! listing names, showing the state of the fleet, explaining the routing of a request, tracing
//! a request through logs, and showing the use of organisations.

mod command;
mod error;
mod fleet;
mod metrics;
mod organisations;
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
