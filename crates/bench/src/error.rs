use snafu::Snafu;

/// Why an experiment could not be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// A file could not be read or written.
    #[snafu(display("{file}: {source}"))]
    File {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An experiment file or a report could not be parsed.
    #[snafu(display("{file}: {message}"))]
    Parse {
        /// Path of the file.
        file: String,
        /// Error of the parser, with the location.
        message: String,
    },
    /// The deployment, a client or the output of the report failed.
    #[snafu(display("{message}"))]
    Run {
        /// Underlying error, or what was missing.
        message: String,
    },
}

impl BenchError {
    pub(crate) fn run(error: impl std::fmt::Display) -> BenchError {
        BenchError::Run { message: error.to_string() }
    }
}
