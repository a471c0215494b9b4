use std::{cell::Cell, net::SocketAddr, rc::Rc};

use base::{MemberId, RequestId, Time};
use futures_channel::{mpsc, oneshot};
use home::{Commit, ConnectionState, Finished, PinnedStatement, ProbeReply, Submission};
use membership::Takeover;
use peers::GroupReport;
use platform::MembersRecord;
use table::{Policy, RowKey};

use crate::group::{pooled_conn::PooledConn, request_update::RequestUpdate};

/// Event that is sent to a group's task.
#[derive(Debug)]
pub(crate) enum GroupEvent {
    /// A request needs a member to run on; its session receives the updates.
    Submit(Submission, mpsc::UnboundedSender<RequestUpdate>),
    /// A statement needs a slot at the member to which its session holds a connection.
    Pinned(PinnedStatement, mpsc::UnboundedSender<RequestUpdate>),
    /// A dispatched request has ended; with its connection if that can be reused.
    Finished(Finished, Option<PooledConn>),
    /// A connection that a session held between requests was returned or closed.
    Released(MemberId, ConnectionState, Option<PooledConn>),
    /// The primary has committed a write; its session waits for the acknowledgement.
    Committed(Commit, mpsc::UnboundedSender<RequestUpdate>),
    /// The caller of a request has cancelled it or disconnected.
    Cancelled(RequestId),
    /// A member answered a probe.
    Probed(ProbeReply),
    /// An attempt to open a spare connection has ended; `None` if it failed.
    Warmed(MemberId, Option<PooledConn>),
    /// Event for the group's election.
    Leadership(leadership::Event),
    /// This daemon holds the claim. No earlier home uses what it has in memory after the
    /// given time.
    BecameHome(Time, Takeover),
    /// This daemon hands the group over.
    HandoverStarted,
    /// This daemon's claim was confirmed: no other daemon can be the home before the given
    /// time.
    Exclusive(Time),
    /// This daemon is no longer the home; the task ends once its requests have ended.
    Retire,
    /// An operator asks for the state of the group.
    Report(oneshot::Sender<GroupReport>),
    /// An operator asks which member would run a request under this policy, and why.
    Explain(RowKey, Policy, oneshot::Sender<Vec<String>>),
    /// The platform has a new record of the group's members.
    Members(MembersRecord),
}

/// Sends events to a group's task.
#[derive(Clone, Debug)]
pub(crate) struct GroupHandle {
    tx: mpsc::UnboundedSender<GroupEvent>,
    has_waiting: Rc<Cell<bool>>,
}

impl GroupHandle {
    /// Creates a handle and the receiver for the group's task.
    pub(crate) fn new() -> (GroupHandle, mpsc::UnboundedReceiver<GroupEvent>) {
        let (tx, rx) = mpsc::unbounded();
        (GroupHandle { tx, has_waiting: Rc::default() }, rx)
    }

    /// Whether requests wait for a member's slot.
    pub(crate) fn has_waiting(&self) -> bool {
        self.has_waiting.get()
    }

    pub(crate) fn set_has_waiting(&self, has_waiting: bool) {
        self.has_waiting.set(has_waiting);
    }

    /// Sends an event to the task. Returns false if the task has ended.
    pub(crate) fn send(&self, event: GroupEvent) -> bool {
        self.tx.unbounded_send(event).is_ok()
    }
}

/// A member and its address.
#[derive(Clone, Debug)]
pub(crate) struct MemberAddr {
    pub(crate) id: MemberId,
    pub(crate) addr: SocketAddr,
}
