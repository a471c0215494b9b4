/// Bytes that each session may hold without a charge: a read buffer, which ordinary messages do
/// not exceed.
pub const SMALL_BYTES: u64 = 16 * 1024;
/// Prepared statements and values that a session may hold. Several messages of the largest size;
/// they are sent to the member whenever another session has used the connection meanwhile.
pub const MAX_STORED_BYTES: u64 = 4 * 1024 * 1024;

/// Memory of the process that does not belong to callers: code, allocator, log queue,
/// configuration, members' and peers' connections, and the copies that exist while one message is
/// decoded.
const PROCESS_BYTES: u64 = 40 * 1024 * 1024;
/// Memory of a session without its holdings: its task and its socket's buffers in the process.
const SESSION_BYTES: u64 = 8 * 1024;
/// Memory for callers if the process is not limited.
const DEFAULT_MEMORY_BYTES: u64 = 1024 * 1024 * 1024;
/// Least memory for callers, enough for a few messages of the largest size.
const MIN_MEMORY_BYTES: u64 = 16 * 1024 * 1024;
/// Part of the memory that messages may hold. With all of it, 40 statements of 1 MiB waited for
/// members at a time, and the short ones among them missed a target of 200 ms.
const MESSAGE_SHARE: u64 = 8;
/// Least memory for messages, enough for two of the largest size of the line protocol.
const MIN_MESSAGE_BYTES: u64 = 8 * 1024 * 1024;
/// Descriptors that sessions leave for members, the store, other daemons and probes.
const RESERVED_DESCRIPTORS: u64 = 500;
/// Least number of descriptors for sessions, if the limit of the process is very low.
const MIN_DESCRIPTORS: u64 = 16;

/// What all callers together may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes that all sessions may hold.
    pub memory_bytes: u64,
    /// Bytes of them that messages may hold which are received or executed.
    pub message_bytes: u64,
    /// Descriptors that all sessions may use.
    pub descriptors: u64,
}

impl Limits {
    /// Derives the limits of callers from those of the process; `None` if it has none.
    pub fn new(memory_bytes: Option<u64>, descriptors: Option<u64>) -> Limits {
        let memory_bytes = match memory_bytes {
            Some(bytes) => bytes.saturating_sub(PROCESS_BYTES).max(MIN_MEMORY_BYTES),
            None => DEFAULT_MEMORY_BYTES,
        };
        let descriptors = match descriptors {
            Some(count) => count.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS),
            None => u64::MAX,
        };
        let message_bytes = (memory_bytes / MESSAGE_SHARE).max(MIN_MESSAGE_BYTES);
        Limits { memory_bytes, message_bytes, descriptors }
    }

    /// Bytes that may be charged while this many sessions are open: what is left when each holds
    /// what it may hold without a charge.
    pub(crate) fn chargeable_bytes(&self, sessions: usize) -> u64 {
        let uncharged = sessions as u64 * (SESSION_BYTES + SMALL_BYTES);
        self.memory_bytes.saturating_sub(uncharged)
    }
}
