use std::net::SocketAddr;

use base::{RequestId, Time};
use home::Refusal;
use table::{Policy, RowKey};
use wire::Frame;

use crate::{
    group::{Granted, GroupHandle},
    session::plan::Plan,
};

/// A request that is being served.
pub(crate) struct ActiveRequest<'a> {
    /// Identifier of the current attempt; a retry gets a new one.
    pub(crate) id: RequestId,
    /// Messages as received from the caller.
    pub(crate) frames: &'a [Frame],
    /// Execution requirements of the messages.
    pub(crate) plan: &'a Plan,
    /// Whether the request is complete: a simple query, or ended by a Sync.
    pub(crate) synced: bool,
    /// Name and rank, the key of the row in the table.
    pub(crate) key: RowKey,
    /// Weight and limits that the table sets for the name and rank.
    pub(crate) policy: Policy,
    /// Time after which the request is refused rather than run.
    pub(crate) deadline: Time,
    /// Idempotency key, which makes the request safe to retry; `None` without one.
    pub(crate) idempotency_key: Option<String>,
    /// Whether an earlier attempt may have run, so that the caller must not be told that the
    /// request has not run.
    pub(crate) may_have_run: bool,
}

impl ActiveRequest<'_> {
    /// Whether the request must not run twice and has no idempotency key.
    pub(crate) fn must_not_repeat(&self) -> bool {
        self.plan.must_not_repeat() && self.idempotency_key.is_none()
    }
}

/// Daemon that is the home of a group.
pub(crate) enum Location {
    /// This daemon.
    Local(GroupHandle),
    /// The daemon that accepts forwarded requests at this address.
    Remote(SocketAddr),
    /// No home is known.
    Unknown,
}

/// Outcome of submitting a request to the group's home.
pub(crate) enum SubmitOutcome {
    /// The request may run at the granted member.
    Granted(Box<Granted>),
    /// The home refused the request; it has not run.
    Refused(Refusal),
    /// The caller cancelled the request; it has not run.
    Cancelled,
    /// The caller is gone.
    CallerGone,
}

/// Outcome of one attempt to run a request.
pub(crate) enum AttemptOutcome {
    /// The response is sent or queued.
    Answered,
    /// Nothing has run, or the request may safely run again; a retry, counted against
    /// the retry budgets, may succeed. The text is the reason.
    Retry(&'static str),
    /// As [`AttemptOutcome::Retry`], but the request may have run.
    RetryUnresolved(&'static str),
    /// The home is unknown, unreachable or has moved; no member was involved, so a
    /// retry is not counted. The text is the reason.
    Reroute(&'static str),
    /// The caller is gone.
    CallerGone,
}
