use std::{collections::BTreeMap, time::Duration};

use crate::{config_history::ConfigHistory, key_history::KeyHistory, quota::LimitHistory};

/// Replies that the callers of one run received, and the violations found.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Outcome of each write that was sent, by the ID of the request that commits it.
    pub(crate) writes: BTreeMap<String, WriteOutcome>,
    /// Descriptions of violations. The first word of each names the kind of violation.
    pub(crate) violations: Vec<String>,
    /// Requests that got no response: time since the request was sent, index of the daemon,
    /// and request ID.
    pub(crate) interrupted: Vec<(Duration, usize, String)>,
    /// Changes of the extra database.
    pub(crate) config: ConfigHistory,
    /// API keys and the requests made with them.
    pub(crate) keys: KeyHistory,
    /// Limits of the organisations.
    pub(crate) limits: LimitHistory,
    pub(crate) statements: u64,
    pub(crate) successes: u64,
}

/// Outcome of a write as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    Acknowledged,
    /// The error code guarantees that nothing was committed.
    NotCommitted,
    /// The write may or may not have been committed.
    InDoubt,
}
