/// Limits that bound the daemon's memory use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of open caller connections.
    pub connections: u32,
    /// Maximum size of one message or extended request, in bytes.
    pub message_bytes: usize,
    /// Number of callers per group whose last write positions are stored individually.
    pub remembered_callers: usize,
    /// Number of idle connections kept open to each member.
    pub warm_connections: u32,
    /// Memory that the process may use, in MiB; `None` if not limited.
    pub memory_mb: Option<u64>,
    /// File descriptors that the process may use; `None` if not limited.
    pub max_fds: Option<u64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 10_000,
            message_bytes: 16 * 1024 * 1024,
            remembered_callers: 4_096,
            warm_connections: 2,
            memory_mb: None,
            max_fds: None,
        }
    }
}
