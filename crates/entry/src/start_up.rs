use std::sync::atomic::{AtomicU8, Ordering};

use base::{Span, Time};

/// Step between the start of a process and its first answer. Steps may be reached in any order.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum StartStep {
    /// The configuration is in force.
    Configuration,
    /// Another carrier has answered a heartbeat.
    Heartbeat,
    /// This daemon is a carrier.
    Carrier,
    /// It may use primaries.
    Grant,
    /// It may use its own share of the organisations' limits.
    Share,
    /// A connection to a member is open.
    Connection,
    /// A statement has been answered.
    Answer,
}

/// The steps that this process has reached. Each is logged once, with the age of the process.
#[derive(Debug)]
pub(crate) struct StartUp {
    started_at: Time,
    reached: AtomicU8,
}

impl StartUp {
    pub(crate) fn new(started_at: Time) -> StartUp {
        StartUp { started_at, reached: AtomicU8::new(0) }
    }

    /// Whether a step has been reached.
    pub(crate) fn has_reached(&self, step: StartStep) -> bool {
        self.reached.load(Ordering::Relaxed) & bit(step) != 0
    }

    /// Records that a step has been reached; returns the age of the process if it is the first time.
    pub(crate) fn reach(&self, now: Time, step: StartStep) -> Option<Span> {
        if self.has_reached(step) {
            return None;
        }
        let before = self.reached.fetch_or(bit(step), Ordering::Relaxed);
        (before & bit(step) == 0).then(|| now.since(self.started_at))
    }
}

fn bit(step: StartStep) -> u8 {
    1 << step as u8
}
