use base::{MemberId, Term};

/// The record of a group's primary that is stored at the platform, as the election sees it. The
/// stored form is `PrimaryRecord` of the crate `platform`; that of the crate `succession` is for
/// groups whose members the platform itself promotes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeadershipRecord {
    /// Version of the record's row, 0 if there is no row yet.
    pub version: u64,
    /// Term of the primary, or of the election in progress.
    pub term: Term,
    /// The primary; `None` while an election is in progress.
    pub primary: Option<MemberId>,
    /// Attempt that wrote the record, as `RUN#ERA.NUMBER` with the name of the daemon's run
    /// and the era of the store.
    pub attempt: String,
}
