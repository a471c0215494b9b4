use adapter::CallError;
use snafu::Snafu;

/// Why the platform did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No answer, or an answer that means "later". A write may have happened.
    #[snafu(display("the platform does not answer: {message}"))]
    Unavailable {
        /// What was seen.
        message: String,
    },

    /// The rows that a write relied on have changed. It has not happened.
    #[snafu(display("rows have changed in the meantime"))]
    Conflict,

    /// An answer that makes no sense.
    #[snafu(display("the platform's answer cannot be read: {message}"))]
    Malformed {
        /// What is wrong with it.
        message: String,
    },
}

impl From<CallError> for PlatformError {
    fn from(error: CallError) -> PlatformError {
        let message = error.to_string();
        match error {
            CallError::Conflict => PlatformError::Conflict,
            CallError::Undecodable { .. } => PlatformError::Malformed { message },
            CallError::NoResponse { .. } | CallError::Refused { .. } | CallError::HistoryGone => {
                PlatformError::Unavailable { message }
            }
        }
    }
}

impl From<serde_json::Error> for PlatformError {
    fn from(error: serde_json::Error) -> PlatformError {
        PlatformError::Malformed { message: error.to_string() }
    }
}
