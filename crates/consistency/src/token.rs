use std::{collections::BTreeMap, fmt, str};

use base::{GroupId, Position};
use snafu::Snafu;

/// Positions of a caller's last writes, by group. The text form is `GROUP=TERM/INDEX;...`.
///
/// A caller that presents it to another daemon reads its own writes there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConsistencyToken {
    positions: BTreeMap<GroupId, Position>,
}

/// The text is not a valid token.
#[derive(Debug, Snafu)]
#[snafu(display("token {text:?}: expected GROUP=TERM/INDEX, several parted by ';'"))]
pub struct ParseTokenError {
    text: String,
}

impl ConsistencyToken {
    /// Position for a group; `None` if the token has none for it.
    pub fn position(&self, group: &GroupId) -> Option<Position> {
        self.positions.get(group).copied()
    }

    /// Raises the position for a group and returns whether that changed it.
    pub fn raise(&mut self, group: &GroupId, position: Position) -> bool {
        let known = self.positions.entry(group.clone()).or_default();
        let raised = position > *known;
        *known = position.max(*known);
        raised
    }

    /// Raises every position to that in `other` if it is lower.
    pub fn merge(&mut self, other: &ConsistencyToken) {
        for (group, position) in &other.positions {
            self.raise(group, *position);
        }
    }
}

impl fmt::Display for ConsistencyToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (group, position)) in self.positions.iter().enumerate() {
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
