use base::{MemberId, Term};

use crate::record::LeadershipRecord;

/// What the caller has to do after an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask another daemon, preferably in another availability zone, whether it reaches
    /// the primary.
    CheckReachability {
        /// The suspected primary.
        primary: MemberId,
    },
    /// Write the record if the version of its row is still `expected`.
    Write {
        /// Version that the row must have.
        expected: u64,
        /// Record to write; its version is ignored.
        record: LeadershipRecord,
    },
    /// Read the record.
    Read,
    /// Ask every member to accept a term and to reject lower ones from then on.
    Fence {
        /// Term of the attempt.
        term: Term,
    },
    /// Ask a member to become primary.
    Promote {
        /// The chosen member.
        member: MemberId,
        /// Term of the attempt.
        term: Term,
    },
    /// Use this primary from now on, or none while an election is in progress.
    SetPrimary {
        /// Term of the primary, or of the election.
        term: Term,
        /// The primary; `None` during an election.
        primary: Option<MemberId>,
    },
    /// Log a decision for operators.
    LogDecision {
        /// What was decided.
        decision: &'static str,
        /// Why it was decided.
        reason: &'static str,
    },
}
