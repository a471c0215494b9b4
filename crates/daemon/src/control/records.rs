use base::{GroupId, VmId};
use leadership::LeadershipRecord;
use membership::{Claim, Incarnation};
use platform::{PlatformError, PrimaryRecord, Row};

/// The platform's record of a group's home: the row `homes/GROUP`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct HomeRecord {
    /// Number of the claim.
    pub(crate) number: u64,
    /// VM that holds it.
    pub(crate) vm: VmId,
    /// Run of its daemon.
    pub(crate) incarnation: u64,
    /// Whether the holder before handed the group over itself.
    pub(crate) handed_over: bool,
}

impl HomeRecord {
    /// Prefix of the keys of all such rows.
    pub(crate) const PREFIX: &str = "homes/";

    /// Key of the record's row.
    pub(crate) fn key(group: &GroupId) -> String {
        format!("{}{group}", HomeRecord::PREFIX)
    }
}

/// The claim that a row holds.
pub(crate) fn claim(row: &Row) -> Result<Claim, PlatformError> {
    let record: HomeRecord = row.record()?;
    Ok(Claim {
        number: record.number,
        version: row.version,
        vm: record.vm,
        incarnation: Incarnation(record.incarnation),
        handed_over: record.handed_over,
    })
}

/// The reign that a row holds.
pub(crate) fn reign(row: &Row) -> Result<LeadershipRecord, PlatformError> {
    let record: PrimaryRecord = row.record()?;
    Ok(LeadershipRecord {
        version: row.version,
        term: record.term,
        primary: record.primary,
        attempt: record.attempt,
    })
}
