use base::MemberId;

/// A member as described by service discovery.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSpec {
    /// Name of the member.
    pub id: MemberId,
    /// Start of the member's process. With another start the member is a new process, to
    /// which the old connections and the last known position do not apply.
    pub born: u64,
    /// Whether the member is in this daemon's availability zone.
    pub same_zone: bool,
    /// Number of statements that the member runs concurrently.
    pub slots: u32,
    /// Whether the member is shutting down, so that it gets no new requests.
    pub leaving: bool,
}
