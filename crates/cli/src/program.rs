use std::{fmt, process};

use crate::{
    args::{Args, ArgsError},
    exit_status::ExitStatus,
};

/// Why a program ends without having done its work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    exit: ExitStatus,
    message: String,
}

impl Failure {
    /// The program understood what it was asked, and failed.
    pub fn new(error: impl fmt::Display) -> Failure {
        Failure { exit: ExitStatus::Failed, message: error.to_string() }
    }
}

impl From<ArgsError> for Failure {
    fn from(error: ArgsError) -> Failure {
        Failure { exit: ExitStatus::UsageError, message: error.to_string() }
    }
}

/// Runs a program: answers `--help` and `--version`, else does `work` with the
/// arguments, and tells a failure on standard error.
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
