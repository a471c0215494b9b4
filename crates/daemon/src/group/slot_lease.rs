use base::{MemberId, RequestId, Span, Time};
use home::{ConnectionState, Finished, RunResult};

use crate::{
    clock::Clock,
    group::{
        handle::{GroupEvent, GroupHandle},
        pooled_conn::PooledConn,
    },
};

/// A slot that is occupied at a member. Dropping it reports the end of the request to the
/// home, so that a session which ends abruptly does not leak the slot.
#[derive(Debug)]
pub(crate) struct SlotLease {
    group: GroupHandle,
    clock: Clock,
    req: RequestId,
    member: MemberId,
    started_at: Time,
    state_if_dropped: ConnectionState,
    reported: bool,
}

impl SlotLease {
    /// Creates a lease that reports the connection as closed if it is dropped.
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
            started_at: clock.now(),
            state_if_dropped: ConnectionState::Closed,
            reported: false,
        }
    }

    /// Leaves the connection to the session's [`HeldConn`](crate::group::HeldConn), which
    /// reports its end separately.
    pub(crate) fn with_held_connection(mut self) -> SlotLease {
        self.state_if_dropped = ConnectionState::Held;
        self
    }

    pub(crate) fn member(&self) -> &MemberId {
        &self.member
    }

    /// Time since the slot was occupied.
    pub(crate) fn elapsed(&self) -> Span {
        self.clock.now().since(self.started_at)
    }

    /// Frees the slot and returns the connection for reuse.
    pub(crate) fn end_idle(mut self, result: RunResult, conn: PooledConn) {
        self.report(result, ConnectionState::Idle, Some(conn));
    }

    /// Frees the slot and reports the connection as closed.
    pub(crate) fn end_closed(mut self, result: RunResult) {
        self.report(result, ConnectionState::Closed, None);
    }

    /// Frees the slot; the session keeps the connection.
    pub(crate) fn end_held(mut self, result: RunResult) {
        self.report(result, ConnectionState::Held, None);
    }

    fn report(&mut self, result: RunResult, connection: ConnectionState, conn: Option<PooledConn>) {
        self.reported = true;
        let finished = Finished { req: self.req, service: self.elapsed(), result, connection };
        self.group.send(GroupEvent::Finished(finished, conn));
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if !self.reported {
            self.report(RunResult::Answered, self.state_if_dropped, None);
        }
    }
}
