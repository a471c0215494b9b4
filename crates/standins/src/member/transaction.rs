use crate::member::{log_entry::LoggedStatement, semaphore::Permit};

/// An open transaction.
#[derive(Debug, Default)]
pub(crate) struct Transaction {
    /// Whether the client opened it with BEGIN. Otherwise it ends with the request.
    pub(crate) explicit: bool,
    /// Whether a statement failed. Only COMMIT and ROLLBACK are accepted then.
    pub(crate) failed: bool,
    /// Whether it has begun in the engine, which happens at its first statement.
    pub(crate) begun: bool,
    /// Writing statements that have run so far; replicated by the commit.
    pub(crate) logged: Vec<LoggedStatement>,
    /// The member's write permit, held until the end; `None` before the first write.
    pub(crate) writer: Option<Permit>,
    /// Generation of the engine when the transaction was opened.
    pub(crate) generation: u64,
}
