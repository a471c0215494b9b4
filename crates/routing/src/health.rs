use base::{Span, Time};

/// Number of consecutive failures that eject a member. Fewer may be coincidence.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
const INITIAL_EJECTION: Span = Span::from_millis(500);
/// How often the length of an ejection doubles at most; the longest one takes 2 s.
const MAX_EJECTION_DOUBLINGS: u32 = 2;

/// Reachability of a member, and its temporary ejection after repeated failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    last_seen: Option<Time>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl Health {
    /// Records that the member answered at `now`.
    pub fn record_answer(&mut self, now: Time) {
        self.last_seen = Some(now);
        self.failures = 0;
    }

    /// Records a connection that broke or could not be opened. Repeated failures eject the
    /// member for a while. After that it is on probation until a request succeeds: a single
    /// failure ejects it again, for twice as long, up to a limit.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        let is_on_probation = self.ejections > 0;
        if self.failures < CONSECUTIVE_FAILURES_TO_EJECT && !is_on_probation {
            return;
        }
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let span = Span::from_micros(INITIAL_EJECTION.as_micros() << doublings);
        self.ejected_until = Some(now + span);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Records a request that succeeded, which ends the probation.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Whether the member may get requests: it answered within `patience` and is not
    /// ejected.
    pub fn is_usable(&self, now: Time, patience: Span) -> bool {
        self.is_reachable(now, patience) && !self.is_ejected(now)
    }

    /// Whether the member is ejected at `now` because of failures.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether the member's last answer is at most `patience` old.
    pub fn is_reachable(&self, now: Time, patience: Span) -> bool {
        self.last_seen.is_some_and(|seen| now.since(seen) <= patience)
    }

    /// When the member last answered; `None` if it never has.
    pub fn last_seen(&self) -> Option<Time> {
        self.last_seen
    }
}
