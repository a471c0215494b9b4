use std::net::SocketAddr;

use base::{VmId, Zone};

/// Heartbeat that two daemons exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Heartbeat {
    /// VM of the sending daemon.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Incarnation of the sending daemon, which differs after a restart.
    pub incarnation: u64,
    /// Address on which it accepts control calls.
    pub control: SocketAddr,
    /// Address on which it accepts forwarded requests.
    pub forward: SocketAddr,
    /// Whether it is stopping and hands its groups over.
    pub leaving: bool,
    /// Version of the operators' table that it has applied; 0 if it has none.
    pub table: u64,
}
