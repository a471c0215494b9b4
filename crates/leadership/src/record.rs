use base::{MemberId, Term};

/// The platform's record of a group's primary.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeadershipRecord {
    /// Version of the record's row.
    pub version: u64,
    /// Term of the record, or of the change under way.
    pub term: Term,
    /// The primary; `None` while a change is under way.
    pub primary: Option<MemberId>,
    /// Attempt that wrote the record.
    pub attempt: String,
}
