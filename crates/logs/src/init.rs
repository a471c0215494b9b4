use std::{io, sync::Arc};

use snafu::{ResultExt, Snafu};
use spdlog::sink::GetSinkProp;

use crate::{bounded::BoundedSink, json_lines::JsonLines};

/// Minimum severity of the lines that are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Only errors that keep the process from serving.
    Error,
    /// Also conditions that an operator may need to look into.
    Warn,
    /// Also events and each decision.
    #[default]
    Info,
}

/// Error from the set-up of logging.
#[derive(Debug, Snafu)]
pub enum InitError {
    /// The logging library rejected the configuration.
    #[snafu(display("cannot set up logging: {source}"))]
    Library {
        /// Error from the library.
        source: spdlog::Error,
    },
    /// The writer thread could not be started.
    #[snafu(display("cannot start the log writer thread: {source}"))]
    Thread {
        /// Error from the operating system.
        source: io::Error,
    },
}

/// Sets up the process-wide logger, which writes lines of at least `level` as JSON to
/// standard output. Logging never blocks: if the reader is too slow, lines are dropped
/// and a later line reports how many.
pub fn init(level: Level) -> Result<(), InitError> {
    let sink = BoundedSink::new(io::stdout()).context(ThreadSnafu)?;
    sink.prop().set_formatter(JsonLines);
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level_filter_for(level))
        .build()
        .context(LibrarySnafu)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Waits until the logged lines are written, for at most 200 ms.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Logs a record of kind `kind` at level info. `fields` must serialize to a JSON object.
pub fn event(kind: &str, fields: &impl serde::Serialize) {
    if !spdlog::default_logger().should_log(spdlog::Level::Info) {
        return;
    }
    let fields = serde_json::to_string(fields).unwrap_or_default();
    spdlog::info!("{}", fields, kv: { kind });
}

/// Logs a message of kind `message` at level warn.
pub fn warn(message: &str) {
    spdlog::warn!("{}", message);
}

/// Logs a message of kind `message` at level error.
pub fn error(message: &str) {
    spdlog::error!("{}", message);
}

fn level_filter_for(level: Level) -> spdlog::LevelFilter {
    let level = match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
    };
    spdlog::LevelFilter::MoreSevereEqual(level)
}
