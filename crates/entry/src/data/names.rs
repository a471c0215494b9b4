use std::{collections::VecDeque, fmt::Write, rc::Rc};

use adapter::PreparedStatement;
use base::FastMap;

/// Statements that no session uses and that keep their numbers, since callers often prepare the
/// same statement again: with a new number, every connection would prepare it anew.
const MAX_UNUSED: usize = 4_096;
/// Bytes of such statements.
const MAX_UNUSED_BYTES: usize = 1024 * 1024;

/// Numbers of the statements that callers of this daemon have prepared. Different callers
/// use the same name for different statements, so each distinct statement gets a number,
/// and a name derived from it, that is unique on the shared connections to members. A statement
/// keeps its number while a session uses it; numbers are not used again.
#[derive(Debug, Default)]
pub(crate) struct StatementNumbers {
    entries: FastMap<Rc<PreparedStatement>, Entry>,
    /// Statements in the order in which they were last released, and some that are used again.
    unused: VecDeque<Rc<PreparedStatement>>,
    unused_bytes: usize,
    last: u64,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    /// Number of names that sessions have for the statement.
    users: usize,
    /// Whether the statement is in the queue of unused ones.
    queued: bool,
}

impl StatementNumbers {
    /// Adds a user of a statement, and returns the copy that all users share.
    pub(crate) fn retain(&mut self, prepared: PreparedStatement) -> Rc<PreparedStatement> {
        let shared = match self.entries.get_key_value(&prepared) {
            Some((shared, _)) => Rc::clone(shared),
            None => Rc::new(prepared),
        };
        self.entry(&shared).users += 1;
        shared
    }

    /// Removes a user of a statement.
    pub(crate) fn release(&mut self, prepared: &Rc<PreparedStatement>) {
        let Some(entry) = self.entries.get_mut(prepared) else { return };
        entry.users = entry.users.saturating_sub(1);
        if entry.users > 0 || std::mem::replace(&mut entry.queued, true) {
            return;
        }
        self.unused_bytes += prepared.text.len();
        self.unused.push_back(Rc::clone(prepared));
        while self.unused.len() > MAX_UNUSED || self.unused_bytes > MAX_UNUSED_BYTES {
            let Some(oldest) = self.unused.pop_front() else { return };
            self.unused_bytes -= oldest.text.len();
            match self.entries.get_mut(&oldest) {
                Some(entry) if entry.users > 0 => entry.queued = false,
                _ => drop(self.entries.remove(&oldest)),
            }
        }
    }

    /// The number of a statement that a session uses.
    pub(crate) fn number(&mut self, prepared: &PreparedStatement) -> u64 {
        match self.entries.get(prepared) {
            Some(entry) => entry.number,
            None => self.entry(&Rc::new(prepared.clone())).number,
        }
    }

    fn entry(&mut self, prepared: &Rc<PreparedStatement>) -> &mut Entry {
        self.entries.entry(Rc::clone(prepared)).or_insert_with(|| {
            self.last += 1;
            Entry { number: self.last, users: 0, queued: false }
        })
    }
}

/// The name of a prepared statement on connections to members.
pub(crate) fn statement_name(number: u64) -> String {
    let mut name = String::with_capacity(8);
    let _ = write!(name, "c{number}");
    name
}

#[cfg(test)]
mod tests;
