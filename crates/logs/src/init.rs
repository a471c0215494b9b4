use std::{io, sync::Arc};

use snafu::{ResultExt, Snafu};
use spdlog::sink::GetSinkProp;

use crate::{bounded::Bounded, json_lines::JsonLines};

/// Least severity that is written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Only what keeps the process from doing its work.
    Error,
    /// Also what operators may want to look at.
    Warn,
    /// Also each decision.
    #[default]
    Info,
}

/// Why logging could not be set up.
#[derive(Debug, Snafu)]
pub enum InitError {
    /// The logging library refused the set-up.
    #[snafu(display("logging could not be set up: {source}"))]
    Library {
        /// The library's own error.
        source: spdlog::Error,
    },
    /// The thread that writes could not be started.
    #[snafu(display("logging: {source}"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
}

/// Sends JSON lines of at least `level` to standard output. A reader that is too slow
/// misses lines and is told how many; nothing waits for it.
pub fn init(level: Level) -> Result<(), InitError> {
    let sink = Bounded::new(io::stdout()).context(ThreadSnafu)?;
    sink.prop().set_formatter(JsonLines);
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .build()
        .context(LibrarySnafu)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Waits, for a moment at most, until what was logged is written.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Writes a record of kind `kind` with its fields at level info.
pub fn event(kind: &str, fields: &impl serde::Serialize) {
    if !spdlog::default_logger().should_log(spdlog::Level::Info) {
        return;
    }
    let fields = serde_json::to_string(fields).unwrap_or_default();
    spdlog::info!("{}", fields, kv: { kind });
}

/// Writes a message at level warn.
pub fn warn(message: &str) {
    spdlog::warn!("{}", message);
}

/// Writes a message at level error.
pub fn error(message: &str) {
    spdlog::error!("{}", message);
}

fn filter(level: Level) -> spdlog::LevelFilter {
    let level = match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
    };
    spdlog::LevelFilter::MoreSevereEqual(level)
}
