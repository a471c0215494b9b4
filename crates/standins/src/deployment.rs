use std::{fs, net::SocketAddr, path::Path};

use snafu::{ResultExt, Snafu};

/// Contents of a deployment file: what the stand-ins simulate.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Address on which the platform's HTTP service listens; port 0 for any free one.
    pub platform: SocketAddr,
    /// Replication lag of the replicas, in milliseconds.
    #[serde(default = "default_lag_ms")]
    pub lag_ms: u64,
    /// Time that a member takes to accept a connection, in milliseconds.
    #[serde(default = "default_open_ms")]
    pub open_ms: u64,
    /// Minimum time for which a statement occupies its slot, in microseconds.
    #[serde(default)]
    pub service_us: u64,
    /// Number of statements that a member runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Limit of concurrent connections to a member.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Initial operators' table, in CSV.
    pub table: String,
    /// Database groups, each replicated among its own members.
    pub groups: Vec<GroupSpec>,
    /// Initial VM list of the platform.
    #[serde(default)]
    pub vms: Vec<VmSpec>,
}

/// A database group of a deployment.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Name of the group, unique in the deployment.
    pub id: String,
    /// Members of the group; the first is the initial primary.
    pub members: Vec<MemberSpec>,
}

/// A member of a database group.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSpec {
    /// Name of the member, unique in the deployment.
    pub id: String,
    /// Availability zone of the member.
    pub zone: String,
    /// Address on which it listens; port 0 for any free one.
    pub addr: SocketAddr,
}

/// A row of the platform's VM list.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// Name of the VM, the key of its row.
    pub id: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which its daemon takes control calls from other daemons.
    pub control: SocketAddr,
    /// Address on which its daemon takes requests that other daemons forward.
    pub forward: SocketAddr,
    /// Whether the VM is being taken out of service.
    #[serde(default)]
    pub leaving: bool,
}

/// Error while loading a deployment file.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// The file could not be read.
    #[snafu(display("{file}: {source}"))]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or has an invalid value.
    #[snafu(display("{file}: {source}"))]
    Parse {
        /// Path of the file.
        file: String,
        /// Names the key and the place in the file.
        source: toml::de::Error,
    },
}

impl Deployment {
    /// Loads a deployment file in TOML.
    pub fn load(path: &Path) -> Result<Deployment, DeploymentError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).context(ReadSnafu { file: file.clone() })?;
        toml::from_str(&text).context(ParseSnafu { file })
    }
}

fn default_lag_ms() -> u64 {
    20
}

fn default_open_ms() -> u64 {
    10
}

fn default_slots() -> u32 {
    3
}

fn default_connections() -> u32 {
    20
}
