use base::{Position, Span, Term, Time};

use crate::{event::ProbeReply, status::MemberStatus};

/// Shortest time between rounds while replies to the latest one are outstanding.
const MIN_ROUND_INTERVAL: Span = Span::from_millis(2);

/// Schedule of the status probes, and the latest reply of each member.
#[derive(Debug)]
pub(crate) struct Probes {
    heartbeat: Span,
    last_round: u64,
    last_started_at: Option<Time>,
    is_requested: bool,
    replies: Vec<Option<ProbeReply>>,
}

impl Probes {
    pub(crate) fn new(members: usize, heartbeat: Span) -> Probes {
        Probes {
            heartbeat,
            last_round: 0,
            last_started_at: None,
            is_requested: false,
            replies: vec![None; members],
        }
    }

    /// Requests a round that starts from now on, and returns its number.
    pub(crate) fn request_round(&mut self) -> u64 {
        self.is_requested = true;
        self.last_round + 1
    }

    /// Number of the next round to start.
    pub(crate) fn next_round(&self) -> u64 {
        self.last_round + 1
    }

    /// Starts a round if one is due, and returns its number.
    pub(crate) fn start_round(&mut self, now: Time) -> Option<u64> {
        let since = self.last_started_at.map(|at| now.since(at));
        let heartbeat = since.is_none_or(|since| since >= self.heartbeat);
        let may_start =
            since.is_none_or(|since| since >= MIN_ROUND_INTERVAL) || self.all_answered();
        let due = heartbeat || (self.is_requested && may_start);
        if !due {
            return None;
        }
        self.is_requested = false;
        self.last_round += 1;
        self.last_started_at = Some(now);
        Some(self.last_round)
    }

    /// Stores a reply unless one of a later round is known.
    pub(crate) fn record(&mut self, reply: ProbeReply) {
        let place = &mut self.replies[reply.member];
        if place.is_none_or(|latest| latest.round <= reply.round) {
            *place = Some(reply);
        }
    }

    /// The reply of the primary, if it is proven to have led `term` when `round` started: the
    /// primary and a majority of the members confirmed the term in reply to probes that were
    /// sent after the start.
    pub(crate) fn proof(&self, round: u64, term: Term, primary: usize) -> Option<ProbeReply> {
        let confirms = |reply: &ProbeReply| reply.round >= round && reply.status.term == term;
        let own = self.replies[primary].filter(|reply| confirms(reply) && reply.status.primary)?;
        let confirmations = self.replies.iter().flatten().filter(|reply| confirms(reply)).count();
        (confirmations > self.replies.len() / 2).then_some(own)
    }

    /// Whether a member other than `primary` has the log up to `position` in `term`.
    pub(crate) fn replicated(&self, term: Term, primary: usize, position: Position) -> bool {
        let others = self.replies.iter().flatten().filter(|reply| reply.member != primary);
        let holders =
            others.filter(|reply| reply.status.term == term && reply.status.log_end >= position);
        // With the primary, so many that every majority, and so every election, meets one of them.
        let required = (self.replies.len().div_ceil(2) - 1).max(1);
        holders.count() >= required
    }

    /// Latest known status of a member; `None` if it has never replied.
    pub(crate) fn status(&self, member: usize) -> Option<MemberStatus> {
        self.replies[member].map(|reply| reply.status)
    }

    fn all_answered(&self) -> bool {
        self.replies.iter().flatten().filter(|reply| reply.round >= self.last_round).count()
            == self.replies.len()
    }
}

#[cfg(test)]
mod tests;
