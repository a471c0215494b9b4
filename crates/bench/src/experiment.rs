use std::{fs, path::Path};

use base::Rank;
use snafu::ResultExt;

use crate::error::{BenchError, FileSnafu};

/// Contents of an experiment file. Parts that are `None` are not run.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, which also names the report's files.
    pub name: String,
    /// Seed of the random arrivals and service times.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Overload of one simulated group in virtual time.
    pub flood: Option<FloodSpec>,
    /// End-to-end measurements with real daemons.
    pub path: Option<PathSpec>,
    /// Cost of state and decisions by size of the deployment.
    pub scale: Option<ScaleSpec>,
}

/// Deployment sizes at which the cost of state and decisions is measured.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleSpec {
    /// Numbers of groups.
    pub groups: Vec<usize>,
    /// Numbers of VMs.
    pub vms: Vec<usize>,
    /// Numbers of callers whose write positions are kept.
    pub callers: Vec<usize>,
}

/// Load on one simulated group.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodSpec {
    /// Statements that a member runs at once.
    pub slots: u32,
    /// Connections that a member accepts at once.
    pub connections: u32,
    /// Duration of the load in virtual seconds.
    pub seconds: u64,
    /// Start and end of the time in which replicas receive nothing, in seconds of load.
    #[serde(default)]
    pub replicas_still_s: Option<[u64; 2]>,
    /// Start and end of the time without a primary, in seconds of load.
    #[serde(default)]
    pub no_primary_s: Option<[u64; 2]>,
    /// Factors to run with; each multiplies the rates of the classes that flood.
    pub factors: Vec<f64>,
    /// Classes of requests that arrive at the group.
    pub classes: Vec<ClassSpec>,
}

/// Class of requests with the same rank, policy and rate.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Rank under which the requests are scheduled.
    pub rank: Rank,
    /// Whether the requests are writes; reads otherwise.
    #[serde(default)]
    pub writes: bool,
    /// Whether the factor multiplies the rate of this class.
    #[serde(default)]
    pub floods: bool,
    /// Mean arrivals per second at factor 1.
    pub rate: f64,
    /// Mean time for which a request holds its slot, in milliseconds.
    pub service_ms: f64,
    /// Share of the slots that is guaranteed to the class, in percent.
    #[serde(default)]
    pub floor: u32,
    /// Maximum number of waiting requests; 0 for no limit.
    #[serde(default)]
    pub queue: u32,
    /// Target latency in milliseconds; 0 for none.
    #[serde(default)]
    pub target_ms: u64,
    /// Accepted staleness in milliseconds; 0 for current data.
    #[serde(default)]
    pub age_ms: u64,
}

/// Load on real daemons.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathSpec {
    /// Preset of the deployment: `prensa-sul` or `registry`.
    pub preset: String,
    /// Number of requests of each latency measurement.
    pub requests: u64,
    /// Replication lags at which the share of reads on replicas is measured, in milliseconds.
    #[serde(default)]
    pub lags_ms: Vec<u64>,
    /// Number of idle callers whose memory is measured; 0 to leave the measurement out.
    #[serde(default)]
    pub idle: u64,
    /// Number of primary failures to measure; 0 to leave the measurement out.
    #[serde(default)]
    pub failovers: u64,
    /// Duration of a platform outage under load, in seconds; 0 for none.
    #[serde(default)]
    pub outage_seconds: u64,
    /// Time over which the cost of idle daemons is measured, in seconds; 0 to leave it out.
    #[serde(default)]
    pub store_seconds: u64,
}

impl Experiment {
    /// Reads an experiment file in TOML. Unknown keys are errors.
    pub fn load(path: &Path) -> Result<Experiment, BenchError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).context(FileSnafu { file: file.clone() })?;
        toml::from_str(&text)
            .map_err(|error| BenchError::Parse { file, message: error.to_string() })
    }
}

fn default_seed() -> u64 {
    1
}
