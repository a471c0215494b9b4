//! JSON lines on standard output, so that operators can follow each decision
//! with ordinary tools. The only crate that knows the logging library.

mod bounded;
mod decision;
mod init;
mod json_lines;

pub use crate::{
    decision::Decision,
    init::{InitError, Level, error, event, flush, init, warn},
};
