use std::{collections::BTreeMap, time::Duration};

/// What callers were told, and what they saw that must not be.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// WriteOutcome of each write that was sent, by the request that would commit it.
    pub(crate) writes: BTreeMap<String, WriteOutcome>,
    /// Broken promises, in words.
    pub(crate) violations: Vec<String>,
    /// Requests that ended without an answer: after what time and at which daemon.
    pub(crate) interrupted: Vec<(Duration, usize, String)>,
    pub(crate) statements: u64,
    pub(crate) successes: u64,
}

/// What a caller was told of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    Acknowledged,
    NotCommitted,
    InDoubt,
}
