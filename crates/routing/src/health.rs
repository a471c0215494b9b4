use base::{Span, Time};

const FAILURES_TO_EJECT: u32 = 3;
const FIRST_EJECTION: Span = Span::from_millis(500);
const MAX_DOUBLINGS: u32 = 2;

/// Whether a member answers, and whether it is kept out for a while.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    last_seen: Option<Time>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl Health {
    /// Notes an answer at `now`.
    pub fn record_answer(&mut self, now: Time) {
        self.last_seen = Some(now);
        self.failures = 0;
    }

    /// Notes a request that broke; repeated failures eject the member. Afterwards
    /// one failure ejects it again, for twice the time, until a request succeeds.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        let on_trial = self.ejections > 0;
        if self.failures < FAILURES_TO_EJECT && !on_trial {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let span = Span::from_micros(FIRST_EJECTION.as_micros() << doublings);
        self.ejected_until = Some(now + span);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Notes a request that succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Whether requests may go there: an answer within `patience`, no ejection.
    pub fn is_usable(&self, now: Time, patience: Span) -> bool {
        self.is_reachable(now, patience) && !self.is_ejected(now)
    }

    /// Whether repeated failures keep the member out for now.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether the member answered within `patience`.
    pub fn is_reachable(&self, now: Time, patience: Span) -> bool {
        self.last_seen.is_some_and(|seen| now.since(seen) <= patience)
    }

    /// When the member last answered.
    pub fn last_seen(&self) -> Option<Time> {
        self.last_seen
    }
}
