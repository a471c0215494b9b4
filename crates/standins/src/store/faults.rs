/// Disturbances of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every request with 503.
    pub down: bool,
    /// Holds every answer back for this many milliseconds.
    pub slow_ms: u64,
    /// Loses the replies of this many transactions after their effect.
    pub lose_replies: u32,
}
