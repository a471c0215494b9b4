use std::fmt;

/// Number of a term: the period in which one member is the primary of its group. Each new
/// primary has a higher term than all before it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Term(u64);

impl Term {
    /// Creates a term from its number.
    pub fn new(number: u64) -> Term {
        Term(number)
    }

    /// The term as a number.
    pub fn number(self) -> u64 {
        self.0
    }

    /// The term with the next higher number.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
