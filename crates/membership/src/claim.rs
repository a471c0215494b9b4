use base::VmId;

use crate::vm::Incarnation;

/// The platform's record of which daemon is the home of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// Sequence number of the claim; each claim of the group has the next one.
    pub number: u64,
    /// Version of the record's row; 0 if there is none.
    pub version: u64,
    /// VM that holds the claim.
    pub vm: VmId,
    /// Incarnation of the daemon that holds the claim.
    pub incarnation: Incarnation,
    /// Era of the store in which it was written. It ends with the era, since the store may have lost
    /// a later one.
    pub era: u64,
    /// Whether the previous holder handed the group over, rather than lost it.
    pub handed_over: bool,
}
