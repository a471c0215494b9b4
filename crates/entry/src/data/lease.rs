use std::rc::Rc;

use base::{MemberId, Position, Time};

use crate::{
    clock,
    data::{
        group::Group,
        member_conn::{Answer, MemberConn, MemberError},
    },
};

/// A member's connection in use. Dropped without [`Lease::give_back`], it closes the
/// connection, which rolls a transaction back.
#[derive(Debug)]
pub(crate) struct Lease {
    group: Rc<Group>,
    req: u64,
    pub(crate) member: MemberId,
    conn: Option<Box<MemberConn>>,
    number: u64,
    /// Epoch of the primary when the lease began.
    pub(crate) epoch: u64,
    /// Whether a change of primary should wait for it.
    counts: bool,
    running: bool,
    began: Time,
}

impl Lease {
    pub(crate) fn new(
        group: Rc<Group>,
        req: u64,
        member: MemberId,
        conn: Option<Box<MemberConn>>,
    ) -> Lease {
        let counts = group.is_lead(&member);
        if counts {
            group.enter_primary();
        }
        let number = conn.as_ref().map_or(0, |conn| conn.number);
        let epoch = group.epoch();
        Lease {
            req,
            member,
            conn,
            number,
            epoch,
            counts,
            running: true,
            began: clock::now(),
            group,
        }
    }

    /// Whether it leads to the primary that was in force when it began.
    pub(crate) fn on_primary(&self) -> bool {
        self.counts
    }

    /// The connection, if it is still good.
    pub(crate) fn conn(&mut self) -> Result<&mut MemberConn, MemberError> {
        self.conn.as_deref_mut().ok_or(MemberError::Silent)
    }

    /// Whether the member closed the connection while it was idle.
    pub(crate) fn is_spoilt(&mut self) -> bool {
        self.conn.as_deref_mut().is_none_or(MemberConn::is_spoilt)
    }

    /// Notes that a statement is about to be sent.
    pub(crate) fn begin_statement(&mut self) {
        if !self.running {
            self.running = true;
            self.group.with_pool(|pool| pool.statement_sent(clock::now(), &self.member));
        }
        self.began = clock::now();
    }

    /// Notes the end of a statement, and what its answer tells of the member.
    pub(crate) fn end_statement(&mut self, answer: Option<&Answer>) {
        let now = clock::now();
        let asked_at = self.began;
        let proven = (self.counts && self.group.leads(self.epoch)).then_some(asked_at);
        let service = answer.map(|_| now.since(asked_at));
        let running = std::mem::replace(&mut self.running, false);
        self.group.with_pool(|pool| {
            if running {
                pool.statement_done(now, &self.member, service);
            }
            pool.request_done(self.req, now.since(asked_at));
            if let Some(position) = answer.and_then(|answer| answer.position) {
                pool.record_position(&self.member, position, proven);
            }
        });
    }

    /// Stops to count the statement as running: nobody waits for its answer any more,
    /// and others should not wait for its place.
    pub(crate) fn stop_counting(&mut self) {
        if std::mem::replace(&mut self.running, false) {
            let now = clock::now();
            self.group.with_pool(|pool| pool.statement_done(now, &self.member, None));
        }
    }

    /// Notes that the member's log lacks a position.
    pub(crate) fn note_behind(&self, required: Position) {
        let now = clock::now();
        self.group.with_pool(|pool| pool.record_behind(now, &self.member, required));
    }

    /// Gives the connection back; no answer is outstanding on it.
    pub(crate) fn give_back(mut self) {
        if self.running {
            self.end_statement(None);
        }
        if let Some(conn) = self.conn.take() {
            self.group.give_back(&self.member, conn);
        }
    }

    /// Closes the connection because the member broke it or did not answer.
    pub(crate) fn fail(mut self) {
        self.close(true);
    }

    fn close(&mut self, failed: bool) {
        if self.running {
            self.end_statement(None);
        }
        self.conn = None;
        let now = clock::now();
        self.group.with_pool(|pool| pool.closed(now, &self.member, self.number, failed));
        self.number = 0;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.conn.is_some() {
            self.close(false);
        }
        if self.counts {
            self.group.leave_primary();
        }
    }
}
