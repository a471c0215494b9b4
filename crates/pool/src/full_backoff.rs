use base::{Span, Time};

/// Time without attempts after the refusals of a member in deployments without organisations.
const FIXED_INTERVAL: Span = Span::from_millis(300);
/// The same after the first of several refusals in deployments with organisations.
const FIRST_INTERVAL: Span = Span::from_millis(50);
/// Longest such time. Members drop the connections of a lost VM all at once, and a carrier finds out
/// with its next attempt.
const MAX_INTERVAL: Span = Span::from_millis(400);
/// Doublings after which the longest time is reached for certain.
const MAX_DOUBLINGS: u32 = 8;
/// Each time is longer by a random part of up to this fraction, so that carriers which were refused
/// together do not return together.
const JITTER_DIVISOR: u64 = 4;

/// When connections to a member that has reached its limit are opened again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FullBackoff {
    /// Number of refusals in a row; those of concurrent attempts count once.
    refusals: u32,
    last: Time,
    until: Time,
    /// No idle connection is closed for another one before this.
    replacing_until: Time,
}

impl FullBackoff {
    /// Whether no connection may be opened in addition to those that are open.
    pub(crate) fn blocks(&self, now: Time) -> bool {
        now < self.until
    }

    /// Whether no connection may be opened in place of an idle one.
    pub(crate) fn blocks_replacing(&self, now: Time) -> bool {
        now < self.replacing_until
    }

    /// Records a refusal in a deployment without organisations.
    pub(crate) fn record_fixed(&mut self, now: Time) {
        self.until = now + FIXED_INTERVAL;
        self.replacing_until = self.until;
    }

    /// Records a refusal. At `expiry`, the member has dropped all connections of lost processes.
    /// `replaced` is whether an idle connection was closed for the one that was refused: another
    /// carrier has got its place, and may get the next one.
    pub(crate) fn record(&mut self, now: Time, expiry: Time, replaced: bool) {
        if self.last < expiry && expiry <= now {
            self.refusals = 0;
        }
        if !self.blocks(now) {
            self.refusals += 1;
        }
        self.last = now;
        let doublings = self.refusals.saturating_sub(1).min(MAX_DOUBLINGS);
        let interval = (FIRST_INTERVAL.as_micros() << doublings).min(MAX_INTERVAL.as_micros());
        let next = now + with_jitter(now, interval);
        let ends_before = now < expiry && expiry < next;
        let at_expiry = expiry + with_jitter(now, FIRST_INTERVAL.as_micros());
        self.until = if ends_before { next.min(at_expiry) } else { next };
        if replaced {
            self.replacing_until = self.until;
        }
    }

    /// Records that a connection was opened.
    pub(crate) fn clear(&mut self) {
        self.refusals = 0;
    }
}

/// An interval and its random part. The microseconds of the time of an answer differ between
/// carriers.
fn with_jitter(now: Time, interval: u64) -> Span {
    Span::from_micros(interval + now.as_micros() % (interval / JITTER_DIVISOR).max(1))
}
