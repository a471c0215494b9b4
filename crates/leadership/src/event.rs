use base::{MemberId, Position, Term};

use crate::record::LeadershipRecord;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The primary has been silent for too long.
    Suspected {
        /// Its term.
        term: Term,
    },
    /// A daemon elsewhere was asked whether it reaches the primary.
    ReachabilityChecked {
        /// Whether it does; `None` if it did not answer.
        reachable: Option<bool>,
    },
    /// The primary answers again.
    PrimaryAnswered {
        /// Its term.
        term: Term,
    },
    /// The platform's record, read or watched.
    Record(LeadershipRecord),
    /// A write to the record came about.
    Written {
        /// Version of the record's row now.
        version: u64,
    },
    /// Another write came before; the record as it is now.
    WriteConflict(LeadershipRecord),
    /// Nobody knows whether a write to the record came about.
    WriteUnknown,
    /// The platform did not answer a read.
    ReadFailed,
    /// A member was asked to accept the term.
    Fenced(FenceReply),
    /// A member was asked to be primary.
    Promoted {
        /// The member.
        member: MemberId,
        /// The term.
        term: Term,
        /// Whether it is.
        done: bool,
    },
    /// Some member has accepted a term that the record does not tell of.
    TermObserved(Term),
    /// This daemon has become home: from now on it needs a record that it has
    /// recorded itself, so that no home before it can acknowledge writes.
    OwnershipRequired,
    /// Time has passed.
    Tick,
}

/// Answer of a member that was asked to accept a term.
#[derive(Clone, Debug)]
pub struct FenceReply {
    /// The member.
    pub member: MemberId,
    /// Term that it has accepted.
    pub term: Term,
    /// End of its log.
    pub position: Position,
}
