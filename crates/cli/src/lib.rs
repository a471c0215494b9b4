//! Command-line handling shared by all programs: `--help`, `--version`, errors that name
//! unknown arguments, exit codes, and the signals that stop a process.

mod args;
mod exit;
mod program;
mod stop;

pub use crate::{
    args::{Args, ArgsError},
    exit::ExitStatus,
    program::{Failure, run},
    stop::{stop_signals, wait_for_stop},
};
