use base::{OrganisationId, Span, Time};

/// An idle connection to a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Idle {
    pub(crate) conn: u64,
    pub(crate) organisation: OrganisationId,
    /// Time since which it has been idle.
    pub(crate) since: Time,
    /// Whether a request has run on it.
    pub(crate) used: bool,
}

/// A connection to a member that is in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Busy {
    pub(crate) organisation: OrganisationId,
    /// Time since which it has been in use.
    pub(crate) since: Time,
    /// Start of the member's process when it was taken into use.
    pub(crate) born: u64,
    /// Whether its request has ended, so that it is returned at once unless it is held.
    pub(crate) ended: bool,
    /// Whether its user keeps it for an unknown time, as for an open transaction.
    pub(crate) held: bool,
}

impl Busy {
    /// Expected time until the connection becomes idle, if requests take `latency` on average;
    /// `None` if it is unknown.
    pub(crate) fn idle_in(&self, now: Time, latency: Span) -> Option<Span> {
        if self.held {
            return None;
        }
        if self.ended {
            return Some(Span::ZERO);
        }
        let elapsed = now.since(self.since).as_micros();
        let latency = latency.as_micros();
        // A request that takes longer than most is expected to take as long again.
        let left = if elapsed < latency { latency - elapsed } else { elapsed };
        Some(Span::from_micros(left))
    }
}
