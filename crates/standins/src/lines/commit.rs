use base::{Position, Time};

/// A commit in a member's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Commit {
    /// Its place in the log.
    pub position: Position,
    /// When the primary made it.
    pub at: Time,
    /// Identifier of the request that asked for it.
    pub request: String,
    /// Items and their new values.
    pub writes: Vec<(String, String)>,
}
