use std::net::SocketAddr;

use base::Term;

/// Asks a daemon whether it reaches a member as primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReachabilityQuery {
    /// Address of the member.
    pub member: SocketAddr,
    /// Term in which the member should be primary.
    pub term: Term,
}

/// Reply to a [`ReachabilityQuery`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Reachability {
    /// The member answered and is primary in the term.
    Reachable,
    /// The member did not answer in time, is a replica, or is primary in another term.
    Unreachable,
}
