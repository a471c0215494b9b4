use base::Span;
use quota::QuotaMessage;
use shedding::LoadReport;
use succession::{Copied, PeerCopy, PrimaryHealth};

/// Heartbeat between daemons, sent as one UDP datagram. Fields with their default value are not sent:
/// the daemons that are no carriers have little to say, and there are many of them.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct Heartbeat {
    /// Name of the sender's VM.
    pub(crate) from: String,
    /// Random identifier of the sender's process, which tells a restarted daemon from its
    /// predecessor.
    pub(crate) run: u64,
    /// Whether the sender is a carrier. Other daemons send heartbeats only to find out
    /// which carriers are alive.
    pub(crate) carries: bool,
    /// Whether the sender may use primaries, can tell whether API keys are still valid, and is not
    /// stopping. Other daemons relay new sessions only to carriers of which this holds.
    #[serde(default = "accepts_by_default")]
    pub(crate) accepts_sessions: bool,
    /// Whether the deployment has organisations, by whose names sessions are placed on carriers,
    /// according to the sender's settings or configuration.
    #[serde(default)]
    pub(crate) places_sessions: bool,
    /// Whether the store has answered the sender recently, without which it cannot replace
    /// a primary.
    pub(crate) acts: bool,
    /// Sequence number of this heartbeat.
    pub(crate) number: u64,
    /// Sequence number of the last heartbeat that the sender received from the receiver.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) echo: u64,
    /// Process of the receiver that sent the heartbeat in `echo`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) echo_run: u64,
    /// Version up to which the sender applies the rows of the state table.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) version: u64,
    /// Version of the configuration that the sender has in force, and versions of the newest rows
    /// that it knows in the members' table and the state table. The former is the operator's own:
    /// the row's version goes up when the store comes back with an older configuration.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) newest: [u64; 3],
    /// How long ago the store last confirmed the sender's copies of the operator's and the
    /// members' table, in milliseconds; `None` if never, or if its version does not send this.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) copy_ages_ms: [Option<u64>; 2],
    /// From daemons that are no carriers, to a carrier whose evidence is old: a version of the
    /// configuration, and how long ago a carrier knew it to be the newest, in milliseconds.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) config_evidence: Option<(u64, u64)>,
    /// Version of the newest row of a carrier slot that the sender knows. A daemon that is no
    /// carrier fetches the rows from the sender if it knows only older ones.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) carriers_version: u64,
    /// Demand and loans of organisations' limits; empty in deployments without organisations, and
    /// from daemons that are no carriers.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) quota: QuotaMessage,
    /// Whether the sender goes by the records of parts of the organisations' limits. A part is not
    /// assigned to another carrier if its user does not.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) knows_parts: bool,
    /// Load of the sender by group: its requests that wait or run. Only sent in deployments with
    /// organisations, whose load is not spread evenly.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) loads: Vec<(String, u32)>,
    /// Requests that wait at the sender, and organisations over their limit, by which the receiver
    /// refuses requests that the sender could not serve in time. Empty in deployments without
    /// organisations, and from daemons that are no carriers.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) load: LoadReport,
    /// Health of primaries as the sender observes it: group, member, health.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) opinions: Vec<(String, String, PrimaryHealth)>,
}

impl Heartbeat {
    /// The sender's copies of the tables by which daemons refuse and route requests.
    pub(crate) fn copies(&self) -> [PeerCopy; 2] {
        Copied::ALL.map(|table| PeerCopy {
            newest: self.newest[table as usize],
            age: self.copy_ages_ms[table as usize].map(Span::from_millis),
        })
    }

    /// The evidence of how recent the configuration is that the sender passes on.
    pub(crate) fn relayed_copy(&self) -> Option<PeerCopy> {
        let (newest, age_ms) = self.config_evidence?;
        Some(PeerCopy { newest, age: Some(Span::from_millis(age_ms)) })
    }
}

/// Daemons of versions that do not send this accept sessions.
fn accepts_by_default() -> bool {
    true
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
