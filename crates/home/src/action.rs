use base::{MemberId, Position, RequestId, Term};

use crate::refusal::Refusal;

/// Action that the daemon carries out for the home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a request at a member.
    Dispatch(Dispatch),
    /// Run a pinned statement on the connection that its session holds.
    RunPinned {
        /// Number of the request.
        req: RequestId,
        /// Member to which the connection is open.
        member: MemberId,
    },
    /// Refuse a request, which has not run.
    Refuse {
        /// Number of the request.
        req: RequestId,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// Acknowledge a commit to its caller.
    Acknowledge {
        /// Number of the request.
        req: RequestId,
    },
    /// Tell the caller that it is unknown whether its commit took effect.
    Unresolved {
        /// Number of the request.
        req: RequestId,
        /// What could not be established, for the caller.
        reason: &'static str,
    },
    /// Query the status of every member.
    Probe {
        /// Number of the probe round, which the replies carry back.
        round: u64,
    },
    /// Open a spare connection, so that a later request need not wait for one.
    Warm {
        /// Member to connect to.
        member: MemberId,
    },
    /// The primary has not answered for [`HomeConfig::suspect_after`](crate::HomeConfig).
    Suspect {
        /// The suspected primary.
        primary: MemberId,
        /// Term of that primary.
        term: Term,
    },
    /// A member has accepted a higher term than the one on record here.
    NewerTerm {
        /// Term that the member reported.
        term: Term,
    },
    /// A member is in an older term, acts as a primary that was replaced, or has a diverged
    /// log. It must be told to follow the current primary.
    Repoint {
        /// Member to redirect.
        member: MemberId,
        /// Current primary.
        primary: MemberId,
        /// Term of the current primary.
        term: Term,
    },
}

/// A request that has a slot, and where to run it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Number of the request.
    pub req: RequestId,
    /// Member that runs it.
    pub member: MemberId,
    /// Term to send with the request, which the member may decline as stale.
    pub term: Term,
    /// Whether to use an idle connection or a new one.
    pub connection: ConnectionSource,
    /// Log position that the read must observe at least.
    pub required: Position,
    /// Why this member was chosen, for logs and traces.
    pub reason: &'static str,
}

/// Source of the connection for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionSource {
    /// An open, idle connection.
    Idle,
    /// A connection to be opened.
    New,
}
