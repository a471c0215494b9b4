use base::{GroupId, MemberId, Term, VmId};

/// Who is primary of a group: the row `reigns/GROUP`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PrimaryRecord {
    /// Term of the reign, or of the change under way.
    pub term: Term,
    /// The primary; absent while a change is under way.
    pub primary: Option<MemberId>,
    /// Attempt that wrote the record, so that its writer recognises it.
    #[serde(default)]
    pub attempt: String,
    /// VM that makes the change.
    #[serde(default)]
    pub by: Option<VmId>,
}

impl PrimaryRecord {
    /// Key of the record's row.
    pub fn key(group: &GroupId) -> String {
        format!("{}{group}", PrimaryRecord::PREFIX)
    }

    /// Prefix of the keys of all such rows.
    pub const PREFIX: &str = "reigns/";
}
