use std::fmt;

/// Number of a request, unique within one run of a daemon.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct RequestId(u64);

impl RequestId {
    /// Creates an identifier from a request number.
    pub fn new(number: u64) -> RequestId {
        RequestId(number)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
