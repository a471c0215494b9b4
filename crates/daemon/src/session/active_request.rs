use std::net::SocketAddr;

use base::{RequestId, Time};
use home::Refusal;
use table::{Policy, RowKey};
use wire::Frame;

use crate::{
    group::{Granted, GroupHandle},
    session::plan::Plan,
};

/// A request on its way.
pub(crate) struct ActiveRequest<'a> {
    /// Number of the present try.
    pub(crate) id: RequestId,
    /// Messages of the caller.
    pub(crate) frames: &'a [Frame],
    /// What they need.
    pub(crate) plan: &'a Plan,
    /// Whether the request has its end already.
    pub(crate) synced: bool,
    /// Name and rank.
    pub(crate) key: RowKey,
    /// Weight and limits of the name and rank.
    pub(crate) policy: Policy,
    /// When it stops being worth running.
    pub(crate) deadline: Time,
    /// Key that makes it safe to submit again.
    pub(crate) idempotency_key: Option<String>,
}

impl ActiveRequest<'_> {
    /// Whether the request must not run twice and has no key that prevents it.
    pub(crate) fn must_not_repeat(&self) -> bool {
        self.plan.must_not_repeat() && self.idempotency_key.is_none()
    }
}

/// Where a group is at home.
pub(crate) enum Location {
    /// At this daemon.
    Local(GroupHandle),
    /// At the daemon with this address.
    Remote(SocketAddr),
    /// Nobody knows.
    Unknown,
}

/// Outcome of asking for a member.
pub(crate) enum SubmitOutcome {
    /// The right to run.
    Granted(Box<Granted>),
    /// Refused; it has not run.
    Refused(Refusal),
    /// Cancelled; it has not run.
    Cancelled,
    /// The caller is gone.
    CallerGone,
}

/// Outcome of one try.
pub(crate) enum AttemptOutcome {
    /// The caller has its answer.
    Answered,
    /// Nothing has run, or it may safely run again; another try may help.
    Retry(&'static str),
    /// It is to be sent elsewhere; no upstream has been bothered.
    Reroute(&'static str),
    /// The caller is gone.
    CallerGone,
}
