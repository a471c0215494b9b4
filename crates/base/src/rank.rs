use std::{fmt, str};

use snafu::Snafu;

/// Urgency of a request. The variants are ordered from the most to the least urgent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// A user submits an order or an entry.
    Submission,
    /// A short read whose result a user waits for.
    Lookup,
    /// A long read or a batch.
    Report,
}

/// Error for a text that is not the name of a rank.
#[derive(Debug, Snafu)]
#[snafu(display("rank {text:?}: expected submission, lookup or report"))]
pub struct ParseRankError {
    text: String,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Rank; 3] = [Rank::Submission, Rank::Lookup, Rank::Report];

    /// Number of ranks, for arrays with one element for each.
    pub const COUNT: usize = Rank::ALL.len();

    /// Index into an array of [`Rank::COUNT`] elements; 0 for the most urgent rank.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Name in lower case, as in the operators' table and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Rank::Submission => "submission",
            Rank::Lookup => "lookup",
            Rank::Report => "report",
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Rank {
    type Err = ParseRankError;

    fn from_str(text: &str) -> Result<Rank, ParseRankError> {
        let known = Rank::ALL.into_iter().find(|rank| rank.as_str() == text);
        known.ok_or_else(|| ParseRankError { text: text.to_owned() })
    }
}
