use base::{GroupId, MemberId, Term, VmId};

/// Current primary of a database group, stored in the row `reigns/GROUP`. In the crate
/// `leadership`, `LeadershipRecord` is the same record together with the version of its row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PrimaryRecord {
    /// Term of the primary, or the new term while an election is in progress.
    pub term: Term,
    /// The primary; `None` while an election is in progress.
    pub primary: Option<MemberId>,
    /// Identifies the attempt that wrote the record. A writer whose request went
    /// unanswered recognises its own record by it.
    #[serde(default)]
    pub attempt: String,
    /// VM of the daemon that wrote the record.
    #[serde(default)]
    pub by: Option<VmId>,
}

impl PrimaryRecord {
    /// Key of the row that holds the primary of `group`.
    pub fn key(group: &GroupId) -> String {
        format!("{}{group}", PrimaryRecord::PREFIX)
    }

    /// Prefix of the row keys of all groups' primary records.
    pub const PREFIX: &str = "reigns/";
}
