use std::{rc::Rc, time::Instant};

use base::{FastMap, Position, Term};
use futures_channel::oneshot;

use crate::member::{
    engine::{self, Engine},
    error::SqlError,
    faults::Faults,
    log_entry::{LogEntry, LoggedStatement},
    semaphore::Semaphore,
};

/// State of a member.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) id: String,
    /// Highest term that it has accepted.
    pub(crate) term: Term,
    /// Whether it is the primary of `term`.
    pub(crate) primary: bool,
    /// End of the log when it last became primary.
    pub(crate) origin: Position,
    pub(crate) log: Vec<LogEntry>,
    /// Number of entries in `log` that the engine has applied.
    pub(crate) applied: usize,
    pub(crate) engine: Engine,
    pub(crate) faults: Faults,
    /// Limits the statements that run concurrently.
    pub(crate) slots: Semaphore,
    /// Admits one writing transaction at a time.
    pub(crate) writer: Semaphore,
    /// Open connections, control connections excluded.
    pub(crate) connections: u32,
    /// Statements run by the engine so far.
    pub(crate) statements: u64,
    /// Senders of the sessions that the fault `down` closes, by process ID. Dropping a sender closes
    /// its session's connection.
    pub(crate) close_senders: FastMap<i32, oneshot::Sender<()>>,
    /// Senders that cancel the running statement of a session, by process ID.
    pub(crate) cancel_senders: FastMap<i32, oneshot::Sender<()>>,
    /// Secret keys that cancel requests must state, by process ID.
    pub(crate) cancel_secrets: FastMap<i32, i32>,
}

impl Node {
    pub(crate) fn new(id: &str, engine_name: &str, slots: u32, faults: Faults) -> Node {
        Node {
            id: id.to_owned(),
            term: Term::new(1),
            primary: false,
            origin: Position::default(),
            log: Vec::new(),
            applied: 0,
            engine: Engine::new(engine_name, 0),
            faults,
            slots: Semaphore::new(slots),
            writer: Semaphore::new(1),
            connections: 0,
            statements: 0,
            close_senders: FastMap::default(),
            cancel_senders: FastMap::default(),
            cancel_secrets: FastMap::default(),
        }
    }

    /// Position of the last entry of the log.
    pub(crate) fn position(&self) -> Position {
        self.log.last().map(|entry| entry.position).unwrap_or_default()
    }

    /// Position of the last applied entry, the state that readers see.
    pub(crate) fn applied_position(&self) -> Position {
        let index = self.applied.checked_sub(1);
        index.map(|index| self.log[index].position).unwrap_or_default()
    }

    /// Appends a transaction that this member has committed as primary.
    pub(crate) fn commit(&mut self, statements: Vec<LoggedStatement>) -> Position {
        let position = engine::next_position(self.term, self.position());
        self.log.push(LogEntry {
            position,
            committed_at: Instant::now(),
            statements: Rc::from(statements),
        });
        self.applied = self.log.len();
        position
    }

    /// Accepts a higher term; a primary stops being one.
    pub(crate) fn fence(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.primary = false;
        }
    }

    /// Makes the member primary of `term`, which must be its current term; returns false otherwise.
    /// Opens the term with an empty entry.
    pub(crate) fn promote(&mut self, term: Term) -> bool {
        if term != self.term {
            return false;
        }
        if !self.primary {
            self.primary = true;
            self.apply_all();
            self.origin = self.position();
            self.commit(Vec::new());
        }
        true
    }

    /// Applies the entries that were received and not applied yet, up to the first that fails.
    pub(crate) fn apply_all(&mut self) {
        while self.applied < self.log.len() {
            let statements = Rc::clone(&self.log[self.applied].statements);
            match self.engine.apply(&statements) {
                Ok(()) => self.applied += 1,
                Err(_) => return,
            }
        }
    }

    /// Removes the entries that the log `source` does not have, then appends and applies those of
    /// its entries that were committed until `due`.
    pub(crate) fn follow(&mut self, source: &[LogEntry], due: Instant) -> Result<(), SqlError> {
        let common = self.common_prefix_len(source);
        if common < self.log.len() {
            self.log.truncate(common);
            self.rebuild();
        }
        let new_entries = source[common..].iter().take_while(|entry| entry.committed_at <= due);
        self.log.extend(new_entries.cloned());
        self.apply_all();
        Ok(())
    }

    /// Number of leading entries that both logs have in common.
    fn common_prefix_len(&self, source: &[LogEntry]) -> usize {
        let max_len = self.log.len().min(source.len());
        let same = |index: usize| self.log[index].position == source[index].position;
        (0..max_len).rev().find(|&index| same(index)).map_or(0, |index| index + 1)
    }

    /// Replays the log into an empty database, because the engine cannot undo a committed
    /// transaction.
    fn rebuild(&mut self) {
        let generation = self.engine.generation() + 1;
        self.engine = Engine::new(&self.id, generation);
        self.applied = 0;
        self.apply_all();
    }
}
