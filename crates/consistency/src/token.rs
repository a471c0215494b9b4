use std::{collections::BTreeMap, fmt, str};

use base::{GroupId, Position};
use snafu::Snafu;

/// Positions of a caller's last writes, by group: `GROUP=TERM/INDEX;...`.
///
/// A caller takes it along to another daemon to find its own writes there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConsistencyToken {
    marks: BTreeMap<GroupId, Position>,
}

/// Text that is no token.
#[derive(Debug, Snafu)]
#[snafu(display("token {text:?}: expected GROUP=TERM/INDEX, several parted by ';'"))]
pub struct ParseTokenError {
    text: String,
}

impl ConsistencyToken {
    /// The position for a group, if the token speaks of it.
    pub fn position(&self, group: &GroupId) -> Option<Position> {
        self.marks.get(group).copied()
    }

    /// Raises the position for a group; whether that changed the token.
    pub fn raise(&mut self, group: &GroupId, position: Position) -> bool {
        let mark = self.marks.entry(group.clone()).or_default();
        let raised = position > *mark;
        *mark = position.max(*mark);
        raised
    }

    /// Raises every position to that of `other`.
    pub fn merge(&mut self, other: &ConsistencyToken) {
        for (group, position) in &other.marks {
            self.raise(group, *position);
        }
    }
}

impl fmt::Display for ConsistencyToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (group, position)) in self.marks.iter().enumerate() {
            if index > 0 {
                f.write_str(";")?;
            }
            write!(f, "{group}={position}")?;
        }
        Ok(())
    }
}

impl str::FromStr for ConsistencyToken {
    type Err = ParseTokenError;

    fn from_str(text: &str) -> Result<ConsistencyToken, ParseTokenError> {
        parse(text).ok_or_else(|| ParseTokenError { text: text.to_owned() })
    }
}

fn parse(text: &str) -> Option<ConsistencyToken> {
    let mut token = ConsistencyToken::default();
    for part in text.split(';').filter(|part| !part.trim().is_empty()) {
        let (group, position) = part.split_once('=')?;
        token.raise(&GroupId::new(group.trim()), position.parse().ok()?);
    }
    Some(token)
}
