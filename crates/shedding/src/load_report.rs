use base::Rank;
use quota::OrganisationKey;

/// Maximum number of entries in each list of a report, so that a heartbeat remains a small datagram.
pub const MAX_ENTRIES: usize = 64;

/// Expected waits in milliseconds by rank, of requests that only the primary can serve and of those
/// that replicas can serve; 0 if they are not known to wait.
pub type RankWaits = [[u32; Rank::COUNT]; 2];

/// Load of a carrier as part of its heartbeats. A heartbeat without it counts as the default, which
/// refuses nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Organisations whose requests wait for a group.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub waits: Vec<QueueWait>,
    /// Organisations over their limit.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitWait>,
}

/// Expected wait of an organisation's requests for a group.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueueWait {
    /// Name of the group.
    #[serde(rename = "g")]
    pub group: String,
    /// The organisation. Those without waiting requests are served by their share, whatever the
    /// queues of others are, so there is no wait that holds for all organisations.
    #[serde(rename = "o")]
    pub organisation: OrganisationKey,
    /// Waits of new requests.
    #[serde(rename = "w")]
    pub waits_ms: RankWaits,
    /// Age of the estimate.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// When an organisation over its limit gets a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LimitWait {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationKey,
    /// Time until a token is available for another operation, from when that was determined.
    #[serde(rename = "w")]
    pub wait_ms: u32,
    /// How long ago that was.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

impl LoadReport {
    /// Whether the report says nothing.
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty() && self.limits.is_empty()
    }
}
