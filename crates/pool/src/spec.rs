use base::MemberId;

/// What discovery says of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSpec {
    /// The member.
    pub id: MemberId,
    /// Its start; the same member with another start has forgotten everything.
    pub born: u64,
    /// Whether it is in this daemon's availability zone.
    pub same_zone: bool,
    /// Statements it runs at once.
    pub slots: u32,
    /// Whether it is about to end and takes no new work.
    pub leaving: bool,
}
