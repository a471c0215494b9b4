use std::process;

/// How a program ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// It did what it was asked.
    Success,
    /// It could not do what it was asked.
    Failed,
    /// It was asked in a way that it does not understand.
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
