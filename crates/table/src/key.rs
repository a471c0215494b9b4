use std::fmt;

use base::Rank;

/// Key of a row, unique within a table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RowKey {
    /// Database name that callers connect to.
    pub name: String,
    /// Rank to which the row applies.
    pub rank: Rank,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} rank {}", self.name, self.rank)
    }
}
