use adapter::CallError;
use snafu::Snafu;

/// Why a request to the platform's store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// The store did not answer or refused the request, which can be retried. A write may
    /// have taken effect.
    #[snafu(display("platform unavailable: {message}"))]
    Unavailable {
        /// The failure of the call.
        message: String,
    },

    /// Another write changed the rows that the conditions refer to. Nothing was written.
    #[snafu(display("rows were changed by a concurrent write; nothing was written"))]
    Conflict,

    /// The response is not UTF-8, not JSON, or not a record of the expected type.
    #[snafu(display("cannot decode the platform's response: {message}"))]
    Malformed {
        /// The decoder's error.
        message: String,
    },
}

impl From<CallError> for PlatformError {
    fn from(error: CallError) -> PlatformError {
        let message = error.to_string();
        match error {
            CallError::Conflict => PlatformError::Conflict,
            CallError::Undecodable { .. } => PlatformError::Malformed { message },
            CallError::NoResponse { .. }
            | CallError::Refused { .. }
            | CallError::HistoryGone
            | CallError::Restored => PlatformError::Unavailable { message },
        }
    }
}

impl From<serde_json::Error> for PlatformError {
    fn from(error: serde_json::Error) -> PlatformError {
        PlatformError::Malformed { message: error.to_string() }
    }
}
