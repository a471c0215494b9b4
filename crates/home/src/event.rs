use base::{MemberId, RequestId, Span, Term, Time};

use crate::{
    status::MemberStatus,
    submission::{Commit, PinnedStatement, Submission},
};

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks for a member.
    Submitted(Submission),
    /// A statement asks for a slot on a connection that is held already.
    Pinned(PinnedStatement),
    /// A request that was dispatched has ended.
    Finished(Finished),
    /// A connection that a session held outside of a request is free or gone.
    Released {
        /// Member of the connection.
        member: MemberId,
        /// What became of it.
        connection: ConnectionState,
    },
    /// The opening of a warm connection ended.
    Warmed {
        /// Member of the connection.
        member: MemberId,
        /// Whether it is open now.
        open: bool,
    },
    /// The primary has committed a write.
    Committed(Commit),
    /// The caller of a request is gone.
    Cancelled(RequestId),
    /// A member answered a probe.
    Probed(ProbeReply),
    /// The platform records a primary.
    PrimaryRecorded {
        /// Its term.
        term: Term,
        /// The primary; `None` while a change is under way.
        primary: Option<MemberId>,
    },
    /// The set of members that leave.
    Leaving(Vec<MemberId>),
    /// Until when no other daemon can be this group's home.
    Exclusive {
        /// End of the trust.
        until: Time,
    },
    /// This daemon holds the claim; until `exclusive_from` another daemon may still
    /// trust its memory of the group. Writes wait for this.
    BecameHome {
        /// When acknowledgements may start.
        exclusive_from: Time,
    },
    /// This daemon is no longer the home.
    Retired,
    /// This daemon hands the group over; memory may not be trusted any more.
    HandoverStarted,
    /// Time has passed.
    Tick,
}

/// How a dispatched request ended.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Number of the request.
    pub req: RequestId,
    /// Time that it held its slot.
    pub service: Span,
    /// How it went.
    pub result: RunResult,
    /// What became of its connection.
    pub connection: ConnectionState,
}

/// How a run at a member went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// The member answered, with a result or an error.
    Answered,
    /// The member refused the term; the request has not run.
    StaleTerm,
    /// The member could not be reached, or the connection broke.
    Broken,
}

/// What became of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// Clean and free for others.
    Idle,
    /// Still held by its session.
    Held,
    /// Closed.
    Closed,
}

/// Answer of a member to a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeReply {
    /// Index of the member in the settings.
    pub member: usize,
    /// Highest round that had begun when the question was sent.
    pub round: u64,
    /// When the question was sent.
    pub asked_at: Time,
    /// The answer.
    pub status: MemberStatus,
}
