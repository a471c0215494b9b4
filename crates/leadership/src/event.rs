use base::{MemberId, Position, Term};

use crate::record::LeadershipRecord;

/// Input of the election.
#[derive(Clone, Debug)]
pub enum Event {
    /// The primary has not answered within the time limit.
    Suspected {
        /// Term of the primary.
        term: Term,
    },
    /// Another daemon was asked whether it reaches the primary.
    ReachabilityChecked {
        /// Whether it does; `None` if it did not answer.
        reachable: Option<bool>,
    },
    /// The primary has answered.
    PrimaryAnswered {
        /// Term that it stated.
        term: Term,
    },
    /// The platform's record as read or watched.
    Record(LeadershipRecord),
    /// A write of the record succeeded.
    Written {
        /// New version of the record's row.
        version: u64,
    },
    /// A write was rejected because the row had another version; holds the present record.
    WriteConflict(LeadershipRecord),
    /// The outcome of a write is unknown.
    WriteUnknown,
    /// The platform did not answer a read.
    ReadFailed,
    /// A member answered the request to accept a term.
    Fenced(FenceReply),
    /// A member answered, or refused, the request to become primary.
    Promoted {
        /// The member.
        member: MemberId,
        /// Term of the request.
        term: Term,
        /// Whether it is primary under that term now.
        done: bool,
    },
    /// A member has accepted this term, which is higher than the one known so far.
    TermObserved(Term),
    /// This daemon has become the group's home. From now on it needs a record that it
    /// has written itself, so that no earlier home can acknowledge writes any more.
    OwnershipRequired,
    /// Time has passed.
    Tick,
}

/// Answer of a member that was asked to accept a term.
#[derive(Clone, Debug)]
pub struct FenceReply {
    /// The member.
    pub member: MemberId,
    /// Highest term that it has accepted.
    pub term: Term,
    /// End of its log.
    pub position: Position,
}
