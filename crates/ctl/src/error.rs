use platform::PlatformError;
use snafu::Snafu;
use table::{MergeError, TableError};

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A call to the platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// Error from the platform client.
        source: PlatformError,
    },
    /// A file could not be read.
    #[snafu(display("{file}: {source}"))]
    Read {
        /// Path of the file.
        file: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A text is not a valid table. Nothing was applied.
    #[snafu(display("{what}: {source}"))]
    Table {
        /// File or version that holds the text.
        what: String,
        /// Parse error with the line, the column and the allowed values.
        source: TableError,
    },
    /// Another edit has changed the same cells. Nothing was applied.
    #[snafu(display("not applied, the table has changed since version {from}:\n{source}"))]
    Merge {
        /// Version that the edit was based on.
        from: u64,
        /// The conflicting cells, each with both values.
        source: MergeError,
    },
    /// The platform does not hold this version: it was never applied, or it is no longer in
    /// the history.
    #[snafu(display("the platform holds no version {version} of the table"))]
    NoVersion {
        /// Version that was requested.
        version: u64,
    },
    /// No daemon returned an answer to the request.
    #[snafu(display("no daemon answers for this: {what}"))]
    NoDaemon {
        /// Request that was sent, for the error message.
        what: String,
    },
}

impl From<PlatformError> for CtlError {
    fn from(source: PlatformError) -> CtlError {
        CtlError::Platform { source }
    }
}
