/// Outcome of choosing a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The member with this index serves the request, for the given reason.
    Member(usize, Reason),
    /// At least one member is eligible, but none can take another statement now.
    Busy,
    /// No member may serve the request, for the given reason.
    NoneEligible(Reason),
}

/// Why a member was chosen, or why none is eligible.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The request is a write, or a read that must see the latest data.
    Primary,
    /// The replica is the least busy one that has reached the required position.
    FreshReplica,
    /// Replicas are usable, but none has reached the required position.
    ReplicasBehind,
    /// No replica is usable: all are unreachable, ejected or leaving.
    ReplicasUnreachable,
    /// There is no primary at present, or it is leaving.
    NoPrimary,
}

impl Reason {
    /// Text of the reason for logs and for the description of routes.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Primary => "writes and current reads go to the primary",
            Reason::FreshReplica => "least busy replica at or past the position",
            Reason::ReplicasBehind => "every replica is behind the position",
            Reason::ReplicasUnreachable => "no replica can be reached",
            Reason::NoPrimary => "no primary at present",
        }
    }
}
