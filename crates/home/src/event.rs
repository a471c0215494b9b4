use base::{MemberId, RequestId, Span, Term, Time};

use crate::{
    status::MemberStatus,
    submission::{Commit, PinnedStatement, Submission},
};

/// Event that the daemon reports to the home.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request needs a member to run on.
    Submitted(Submission),
    /// A statement is to run at the member to which its session holds a connection.
    Pinned(PinnedStatement),
    /// A dispatched request has ended.
    Finished(Finished),
    /// A connection that a session held between requests was returned or closed.
    Released {
        /// Member to which it was open.
        member: MemberId,
        /// State that it was left in.
        connection: ConnectionState,
    },
    /// An attempt to open a spare connection has ended.
    Warmed {
        /// Member to which it was to be opened.
        member: MemberId,
        /// Whether the attempt succeeded.
        open: bool,
    },
    /// The primary has committed a write, which is not yet acknowledged to the caller.
    Committed(Commit),
    /// The caller of a request has cancelled it or disconnected.
    Cancelled(RequestId),
    /// A member answered a probe.
    Probed(ProbeReply),
    /// The platform has a new record of the primary.
    PrimaryRecorded {
        /// Term of the record.
        term: Term,
        /// The primary; `None` while it is being replaced.
        primary: Option<MemberId>,
    },
    /// The members that are being taken out of service, which replaces the earlier set.
    Leaving(Vec<MemberId>),
    /// No other daemon can be the home of the group before `until`.
    Exclusive {
        /// End of the exclusive period.
        until: Time,
    },
    /// This daemon holds the claim on the group, and may run writes. Until `exclusive_from`
    /// an earlier home may still serve reads from the write positions that it knows.
    BecameHome {
        /// Earliest time at which commits may be acknowledged.
        exclusive_from: Time,
    },
    /// This daemon is no longer the home.
    Retired,
    /// This daemon hands the group over, so its write positions no longer count as complete.
    HandoverStarted,
    /// Timer event, on which deadlines and silences are checked.
    Tick,
}

/// End of a dispatched request.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Number of the request.
    pub req: RequestId,
    /// Time for which it held its slot.
    pub service: Span,
    /// Outcome at the member.
    pub result: RunResult,
    /// State that its connection was left in.
    pub connection: ConnectionState,
}

/// Outcome of a request at its member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// The member answered, with a result or an error.
    Answered,
    /// The member declined the term, so the request has not run.
    StaleTerm,
    /// The member could not be reached, or the connection failed. The request may have run.
    Broken,
}

/// State of a connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// Open, without session state, and free for other requests.
    Idle,
    /// Still in use by its session.
    Held,
    /// Closed or failed.
    Closed,
}

/// Reply of a member to a status probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeReply {
    /// Index of the member in [`HomeConfig::members`](crate::HomeConfig).
    pub member: usize,
    /// Latest round that had started when the probe was sent.
    pub round: u64,
    /// When the probe was sent.
    pub asked_at: Time,
    /// Status that the member reported.
    pub status: MemberStatus,
}
