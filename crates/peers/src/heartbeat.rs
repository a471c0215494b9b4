use std::net::SocketAddr;

use base::{VmId, Zone};

/// A heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Heartbeat {
    /// VM of the sender.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: Zone,
    /// Number of the daemon's run.
    pub incarnation: u64,
    /// Its address for control calls.
    pub control: SocketAddr,
    /// Its address for forwarded requests.
    pub forward: SocketAddr,
    /// Whether it stops.
    pub leaving: bool,
    /// Version of the table that it has in force.
    pub table: u64,
}
