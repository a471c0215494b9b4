use crate::OrganisationKey;

/// Maximum number of organisations in each list of a message, so that a heartbeat remains a small
/// datagram.
pub const MAX_ORGANISATIONS: usize = 64;

/// Part of a heartbeat by which carriers share out the limits of organisations. A heartbeat without
/// it counts as the default, which lends nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct QuotaMessage {
    /// Time of the sender's clock, in microseconds, which orders its messages; 0 in a heartbeat
    /// without a message.
    pub sent: u64,
    /// Demand at the sender, in operations per 1,000 seconds.
    pub demands: Vec<(OrganisationKey, u32)>,
    /// Parts of limits that the sender lends to the receiver, in millionths of the whole limit.
    pub loans: Vec<(OrganisationKey, u32)>,
    /// Time for which the sender has not used any loan of the receiver's earlier processes, in
    /// milliseconds; 0 if it is not known. It is told to processes that have just started.
    #[serde(skip_serializing_if = "is_zero")]
    pub unused_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}
