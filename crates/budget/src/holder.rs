use base::Time;

use crate::limits::SMALL_BYTES;

/// Identifies a session in the budget. Identifiers of closed sessions are not reused, and have no
/// effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderId {
    pub(crate) index: usize,
    pub(crate) generation: u64,
}

/// What a session is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Its start-up message has not been received yet.
    Startup,
    /// Waits for a message of which nothing has been received.
    Idle,
    /// Has received a part of a message, in bytes.
    Receiving { since: Time, bytes: u64 },
    /// Executes a statement.
    Running,
    /// Sends an answer that the socket does not take at once.
    Sending,
}

/// What a session holds.
#[derive(Debug)]
pub(crate) struct Holder<T> {
    pub(crate) handle: T,
    pub(crate) phase: Phase,
    pub(crate) opened_at: Time,
    /// When bytes were last received or sent in the present phase.
    pub(crate) progress_at: Time,
    /// Bytes of the message that it receives or executes, and of the answer.
    pub(crate) transient: u64,
    /// The part of the transient bytes' charge that belongs to a message.
    pub(crate) admitted: u64,
    /// Bytes of the answer that is being read, as far as they were reserved.
    pub(crate) answer: u64,
    /// Bytes of its prepared statements and values.
    pub(crate) stored: u64,
    /// The transient bytes that it asks for, and since when.
    pub(crate) waiting: Option<(u64, Time)>,
    /// Number of descriptors that it uses.
    pub(crate) descriptors: u64,
    /// Whether it is in the list of sessions with something unfinished.
    pub(crate) listed: bool,
}

impl<T> Holder<T> {
    pub(crate) fn bytes(&self) -> u64 {
        self.transient + self.answer + self.stored
    }

    /// Bytes that count against the budget.
    pub(crate) fn charge(&self) -> u64 {
        charge(self.bytes())
    }

    /// Whether something is unfinished that a time limit applies to.
    pub(crate) fn is_unfinished(&self) -> bool {
        matches!(self.phase, Phase::Receiving { .. } | Phase::Sending)
    }
}

/// The part of a session's bytes that counts against the budget.
pub(crate) fn charge(bytes: u64) -> u64 {
    bytes.saturating_sub(SMALL_BYTES)
}
