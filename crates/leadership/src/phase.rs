use base::{MemberId, Term, Time};

use crate::event::FenceReply;

/// Progress of an attempt.
#[derive(Clone, Debug, Default)]
pub(crate) enum Phase {
    #[default]
    Idle,
    /// Another daemon has been asked whether it reaches the primary.
    CheckingReachability { since: Time },
    /// The record of the attempt, without a primary, is being written.
    RecordingIntent {
        term: Term,
        /// When the write was last sent, or its outcome last asked for.
        since: Time,
    },
    /// The members are asked to accept the attempt's term.
    Fencing {
        term: Term,
        /// When the members were first asked.
        since: Time,
        /// When the members were last asked.
        last_asked: Time,
        replies: Vec<FenceReply>,
    },
    /// A member is asked to become primary.
    Promoting { term: Term, member: MemberId, since: Time },
    /// The record with the new primary is being written.
    RecordingOutcome {
        term: Term,
        primary: MemberId,
        /// When the write was last sent, or its outcome last asked for.
        since: Time,
    },
    /// A member has accepted a higher term than that of the attempt, which has ended.
    BackingOff { until: Time },
}
