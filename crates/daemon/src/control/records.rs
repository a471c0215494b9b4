use base::{GroupId, VmId};
use leadership::LeadershipRecord;
use membership::{Claim, Incarnation};
use platform::{PlatformError, PrimaryRecord, Row};

/// Serialized form of a [`Claim`], by which a daemon is the home of a group: the one daemon that
/// serves the group (see [`home`]). It is stored in the platform's row `homes/GROUP`, whose
/// version the claim contains too.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct HomeRecord {
    /// Number of the claim; each new claim has a higher one.
    pub(crate) number: u64,
    /// VM that holds the claim.
    pub(crate) vm: VmId,
    /// Incarnation of the daemon that holds the claim.
    pub(crate) incarnation: u64,
    /// Whether the previous holder handed the group over.
    pub(crate) handed_over: bool,
    /// Era of the store in which it was written.
    #[serde(default)]
    pub(crate) era: u64,
}

impl HomeRecord {
    pub(crate) const PREFIX: &str = "homes/";

    pub(crate) fn key(group: &GroupId) -> String {
        format!("{}{group}", HomeRecord::PREFIX)
    }
}

pub(crate) fn decode_claim(row: &Row) -> Result<Claim, PlatformError> {
    if row.value.is_null() {
        return Ok(Claim { version: row.version, ..Claim::default() });
    }
    let record: HomeRecord = row.record()?;
    Ok(Claim {
        number: record.number,
        version: row.version,
        vm: record.vm,
        incarnation: Incarnation(record.incarnation),
        era: record.era,
        handed_over: record.handed_over,
    })
}

/// Decodes the [`PrimaryRecord`] in a row. The [`LeadershipRecord`], which the election works
/// with, contains the row's version in addition, but not the VM that wrote the record.
pub(crate) fn decode_leadership_record(row: &Row) -> Result<LeadershipRecord, PlatformError> {
    if row.value.is_null() {
        return Ok(LeadershipRecord { version: row.version, ..LeadershipRecord::default() });
    }
    let record: PrimaryRecord = row.record()?;
    Ok(LeadershipRecord {
        version: row.version,
        term: record.term,
        primary: record.primary,
        attempt: record.attempt,
    })
}
