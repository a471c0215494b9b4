use base::{MemberId, Position, RequestId, Term};

use crate::refusal::Refusal;

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a request.
    Dispatch(Dispatch),
    /// Run a statement on the connection that its session holds.
    RunPinned {
        /// Number of the request.
        req: RequestId,
        /// Member of the connection.
        member: MemberId,
    },
    /// Refuse a request; it has not run.
    Refuse {
        /// Number of the request.
        req: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Acknowledge a commit.
    Acknowledge {
        /// Number of the request.
        req: RequestId,
    },
    /// Tell the caller that it is unknown whether its commit took effect.
    Unresolved {
        /// Number of the request.
        req: RequestId,
        /// Why.
        reason: &'static str,
    },
    /// Ask every member for its status.
    Probe {
        /// Number of the round.
        round: u64,
    },
    /// Open a connection ahead of need.
    Warm {
        /// Member to connect to.
        member: MemberId,
    },
    /// The primary has been silent for too long.
    Suspect {
        /// The primary.
        primary: MemberId,
        /// Its term.
        term: Term,
    },
    /// Some member has accepted a higher term than the platform told us.
    NewerTerm {
        /// The higher term.
        term: Term,
    },
    /// A member follows an older primary and must be told of the present one.
    Repoint {
        /// The member.
        member: MemberId,
        /// The present primary.
        primary: MemberId,
        /// Its term.
        term: Term,
    },
}

/// A request that may run now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Number of the request.
    pub req: RequestId,
    /// Member that runs it.
    pub member: MemberId,
    /// Term under which it goes out.
    pub term: Term,
    /// Where its connection comes from.
    pub connection: ConnectionSource,
    /// Position that the caller must see.
    pub required: Position,
    /// Why this member.
    pub reason: &'static str,
}

/// Where a connection comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionSource {
    /// One that is open and idle.
    Idle,
    /// One to be opened.
    New,
}
