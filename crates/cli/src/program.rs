use std::{fmt, process};

use crate::{
    args::{Args, ArgsError},
    exit::ExitStatus,
};

/// Error that ends a program, with its message and exit code.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    exit: ExitStatus,
    message: String,
}

impl Failure {
    /// Creates a failure with exit code 1: the arguments were valid, but the work failed.
    pub fn new(error: impl fmt::Display) -> Failure {
        Failure { exit: ExitStatus::Failed, message: error.to_string() }
    }
}

impl From<ArgsError> for Failure {
    fn from(error: ArgsError) -> Failure {
        Failure { exit: ExitStatus::UsageError, message: error.to_string() }
    }
}

/// Runs a program: answers `--help` and `--version`, or else calls `work` with the
/// arguments. Prints a failure on standard error and returns its exit code.
pub fn run(
    program: &str,
    help: &str,
    work: impl FnOnce(Args) -> Result<(), Failure>,
) -> process::ExitCode {
    let Some(args) = Args::from_env(program, help) else { return ExitStatus::Success.into() };
    match work(args) {
        Ok(()) => ExitStatus::Success.into(),
        Err(failure) => {
            eprintln!("{program}: {}", failure.message);
            failure.exit.into()
        }
    }
}
