use std::fmt::Write;

use adapter::PreparedStatement;
use base::FastMap;

/// Numbers of the statements that callers of this daemon have prepared. Different callers
/// use the same name for different statements, so each distinct statement gets a number,
/// and a name derived from it, that is unique on the shared connections to members.
#[derive(Debug, Default)]
pub(crate) struct StatementNumbers {
    numbers: FastMap<PreparedStatement, u32>,
}

impl StatementNumbers {
    /// The number of a statement; a new statement gets the next free one.
    pub(crate) fn number(&mut self, prepared: &PreparedStatement) -> u32 {
        let next = self.numbers.len() as u32;
        *self.numbers.entry(prepared.clone()).or_insert(next)
    }
}

/// The name of a prepared statement on connections to members.
pub(crate) fn statement_name(number: u32) -> String {
    let mut name = String::with_capacity(8);
    let _ = write!(name, "c{number}");
    name
}
