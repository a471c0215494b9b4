//! Settings of a daemon, read from a TOML file and checked before the daemon starts.

mod error;
mod file;
mod limits;
mod metrics;
mod timing;

pub use crate::{
    error::SettingsError, file::Settings, limits::Limits, metrics::Metrics, timing::Timing,
};

#[cfg(test)]
mod tests;
