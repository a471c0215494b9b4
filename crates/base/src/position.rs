use std::{fmt, str};

use snafu::Snafu;

use crate::term::Term;

/// Position in a group's log: the term in which an entry was written, and its index.
///
/// Positions are ordered by term first. A former primary may have entries that were never
/// replicated and therefore a higher index than its successor, but never a higher term.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Position {
    /// Term in which the entry was written.
    pub term: Term,
    /// Number of entries in the log up to and including this one.
    pub index: u64,
}

/// Error for a text that is not of the form `TERM/INDEX`.
#[derive(Debug, Snafu)]
#[snafu(display("position {text:?}: expected TERM/INDEX in decimal"))]
pub struct ParsePositionError {
    text: String,
}

impl Position {
    /// Creates a position from a term number and an index.
    pub fn new(term: u64, index: u64) -> Position {
        Position { term: Term::new(term), index }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}

impl str::FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Position, ParsePositionError> {
        parse(text).ok_or_else(|| ParsePositionError { text: text.to_owned() })
    }
}

fn parse(text: &str) -> Option<Position> {
    let (term, index) = text.trim().split_once('/')?;
    Some(Position::new(term.parse().ok()?, index.parse().ok()?))
}
