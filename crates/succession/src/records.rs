use std::net::SocketAddr;

use crate::grant::SETTLED_AFTER;

/// Who makes the calls that one daemon at a time may make.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LeaseRecord {
    /// The daemon's VM.
    pub holder: String,
    /// Run of the daemon; a restarted daemon takes the duty anew.
    pub run: u64,
    /// Number that grows with each holder.
    pub token: u64,
    /// Number that grows each time the holder confirms that it still holds it.
    pub confirmed: u64,
}

/// Who is primary of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PrimaryRecord {
    /// The primary, or the last one while a change is under way.
    pub primary: String,
    /// Whether a change is under way; no daemon uses the group's primary then.
    pub changing: bool,
    /// Whether the last primary is well and its transactions may end first.
    pub planned: bool,
}

/// A carrier: a daemon that has connections to members and may use primaries.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CarrierRecord {
    /// Its VM.
    pub vm: String,
    /// Where it listens for the other daemons' heartbeats.
    pub addr: SocketAddr,
    /// Where it accepts sessions.
    pub sessions: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// The store's clock in ms when the record was written, as last read by its writer.
    #[serde(default)]
    pub since_ms: u64,
    /// Whether the carrier has lost its place. The record stays until no list that is
    /// still gone by can show the carrier.
    #[serde(default)]
    pub gone: bool,
}

impl CarrierRecord {
    /// Whether both speak of the same daemon at the same addresses.
    pub fn is_same(&self, other: &CarrierRecord) -> bool {
        let of = |record: &CarrierRecord| (record.addr, record.sessions);
        self.vm == other.vm && self.zone == other.zone && of(self) == of(other)
    }

    /// Whether it is old enough, by the store's clock, that every list still gone by
    /// reflects it.
    pub fn is_settled(&self, store_ms: u64) -> bool {
        store_ms.saturating_sub(self.since_ms) >= SETTLED_AFTER.as_millis()
    }
}
