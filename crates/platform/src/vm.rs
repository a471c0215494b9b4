use std::net::SocketAddr;

use base::{VmId, Zone};

/// Entry of the platform's VM list: a VM and the addresses of its daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct VmRecord {
    /// Name that identifies the VM.
    pub id: VmId,
    /// Availability zone that the VM runs in.
    pub zone: Zone,
    /// Address for control calls from other daemons.
    pub control: SocketAddr,
    /// Address for requests that other daemons forward.
    pub forward: SocketAddr,
    /// Whether the VM is being taken out of service.
    #[serde(default)]
    pub leaving: bool,
}
