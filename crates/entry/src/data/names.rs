use std::fmt::Write;

use adapter::PreparedStatement;
use base::FastMap;

/// Numbers of the shapes that callers of this daemon have prepared. Callers' names
/// for them collide; on members' connections each shape has a name of its own.
#[derive(Debug, Default)]
pub(crate) struct Names {
    numbers: FastMap<PreparedStatement, u32>,
}

impl Names {
    /// The number of a shape.
    pub(crate) fn number(&mut self, shape: &PreparedStatement) -> u32 {
        let next = self.numbers.len() as u32;
        *self.numbers.entry(shape.clone()).or_insert(next)
    }
}

/// The name of a shape on members' connections.
pub(crate) fn member_name(number: u32) -> String {
    let mut name = String::with_capacity(8);
    let _ = write!(name, "c{number}");
    name
}
