use base::{Position, Span, Term, Time};
use home::MemberStatus;

/// Member with a replicated log; `origin` is the end of its log when it became primary.
#[derive(Clone, Debug)]
pub(crate) struct FakeMember {
    pub(crate) term: Term,
    pub(crate) primary: bool,
    pub(crate) origin: Position,
    pub(crate) log: Vec<LogEntry>,
    pub(crate) running: u32,
    pub(crate) peak_running: u32,
}

/// Log entry. Without a write, it is the one that a new primary appends at the start of its
/// term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LogEntry {
    pub(crate) position: Position,
    pub(crate) write: Option<u64>,
    pub(crate) at: Time,
}

impl FakeMember {
    pub(crate) fn new() -> FakeMember {
        FakeMember {
            term: Term::new(1),
            primary: false,
            origin: Position::default(),
            log: Vec::new(),
            running: 0,
            peak_running: 0,
        }
    }

    pub(crate) fn position(&self) -> Position {
        self.log.last().map(|entry| entry.position).unwrap_or_default()
    }

    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            term: self.term,
            primary: self.primary,
            position: self.position(),
            origin: self.origin,
            log_end: self.position(),
        }
    }

    pub(crate) fn append(&mut self, now: Time, write: Option<u64>) -> Position {
        let position = Position { term: self.term, index: self.position().index + 1 };
        self.log.push(LogEntry { position, write, at: now });
        position
    }

    pub(crate) fn fence(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.primary = false;
        }
    }

    pub(crate) fn promote(&mut self, now: Time, term: Term) -> bool {
        if term != self.term {
            return false;
        }
        if !self.primary {
            self.primary = true;
            self.origin = self.position();
            self.append(now, None);
        }
        true
    }

    /// Truncates the log where it diverges from `source`, then appends the entries of `source`
    /// that are at least `lag` old.
    pub(crate) fn replicate_from(&mut self, now: Time, source: &[LogEntry], lag: Span) {
        let min_len = self.log.len().min(source.len());
        let matches = |index: &usize| self.log[*index].position == source[*index].position;
        let shared = (0..min_len).rev().find(matches).map_or(0, |index| index + 1);
        self.log.truncate(shared);
        let replicated = source[shared..].iter().take_while(|entry| entry.at + lag <= now);
        self.log.extend(replicated.copied());
    }

    pub(crate) fn writes(&self) -> impl Iterator<Item = u64> {
        self.log.iter().filter_map(|entry| entry.write)
    }
}
