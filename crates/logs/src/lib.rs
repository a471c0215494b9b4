//! Logging as JSON lines on standard output, so that operators can process each decision
//! with standard tools.
//!
//! **Architecture invariant:** no other crate uses the logging library.

mod bounded;
mod decision;
mod init;
mod json_lines;

pub use crate::{
    decision::Decision,
    init::{InitError, Level, error, event, flush, init, warn},
};
