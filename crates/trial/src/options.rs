use std::net::SocketAddr;

use crate::preset::Preset;

/// Configuration of a local cluster.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment to run.
    pub preset: Preset,
    /// Number of daemons to start.
    pub daemons: usize,
    /// Port of the first daemon; the others use the next ports. 0 selects free ports.
    pub port: u16,
    /// Replication lag of the stand-in replicas, in milliseconds.
    pub lag_ms: u64,
    /// Minimum time that a statement occupies its slot at a member, in microseconds.
    pub service_us: u64,
    /// Minimum severity that the daemons log.
    pub log: logs::Level,
    /// Intervals and timeouts of the daemons.
    pub timing: settings::Timing,
    /// Resource limits of the daemons.
    pub limits: settings::Limits,
    /// Operators' table as CSV, or `None` for the one of the preset.
    pub table: Option<String>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            preset: Preset::PrensaSul,
            daemons: 3,
            port: 0,
            lag_ms: 20,
            service_us: 0,
            log: logs::Level::Warn,
            timing: settings::Timing::default(),
            limits: settings::Limits::default(),
            table: None,
        }
    }
}

impl Options {
    /// Returns the address that the daemon with this index listens on for callers.
    pub(crate) fn listen(&self, index: usize) -> SocketAddr {
        let port = if self.port == 0 { 0 } else { self.port + index as u16 };
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}
