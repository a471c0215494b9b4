/// Requests so far, for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Counts {
    /// Reads of rows and objects.
    pub reads: u64,
    /// Transactions and object writes.
    pub writes: u64,
    /// Requests that an outage refused.
    pub refused: u64,
}
