use std::collections::VecDeque;

use base::{Position, Span, Time};

/// Positions of the primary over the recent past, to tell how old data is.
#[derive(Debug)]
pub struct PrimaryHistory {
    keep: Span,
    samples: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    asked_at: Time,
    position: Position,
}

impl PrimaryHistory {
    /// A history that reaches back for `keep`.
    pub fn new(keep: Span) -> PrimaryHistory {
        PrimaryHistory { keep, samples: VecDeque::new() }
    }

    /// Notes that a question asked at `asked_at` found the primary at `position`.
    pub fn record(&mut self, asked_at: Time, position: Position) {
        self.samples.push_back(Sample { asked_at, position });
        let horizon = asked_at.before(self.keep);
        while self.samples.front().is_some_and(|sample| sample.asked_at < horizon) {
            self.samples.pop_front();
        }
    }

    /// A position that holds everything written up to `age` before `now`.
    ///
    /// The primary was asked at or after that moment, so its answer covers it.
    /// `None` if it has not been asked since.
    pub fn position_covering(&self, now: Time, age: Span) -> Option<Position> {
        let oldest = now.before(age);
        let index = self.samples.partition_point(|sample| sample.asked_at < oldest);
        self.samples.get(index).map(|sample| sample.position)
    }

    /// Forgets everything, as after a change of primary.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
