use base::Span;

use crate::reason::Reason;

/// A session that must be closed at once. It holds nothing of the budget any more.
#[derive(Debug)]
pub struct Eviction<T> {
    /// What the session was opened with.
    pub handle: T,
    /// Why it is closed.
    pub reason: Reason,
    /// Bytes that it held.
    pub bytes: u64,
    /// Time since it was opened.
    pub age: Span,
}
