use std::rc::Rc;

use adapter::PreparedStatement;
use base::FastMap;

use crate::data::context::Context;

/// Memory of an entry in a map, besides its texts.
pub(crate) const ENTRY_BYTES: usize = 128;

/// The statements that a session has prepared, by its names for them.
#[derive(Debug)]
pub(crate) struct PreparedNames {
    cx: Rc<Context>,
    statements: FastMap<String, Rc<PreparedStatement>>,
    bytes: usize,
}

impl PreparedNames {
    pub(crate) fn new(cx: Rc<Context>) -> PreparedNames {
        PreparedNames { cx, statements: FastMap::default(), bytes: 0 }
    }

    /// Memory of all names and statements.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The statement that was prepared under a name.
    pub(crate) fn get(&self, name: &str) -> Option<Rc<PreparedStatement>> {
        self.statements.get(name).cloned()
    }

    /// Adds a statement, in place of an earlier one of this name.
    pub(crate) fn insert(&mut self, name: &str, statement: PreparedStatement) {
        self.remove(name);
        let statement = self.cx.names.borrow_mut().retain(statement);
        self.bytes += entry_bytes(name, &statement);
        self.statements.insert(name.to_owned(), statement);
    }

    /// Removes a statement; returns whether there was one of this name.
    pub(crate) fn remove(&mut self, name: &str) -> bool {
        let Some(statement) = self.statements.remove(name) else { return false };
        self.bytes -= entry_bytes(name, &statement);
        self.cx.names.borrow_mut().release(&statement);
        true
    }
}

impl Drop for PreparedNames {
    fn drop(&mut self) {
        let mut names = self.cx.names.borrow_mut();
        for statement in self.statements.values() {
            names.release(statement);
        }
    }
}

fn entry_bytes(name: &str, statement: &PreparedStatement) -> usize {
    name.len() + statement.text.len() + ENTRY_BYTES
}
