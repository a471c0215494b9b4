use std::{net::SocketAddr, sync::Arc};

use base::{GroupId, Rank, Term, Time};
use futures_channel::oneshot;
use leadership::LeadershipRecord;
use membership::{Place, Takeover};
use peers::{DaemonReport, Explanation, ReachabilityQuery};
use platform::MembersRecord;
use table::Table;

/// What the control thread tells the data thread.
#[derive(Debug)]
pub(crate) enum Order {
    /// A higher version of the table is in force.
    Table {
        /// Its version.
        version: u64,
        /// The table.
        table: Arc<Table>,
    },
    /// The platform's record of a group's members.
    Members {
        /// The group.
        group: GroupId,
        /// Its members.
        record: MembersRecord,
    },
    /// News for the change of primary of a group.
    Leadership {
        /// The group.
        group: GroupId,
        /// What happened.
        event: leadership::Event,
    },
    /// Requests for a group go elsewhere.
    Route {
        /// The group.
        group: GroupId,
        /// Where they go.
        place: Place,
    },
    /// This daemon begins to be home of a group.
    BecameHome {
        /// The group.
        group: GroupId,
        /// From when on no other daemon trusts its memory.
        exclusive_from: Time,
        /// How the group came here.
        takeover: Takeover,
    },
    /// This daemon hands a group over.
    HandOver {
        /// The group.
        group: GroupId,
    },
    /// This daemon's claim was confirmed.
    Extend {
        /// The group.
        group: GroupId,
        /// End of the trust.
        until: Time,
    },
    /// Another daemon asks for a second opinion.
    CheckReachability {
        /// What it asks.
        query: ReachabilityQuery,
        /// Whether the member reigns.
        answer: oneshot::Sender<bool>,
    },
    /// An operator asks what the daemon knows.
    Report {
        /// The answer, table version apart.
        answer: oneshot::Sender<DaemonReport>,
    },
    /// An operator asks what would be chosen for a name and rank.
    Explain {
        /// The name.
        name: String,
        /// The rank.
        rank: Rank,
        /// The answer; `None` if the group is not at home here.
        answer: oneshot::Sender<Option<Explanation>>,
    },
    /// A caller of another daemon cancels a request here.
    Cancel {
        /// Process number of the session.
        pid: i32,
        /// Its secret.
        secret: i32,
        /// Whether the session is known.
        answer: oneshot::Sender<bool>,
    },
    /// Refuse new sessions, let the others end.
    Stop,
}

/// What the data thread tells the control thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// Ask a daemon in another zone whether it reaches a primary.
    CheckReachability {
        /// The group.
        group: GroupId,
        /// Address of the primary.
        addr: SocketAddr,
        /// Its term.
        term: Term,
    },
    /// Write the record of a group's primary.
    WriteLeadershipRecord {
        /// The group.
        group: GroupId,
        /// Version that the row must have.
        expected: u64,
        /// What to write.
        record: LeadershipRecord,
    },
    /// Read the record of a group's primary.
    ReadLeadershipRecord {
        /// The group.
        group: GroupId,
    },
    /// A caller cancels a request that is not known here.
    Cancel {
        /// Process number of the session.
        pid: i32,
        /// Its secret.
        secret: i32,
    },
    /// This daemon stops.
    Leave,
}
