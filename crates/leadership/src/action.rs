use base::{MemberId, Term};

use crate::record::LeadershipRecord;

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask a daemon in another availability zone whether it reaches the primary.
    CheckReachability {
        /// The primary.
        primary: MemberId,
    },
    /// Write the record, if its row still has `expected`.
    Write {
        /// Version that the row must have.
        expected: u64,
        /// What to write; its version is ignored.
        record: LeadershipRecord,
    },
    /// Read the record.
    Read,
    /// Ask every member to accept a term.
    Fence {
        /// The term.
        term: Term,
    },
    /// Ask a member to be primary.
    Promote {
        /// The member.
        member: MemberId,
        /// The term.
        term: Term,
    },
    /// A primary is in force, or a change is under way.
    SetPrimary {
        /// The term.
        term: Term,
        /// The primary; `None` during a change.
        primary: Option<MemberId>,
    },
    /// Tell operators.
    LogDecision {
        /// What was decided.
        decision: &'static str,
        /// Why.
        reason: &'static str,
    },
}
