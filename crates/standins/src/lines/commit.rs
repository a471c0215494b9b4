use base::{Position, Time};

/// An entry of a member's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Commit {
    /// Its term and index in the log.
    pub position: Position,
    /// When the primary committed it, on the stand-in's clock.
    pub committed_at: Time,
    /// Identifier of the caller's request that it belongs to.
    pub request: String,
    /// Written items and their new values.
    pub writes: Vec<(String, String)>,
}
