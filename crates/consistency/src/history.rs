use std::collections::VecDeque;

use base::{Position, Span, Time};

/// Recent log positions of the primary, from which the staleness of replicas is computed.
#[derive(Debug)]
pub struct PrimaryHistory {
    retention: Span,
    samples: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    asked_at: Time,
    position: Position,
}

impl PrimaryHistory {
    /// Creates an empty history that keeps samples for `retention`.
    pub fn new(retention: Span) -> PrimaryHistory {
        PrimaryHistory { retention, samples: VecDeque::new() }
    }

    /// Records that the primary, asked at `asked_at`, answered with `position`.
    pub fn record(&mut self, asked_at: Time, position: Position) {
        self.samples.push_back(Sample { asked_at, position });
        let expired_before = asked_at.before(self.retention);
        while self.samples.front().is_some_and(|sample| sample.asked_at < expired_before) {
            self.samples.pop_front();
        }
    }

    /// Returns a position that includes everything written up to `age` before `now`.
    ///
    /// It is the answer to the first question that was asked at or after that time. `None`
    /// if no such question has been answered.
    pub fn position_covering(&self, now: Time, age: Span) -> Option<Position> {
        let oldest = now.before(age);
        let index = self.samples.partition_point(|sample| sample.asked_at < oldest);
        self.samples.get(index).map(|sample| sample.position)
    }

    /// Removes all samples, as is necessary when another member has become primary.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
