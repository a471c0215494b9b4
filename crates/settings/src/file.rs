use std::{fs, net::SocketAddr, path::Path};

use base::{VmId, Zone};
use snafu::ResultExt;

use crate::{
    error::{ParseSnafu, ReadSnafu, SettingsError},
    limits::Limits,
    metrics::Metrics,
    timing::Timing,
};

const MIN_SECRET_BYTES: usize = 8;

/// Settings of a daemon, as read from its TOML file.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identifier of this VM, as in the platform's list.
    pub vm: VmId,
    /// Availability zone that this VM runs in.
    pub zone: Zone,
    /// Address that callers connect to; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address that other daemons forward requests to.
    pub forward: SocketAddr,
    /// Address that receives control calls of other daemons and of `corianderctl`.
    pub control: SocketAddr,
    /// Address of the platform's HTTP service.
    pub platform: SocketAddr,
    /// Secret shared by the daemons of a deployment, at least 8 bytes.
    pub peer_secret: String,
    /// Minimum severity of logged lines.
    #[serde(default)]
    pub log: logs::Level,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Limits that bound the daemon's memory use.
    #[serde(default)]
    pub limits: Limits,
    /// Destination of the metrics.
    #[serde(default)]
    pub metrics: Metrics,
}

impl Settings {
    /// Reads, parses and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).context(ReadSnafu { file: file.clone() })?;
        Settings::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file; `file` is its path, for errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).context(ParseSnafu { file })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let Timing { heartbeat_ms, patience_ms, suspect_after_ms, .. } = self.timing;
        let checks = [
            ("vm", self.vm.to_string(), !self.vm.as_str().is_empty(), "a name"),
            ("zone", self.zone.to_string(), !self.zone.as_str().is_empty(), "a name"),
            (
                "peer_secret",
                format!("{} bytes", self.peer_secret.len()),
                self.peer_secret.len() >= MIN_SECRET_BYTES,
                "8 bytes or more",
            ),
            (
                "timing.heartbeat_ms",
                heartbeat_ms.to_string(),
                (1..=10_000).contains(&heartbeat_ms),
                "1 to 10000",
            ),
            (
                "timing.patience_ms",
                patience_ms.to_string(),
                patience_ms > 2 * heartbeat_ms && patience_ms <= 60_000,
                "more than twice timing.heartbeat_ms, at most 60000",
            ),
            (
                "timing.suspect_after_ms",
                suspect_after_ms.to_string(),
                suspect_after_ms > 2 * heartbeat_ms && suspect_after_ms <= 60_000,
                "more than twice timing.heartbeat_ms, at most 60000",
            ),
            (
                "timing.ack_timeout_ms",
                self.timing.ack_timeout_ms.to_string(),
                (10..=600_000).contains(&self.timing.ack_timeout_ms),
                "10 to 600000",
            ),
            (
                "timing.wait_ms",
                self.timing.wait_ms.to_string(),
                (1..=600_000).contains(&self.timing.wait_ms),
                "1 to 600000",
            ),
            (
                "timing.poll_ms",
                self.timing.poll_ms.to_string(),
                (10..=4_000).contains(&self.timing.poll_ms),
                "10 to 4000",
            ),
            (
                "timing.peer_heartbeat_ms",
                self.timing.peer_heartbeat_ms.to_string(),
                (10..=10_000).contains(&self.timing.peer_heartbeat_ms),
                "10 to 10000",
            ),
            (
                "timing.stop_ms",
                self.timing.stop_ms.to_string(),
                (1..=3_600_000).contains(&self.timing.stop_ms),
                "1 to 3600000",
            ),
            (
                "limits.connections",
                self.limits.connections.to_string(),
                self.limits.connections > 0,
                "1 or more",
            ),
            (
                "limits.message_bytes",
                self.limits.message_bytes.to_string(),
                (65_536..=1_073_741_823).contains(&self.limits.message_bytes),
                "65536 to 1073741823",
            ),
            (
                "limits.remembered_callers",
                self.limits.remembered_callers.to_string(),
                self.limits.remembered_callers > 0,
                "1 or more",
            ),
        ];
        let invalid = checks.into_iter().find(|(_, _, valid, _)| !valid);
        invalid.map_or(Ok(()), |(key, found, _, allowed)| {
            Err(SettingsError::OutOfRange { file: file.to_owned(), key, found, allowed })
        })
    }
}
