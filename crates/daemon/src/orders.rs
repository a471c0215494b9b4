use std::{net::SocketAddr, sync::Arc};

use base::{GroupId, Rank, Term, Time};
use futures_channel::oneshot;
use leadership::LeadershipRecord;
use membership::{Place, Takeover};
use peers::{DaemonReport, Explanation, ReachabilityQuery};
use platform::MembersRecord;
use table::Table;

/// Message from the control thread to the data thread.
#[derive(Debug)]
pub(crate) enum Order {
    /// A newer version of the operators' table is to be applied.
    Table {
        /// Version of the table.
        version: u64,
        table: Arc<Table>,
    },
    /// The platform, asked at this time, had no newer table than the last one that was sent.
    TableConfirmed { asked_at: Time },
    /// The platform has a new record of a group's members.
    Members { group: GroupId, record: MembersRecord },
    /// Event for a group's election.
    Leadership { group: GroupId, event: leadership::Event },
    /// The daemon that requests for a group are sent to has changed.
    Route {
        group: GroupId,
        /// Destination of the requests.
        place: Place,
    },
    /// This daemon has become the home of a group.
    BecameHome {
        group: GroupId,
        /// When no earlier home relies on what it has in memory any more.
        exclusive_from: Time,
        /// How the claim passed to this daemon.
        takeover: Takeover,
    },
    /// This daemon hands a group over to another one.
    HandOver { group: GroupId },
    /// This daemon's claim was confirmed: its exclusive period as home is extended.
    Extend {
        group: GroupId,
        /// No other daemon can be the home before this time.
        until: Time,
    },
    /// Another daemon asks whether this one reaches a primary.
    CheckReachability {
        /// Member and term to check.
        query: ReachabilityQuery,
        /// Whether the member answers as the primary of the term.
        answer: oneshot::Sender<bool>,
    },
    /// An operator asks for the daemon's status.
    Report {
        /// The report; the control thread fills in the VM and the table version.
        answer: oneshot::Sender<DaemonReport>,
    },
    /// An operator asks which member would run a request with this name and rank, and why.
    Explain {
        name: String,
        rank: Rank,
        /// The explanation; `None` if this daemon is not the home of the group.
        answer: oneshot::Sender<Option<Explanation>>,
    },
    /// A caller has sent a cancel request to another daemon, which does not know the session.
    Cancel {
        /// Process ID of the session, as sent to the caller at its start.
        pid: i32,
        /// Secret key of the session, as sent to the caller at its start.
        secret: i32,
        /// Whether the session is known.
        answer: oneshot::Sender<bool>,
    },
    /// Refuse new sessions and stop once the open ones have ended.
    Stop,
}

/// Message from the data thread to the control thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// Ask a daemon in another availability zone whether it reaches a primary.
    CheckReachability {
        group: GroupId,
        /// Address of the primary.
        addr: SocketAddr,
        /// Term of the primary.
        term: Term,
    },
    /// Write the record of a group's primary.
    WriteLeadershipRecord {
        group: GroupId,
        /// Version that the row must have.
        expected: u64,
        record: LeadershipRecord,
    },
    /// Read the record of a group's primary.
    ReadLeadershipRecord { group: GroupId },
    /// A caller has sent a cancel request for a session that this daemon does not know.
    Cancel {
        /// Process ID of the session, as sent to the caller at its start.
        pid: i32,
        /// Secret key of the session, as sent to the caller at its start.
        secret: i32,
    },
    /// This daemon stops: hand its groups over.
    Leave,
}
