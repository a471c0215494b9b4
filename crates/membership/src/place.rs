use std::net::SocketAddr;

use base::VmId;

/// Destination of the requests for a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place {
    /// This daemon, which is the home or about to claim the group.
    Here,
    /// Another daemon.
    There {
        /// VM of that daemon.
        vm: VmId,
        /// Address at which that daemon accepts forwarded requests.
        forward: SocketAddr,
    },
    /// No daemon can serve the group yet: none is known to be alive, or this one
    /// has just started and waits for heartbeats before it claims the group.
    Nowhere,
}
