use std::io;

use snafu::Snafu;

/// Error after which a connection must not be used any more.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The other side closed the connection.
    #[snafu(display("the connection was closed"))]
    Closed,

    /// Connecting, reading or writing failed.
    #[snafu(display("{source}"))]
    Io {
        /// Error reported by the operating system.
        source: io::Error,
    },

    /// The other side sent a message that is invalid or not allowed at this point.
    #[snafu(display("protocol error: {message}"))]
    Protocol {
        /// Description of the violation.
        message: String,
    },

    /// The upstream answered with an error response.
    #[snafu(display("refused with {code}: {message}"))]
    Refused {
        /// SQLSTATE of the error response.
        code: String,
        /// Message text of the error response.
        message: String,
    },
}

impl WireError {
    /// Creates a [`WireError::Protocol`].
    pub fn protocol(message: impl Into<String>) -> WireError {
        WireError::Protocol { message: message.into() }
    }
}

impl From<io::Error> for WireError {
    fn from(source: io::Error) -> WireError {
        WireError::Io { source }
    }
}
