use base::{Span, Time};

use crate::seconds;

/// Time constant of the estimate that shows a change quickly, in seconds.
const FAST_S: f64 = 0.3;
/// Time constant of the estimate that is used while the rate is steady, in seconds. Shares that
/// follow random fluctuations cost tokens at each change.
const SLOW_S: f64 = 3.0;
/// Standard deviations of the fast estimate by which the slow one may differ from it.
const DEVIATIONS: f64 = 1.5;

/// Demand that is reported for a while after the last operation, per 1,000 seconds.
pub(crate) const REMEMBERED_DEMAND: u32 = 1;
/// How long after the last operation demand is reported. The carrier that had demand last
/// keeps the loans and with them its tokens, for the next burst.
const REMEMBERED: Span = Span::from_millis(300_000);

/// Least demand that is reported after a pause while operations lack tokens, per 1,000 seconds.
/// When a few operations per second move to another carrier, the slow estimate takes seconds to
/// rise there and to fall here, and the empty bucket is filled at a small part of the rate.
const BEGINNING_DEMAND: u32 = 20_000;
/// How long after the first operation the least demand is reported: until the slow estimate has
/// settled.
const BEGINNING: Span = Span::from_millis(3_000);
/// How long the least demand is reported after an operation that got no token.
const LACKING: Span = Span::from_millis(1_000);
/// Time without operations after which demand counts as new.
const PAUSE: Span = Span::from_millis(3_000);

/// Time constant of the estimate of the demand before it rose, in seconds: longer than loans take to
/// follow demand.
const BEFORE_S: f64 = 2.0;
/// Part by which demand that has risen recently exceeds the one before.
const RISE: f64 = 0.2;

/// Smoothed rate of an organisation's operations at one carrier, including those that are refused.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    fast: f64,
    slow: f64,
    before: f64,
    updated_at: Time,
    recorded_at: Option<Time>,
    /// When the first operation after a pause arrived.
    began_at: Time,
    /// When the last operation got no token.
    lacked_at: Option<Time>,
}

impl Demand {
    pub(crate) fn new(now: Time) -> Demand {
        Demand {
            fast: 0.0,
            slow: 0.0,
            before: 0.0,
            updated_at: now,
            recorded_at: None,
            began_at: now,
            lacked_at: None,
        }
    }

    /// Records the arrival of an operation.
    pub(crate) fn record(&mut self, now: Time) {
        self.advance(now);
        self.fast += 1.0 / FAST_S;
        self.slow += 1.0 / SLOW_S;
        if self.recorded_at.is_none_or(|at| now.since(at) >= PAUSE) {
            self.began_at = now;
        }
        self.recorded_at = Some(now);
    }

    /// Records that there was no token for an operation.
    pub(crate) fn record_lack(&mut self, now: Time) {
        self.lacked_at = Some(now);
    }

    /// Operations per second that are estimated to arrive now, and before they became more. `None` if
    /// they have not become more recently, unless the carrier `begins`.
    pub(crate) fn rise(&mut self, now: Time, begins: bool) -> Option<(f64, f64)> {
        self.advance(now);
        let has_risen = self.slow > self.before * (1.0 + RISE);
        (has_risen || begins).then_some((self.slow, self.before))
    }

    /// When the first operation after a pause arrived.
    pub(crate) fn began_at(&self) -> Time {
        self.began_at
    }

    /// Estimated operations per 1,000 seconds; at least [`REMEMBERED_DEMAND`] for a while after the
    /// last one.
    pub(crate) fn per_1000_s(&mut self, now: Time) -> u32 {
        self.advance(now);
        let is_remembered = self.recorded_at.is_some_and(|at| now.since(at) < REMEMBERED);
        let lacks_tokens = self.lacked_at.is_some_and(|at| now.since(at) < LACKING);
        let least = if lacks_tokens && now.since(self.began_at) < BEGINNING {
            BEGINNING_DEMAND
        } else if is_remembered {
            REMEMBERED_DEMAND
        } else {
            0
        };
        ((self.slow * 1e3) as u32).max(least)
    }

    fn advance(&mut self, now: Time) {
        if now > self.updated_at {
            self.decay(seconds(now.since(self.updated_at)));
            self.updated_at = now;
        }
    }

    fn decay(&mut self, elapsed: f64) {
        self.fast *= (-elapsed / FAST_S).exp();
        self.before += (self.slow - self.before) * (1.0 - (-elapsed / BEFORE_S).exp());
        self.slow *= (-elapsed / SLOW_S).exp();
        // Variance of the fast estimate if arrivals are independent of each other.
        let variance = self.fast.max(self.slow) / (2.0 * FAST_S);
        let tolerance = DEVIATIONS * variance.sqrt();
        self.slow = self.slow.clamp((self.fast - tolerance).max(0.0), self.fast + tolerance);
    }
}
