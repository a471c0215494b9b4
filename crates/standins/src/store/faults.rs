/// Faults that the store injects; the JSON body of `/faults`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every request is answered with 503.
    pub down: bool,
    /// Delay of every request, in milliseconds.
    pub slow_ms: u64,
    /// Number of further transactions that are applied but whose replies are lost.
    pub lose_replies: u32,
}
