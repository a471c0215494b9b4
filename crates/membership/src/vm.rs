use std::net::SocketAddr;

use base::{VmId, Zone};

/// Identifies one run of a daemon: a restarted daemon has another incarnation. 0 means
/// that no heartbeat has been received, or that no daemon is known to run there.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Incarnation(pub u64);

/// A VM that runs a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Name of the VM, unique within the deployment.
    pub id: VmId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address at which the daemon accepts control calls.
    pub control: SocketAddr,
    /// Address at which the daemon accepts forwarded requests.
    pub forward: SocketAddr,
}
