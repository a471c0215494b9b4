use base::{FastMap, FastSet, Time};

/// What callers were told, and whether that was true.
#[derive(Debug, Default)]
pub struct Oracle {
    acknowledged: FastMap<u64, (usize, Time)>,
    refused: FastSet<u64>,
    last_acknowledged: Option<Time>,
    gap: u64,
    reads: u64,
    replica_reads: u64,
    violations: Vec<Violation>,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A caller did not read its own write.
    OwnWriteNotRead {
        /// The caller.
        caller: usize,
        /// Its write.
        write: u64,
    },
    /// An acknowledged write is not in the history.
    AcknowledgedWriteLost {
        /// The write.
        write: u64,
    },
    /// A write that was refused as not run has run.
    RefusedWriteExecuted {
        /// The write.
        write: u64,
    },
    /// A write stands twice in the history.
    ExecutedTwice {
        /// The write.
        write: u64,
    },
    /// Writes do not land again after every fault has ended.
    NoProgress,
}

impl Oracle {
    pub(crate) fn acknowledge(&mut self, now: Time, caller: usize, write: u64) {
        if let Some(last) = self.last_acknowledged {
            self.gap = self.gap.max(now.since(last).as_micros());
        }
        self.last_acknowledged = Some(now);
        self.acknowledged.insert(write, (caller, now));
    }

    pub(crate) fn refuse(&mut self, write: u64) {
        self.refused.insert(write);
    }

    /// Writes of a caller that were acknowledged so far.
    pub(crate) fn writes_of(&self, caller: usize) -> Vec<u64> {
        let own = self.acknowledged.iter().filter(|(_, (whose, _))| *whose == caller);
        let mut own: Vec<u64> = own.map(|(write, _)| *write).collect();
        own.sort_unstable();
        own
    }

    /// Checks an answer against the writes that must be in it.
    pub(crate) fn read(&mut self, caller: usize, must: &[u64], seen: &FastSet<u64>, replica: bool) {
        self.reads += 1;
        self.replica_reads += u64::from(replica);
        let missing = must.iter().find(|write| !seen.contains(write));
        if let Some(&write) = missing {
            self.violations.push(Violation::OwnWriteNotRead { caller, write });
        }
    }

    /// Checks the history at the end.
    pub(crate) fn finish(&mut self, history: &[u64], ever: &FastSet<u64>, healed: Time) {
        let kept: FastSet<u64> = history.iter().copied().collect();
        let mut lost: Vec<u64> =
            self.acknowledged.keys().filter(|write| !kept.contains(write)).copied().collect();
        lost.sort_unstable();
        let lost = lost.into_iter().map(|write| Violation::AcknowledgedWriteLost { write });
        self.violations.extend(lost);
        let run = self.refused.iter().filter(|write| ever.contains(write));
        let run = run.map(|&write| Violation::RefusedWriteExecuted { write });
        self.violations.extend(run);
        let mut sorted = history.to_vec();
        sorted.sort_unstable();
        let twice = sorted.windows(2).filter(|pair| pair[0] == pair[1]);
        self.violations.extend(twice.map(|pair| Violation::ExecutedTwice { write: pair[0] }));
        if self.last_acknowledged.is_none_or(|last| last < healed) {
            self.violations.push(Violation::NoProgress);
        }
    }

    /// Every promise that was broken.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of writes that were acknowledged.
    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// Longest time between two acknowledgements, in microseconds.
    pub fn longest_gap_us(&self) -> u64 {
        self.gap
    }

    /// Number of reads, and of those that a replica answered.
    pub fn reads(&self) -> (u64, u64) {
        (self.reads, self.replica_reads)
    }
}
