use std::net::SocketAddr;

/// Who makes the calls that one daemon at a time may make.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct DutyRecord {
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
pub struct LeadRecord {
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
}
