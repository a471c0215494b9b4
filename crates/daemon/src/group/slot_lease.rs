use base::{MemberId, RequestId, Span, Time};
use home::{ConnectionState, Finished, RunResult};

use crate::{
    clock::Clock,
    group::{
        handle::{GroupEvent, GroupHandle},
        pooled_conn::PooledConn,
    },
};

/// A slot at a member. The home hears of its end even if the session dies.
#[derive(Debug)]
pub(crate) struct SlotLease {
    group: GroupHandle,
    clock: Clock,
    req: RequestId,
    member: MemberId,
    since: Time,
    state_if_dropped: ConnectionState,
    ended: bool,
}

impl SlotLease {
    /// A slot and the connection that goes with it.
    pub(crate) fn new(
        group: GroupHandle,
        clock: Clock,
        req: RequestId,
        member: MemberId,
    ) -> SlotLease {
        SlotLease {
            group,
            clock,
            req,
            member,
            since: clock.now(),
            state_if_dropped: ConnectionState::Closed,
            ended: false,
        }
    }

    /// A slot for a connection that the session holds on its own.
    pub(crate) fn with_held_connection(mut self) -> SlotLease {
        self.state_if_dropped = ConnectionState::Held;
        self
    }

    /// The member.
    pub(crate) fn member(&self) -> &MemberId {
        &self.member
    }

    /// Time since the slot was taken.
    pub(crate) fn held_for(&self) -> Span {
        self.clock.now().since(self.since)
    }

    /// Frees the slot and gives the connection back for others.
    pub(crate) fn end_idle(mut self, result: RunResult, conn: PooledConn) {
        self.end(result, ConnectionState::Idle, Some(conn));
    }

    /// Frees the slot; the connection is closed.
    pub(crate) fn end_closed(mut self, result: RunResult) {
        self.end(result, ConnectionState::Closed, None);
    }

    /// Frees the slot; the session keeps the connection.
    pub(crate) fn end_held(mut self, result: RunResult) {
        self.end(result, ConnectionState::Held, None);
    }

    fn end(&mut self, result: RunResult, connection: ConnectionState, conn: Option<PooledConn>) {
        self.ended = true;
        let finished = Finished { req: self.req, service: self.held_for(), result, connection };
        self.group.send(GroupEvent::Finished(finished, conn));
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if !self.ended {
            self.end(RunResult::Answered, self.state_if_dropped, None);
        }
    }
}
