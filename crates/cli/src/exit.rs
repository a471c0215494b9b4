use std::process;

/// Exit code of a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The program did its work: exit code 0.
    Success,
    /// The arguments were valid, but the work failed: exit code 1.
    Failed,
    /// The command line was invalid: exit code 2.
    UsageError,
}

impl From<ExitStatus> for process::ExitCode {
    fn from(exit: ExitStatus) -> process::ExitCode {
        let code = match exit {
            ExitStatus::Success => 0,
            ExitStatus::Failed => 1,
            ExitStatus::UsageError => 2,
        };
        process::ExitCode::from(code)
    }
}
