/// Intervals and timeouts, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between probes of the members while no request waits for a probe.
    pub heartbeat_ms: u64,
    /// Time without an answer after which a member receives no requests.
    pub patience_ms: u64,
    /// Time without an answer after which a primary is suspected to have failed.
    pub suspect_after_ms: u64,
    /// Longest time that a commit waits until its replication is acknowledged.
    pub ack_timeout_ms: u64,
    /// Longest time that a request waits in the queue.
    pub wait_ms: u64,
    /// Interval between polls of the platform.
    pub poll_ms: u64,
    /// Interval between heartbeats to the other daemons.
    pub peer_heartbeat_ms: u64,
    /// Time after which a planned stop closes the sessions that are still open.
    pub stop_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_ms: 100,
            patience_ms: 450,
            suspect_after_ms: 500,
            ack_timeout_ms: 3_000,
            wait_ms: 30_000,
            poll_ms: 500,
            peer_heartbeat_ms: 200,
            stop_ms: 30_000,
        }
    }
}
