use base::{Position, Term};

/// Status that a member reports of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberStatus {
    /// Highest term that the member has accepted.
    pub term: Term,
    /// Whether it accepts writes in that term.
    pub primary: bool,
    /// Position up to which its readers see the log.
    pub position: Position,
    /// End of its log when it became primary. Not meaningful on replicas.
    pub origin: Position,
    /// End of the log that it has received, whether applied or not.
    pub log_end: Position,
}
