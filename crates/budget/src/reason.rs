/// Why a client was refused or its session closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// All descriptors for sessions are in use.
    Sessions,
    /// The start-up message was not complete in time.
    Startup,
    /// A message was not complete in time.
    SlowMessage,
    /// A message exceeds the largest size.
    LongMessage,
    /// The caller did not read its answer in time.
    UnreadAnswer,
    /// A message or statement found no memory in time; it was refused and the session continues.
    NoMemory,
    /// The session held more memory than any other without progress, and others needed it.
    LargestHolder,
    /// The session's prepared statements and values exceed what it may hold; the statement was
    /// refused and the session continues.
    Stored,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 8] = [
        Reason::Sessions,
        Reason::Startup,
        Reason::SlowMessage,
        Reason::LongMessage,
        Reason::UnreadAnswer,
        Reason::NoMemory,
        Reason::LargestHolder,
        Reason::Stored,
    ];

    /// Name in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Sessions => "sessions",
            Reason::Startup => "startup",
            Reason::SlowMessage => "slow_message",
            Reason::LongMessage => "long_message",
            Reason::UnreadAnswer => "unread_answer",
            Reason::NoMemory => "no_memory",
            Reason::LargestHolder => "largest_holder",
            Reason::Stored => "stored",
        }
    }
}
