use base::{FastMap, FastSet, Time};

/// Records the responses that callers received and checks them against the history.
#[derive(Debug, Default)]
pub struct Oracle {
    acknowledged: FastMap<u64, (usize, Time)>,
    refused: FastSet<u64>,
    last_acknowledged: Option<Time>,
    longest_gap: u64,
    reads: u64,
    replica_reads: u64,
    violations: Vec<Violation>,
}

/// Violation of a guarantee that the proxy gives to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A read did not contain an earlier acknowledged write of the same caller.
    OwnWriteNotRead {
        /// Index of the caller.
        caller: usize,
        /// Number of the missing write.
        write: u64,
    },
    /// An acknowledged write is missing from the final history.
    AcknowledgedWriteLost {
        /// Number of the write.
        write: u64,
    },
    /// A write was refused with the assurance that it had not run, but it has run.
    RefusedWriteExecuted {
        /// Number of the write.
        write: u64,
    },
    /// The final history contains a write twice.
    ExecutedTwice {
        /// Number of the write.
        write: u64,
    },
    /// No write was acknowledged once the time for recovery from the last fault had passed.
    NoProgress,
}

impl Oracle {
    pub(crate) fn record_acknowledged(&mut self, now: Time, caller: usize, write: u64) {
        if let Some(last) = self.last_acknowledged {
            self.longest_gap = self.longest_gap.max(now.since(last).as_micros());
        }
        self.last_acknowledged = Some(now);
        self.acknowledged.insert(write, (caller, now));
    }

    pub(crate) fn record_refused(&mut self, write: u64) {
        self.refused.insert(write);
    }

    /// Returns a caller's writes that have been acknowledged so far.
    pub(crate) fn writes_of(&self, caller: usize) -> Vec<u64> {
        let own = self.acknowledged.iter().filter(|(_, (writer, _))| *writer == caller);
        let mut own: Vec<u64> = own.map(|(write, _)| *write).collect();
        own.sort_unstable();
        own
    }

    /// Checks that a read returned every write that it must observe.
    pub(crate) fn check_read(
        &mut self,
        caller: usize,
        expected: &[u64],
        seen: &FastSet<u64>,
        replica: bool,
    ) {
        self.reads += 1;
        self.replica_reads += u64::from(replica);
        let missing = expected.iter().find(|write| !seen.contains(write));
        if let Some(&write) = missing {
            self.violations.push(Violation::OwnWriteNotRead { caller, write });
        }
    }

    /// Checks the final history, given all writes that any member has ever executed. At least
    /// one write must have been acknowledged at or after `recovery_deadline`.
    pub(crate) fn check_history(
        &mut self,
        history: &[u64],
        executed: &FastSet<u64>,
        recovery_deadline: Time,
    ) {
        let kept: FastSet<u64> = history.iter().copied().collect();
        let mut lost: Vec<u64> =
            self.acknowledged.keys().filter(|write| !kept.contains(write)).copied().collect();
        lost.sort_unstable();
        let lost = lost.into_iter().map(|write| Violation::AcknowledgedWriteLost { write });
        self.violations.extend(lost);
        let run = self.refused.iter().filter(|write| executed.contains(write));
        let run = run.map(|&write| Violation::RefusedWriteExecuted { write });
        self.violations.extend(run);
        let mut sorted = history.to_vec();
        sorted.sort_unstable();
        let twice = sorted.windows(2).filter(|pair| pair[0] == pair[1]);
        self.violations.extend(twice.map(|pair| Violation::ExecutedTwice { write: pair[0] }));
        if self.last_acknowledged.is_none_or(|last| last < recovery_deadline) {
            self.violations.push(Violation::NoProgress);
        }
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of acknowledged writes.
    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// Longest time between two successive acknowledgements, in microseconds.
    pub fn longest_gap_us(&self) -> u64 {
        self.longest_gap
    }

    /// Number of answered reads, and how many of them were answered by a replica.
    pub fn reads(&self) -> (u64, u64) {
        (self.reads, self.replica_reads)
    }
}
