use base::{Span, Time};

/// Period over which the rate of requests is averaged. It covers several requests of
/// organisations that send one every few seconds. Estimates over 10 s vary so much that the
/// connections of the wrong organisations are closed.
const AVERAGING_PERIOD: Span = Span::from_millis(30_000);
/// A usage without requests is kept for this long.
const RETENTION: Span = Span::from_millis(60_000);
/// Longest time that is told apart from never.
pub(crate) const MAX_INTERVAL: Span = Span::from_millis(3_600_000);

/// Requests of one organisation in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Number of its requests that wait.
    pub(crate) waiting: u32,
    /// Requests within the averaging period; older ones count for less.
    recent: f64,
    last: Time,
}

impl Usage {
    /// Records a request.
    pub(crate) fn record(&mut self, now: Time) {
        self.recent = self.recent_at(now) + 1.0;
        self.last = now;
    }

    /// Mean time between two requests, at most an hour.
    pub(crate) fn interval(&self, now: Time) -> Span {
        let micros = AVERAGING_PERIOD.as_micros() as f64 / self.recent_at(now);
        Span::from_micros(micros.min(MAX_INTERVAL.as_micros() as f64) as u64)
    }

    pub(crate) fn is_disused(&self, now: Time) -> bool {
        self.waiting == 0 && now.since(self.last) > RETENTION
    }

    fn recent_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.last).as_micros() as f64;
        self.recent / (1.0 + elapsed / AVERAGING_PERIOD.as_micros() as f64)
    }
}
