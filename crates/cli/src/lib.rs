//! What the command lines of all programs have in common: `--help`,
//! `--version`, unknown arguments refused by name, and exit codes.

mod args;
mod exit_status;
mod program;
mod stop;

pub use crate::{
    args::{Args, ArgsError},
    exit_status::ExitStatus,
    program::{Failure, run},
    stop::{stop_signals, wait_for_stop},
};
