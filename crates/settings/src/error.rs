use std::io;

use snafu::Snafu;

/// Error from loading or checking settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{file}: {source}"))]
    Read {
        /// Path of the file.
        file: String,
        /// Error from the operating system.
        source: io::Error,
    },

    /// The file is not valid TOML, or a key is unknown, missing or has a value of the wrong
    /// type.
    #[snafu(display("{file}: {source}"))]
    Parse {
        /// Path of the file.
        file: String,
        /// Parse error with the key, its location and what is expected.
        source: toml::de::Error,
    },

    /// A value is outside its allowed range.
    #[snafu(display("{file}: key {key}: {found}; allowed: {allowed}"))]
    OutOfRange {
        /// Path of the file.
        file: String,
        /// Key in dotted form, such as `timing.poll_ms`.
        key: &'static str,
        /// Value in the file; for the secret, only its length.
        found: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}
