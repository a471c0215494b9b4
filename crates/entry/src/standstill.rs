use base::{Span, Time};

/// Time between two observations from which on the process counts as having stood still: several
/// missed heartbeats, and more than a VM waits that has used up its share of a core.
const MIN_STANDSTILL: Span = Span::from_millis(1_000);

/// Notices that a thread has not run for a while, because its VM was suspended or had no processor
/// time. What others did not answer meanwhile says nothing about them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StandstillDetector {
    last_observed: Time,
    resumed_at: Time,
}

impl StandstillDetector {
    /// Starts to observe a thread that runs at `now`.
    pub(crate) fn new(now: Time) -> StandstillDetector {
        StandstillDetector { last_observed: now, resumed_at: now }
    }

    /// Records that the thread runs. Must be called several times a second. Returns for how long
    /// it did not run, if that counts as a standstill.
    pub(crate) fn observe(&mut self, now: Time) -> Option<Span> {
        let gap = now.since(self.last_observed);
        self.last_observed = now;
        let stood_still = gap >= MIN_STANDSTILL;
        if stood_still {
            self.resumed_at = now;
        }
        stood_still.then_some(gap)
    }

    /// Time for which the thread has been running since its start or its last standstill. A
    /// standstill that has not been observed yet ends now.
    pub(crate) fn running_for(&self, now: Time) -> Span {
        let is_unobserved = now.since(self.last_observed) >= MIN_STANDSTILL;
        if is_unobserved { Span::ZERO } else { now.since(self.resumed_at) }
    }
}

#[cfg(test)]
mod tests;
