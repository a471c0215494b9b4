use std::net::SocketAddr;

use base::Term;

/// ReachabilityQuery whether a daemon reaches a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReachabilityQuery {
    /// Address of the member.
    pub member: SocketAddr,
    /// Term under which it should be primary.
    pub term: Term,
}

/// What a daemon sees of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Reachability {
    /// It answers and is primary under the term.
    Reachable,
    /// It does not, or under another term.
    Unreachable,
}
