/// Numbers of requests since the start, for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Counts {
    /// Reads of rows, feeds and objects.
    pub reads: u64,
    /// Transactions, including those whose conditions failed, and writes of objects.
    pub writes: u64,
    /// Requests that arrived while [`Faults::down`](super::Faults::down) was set.
    pub refused: u64,
}
