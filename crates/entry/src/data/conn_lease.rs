use std::rc::Rc;

use adapter::TransactionState;
use base::{MemberId, Position, Time};

use crate::{
    clock,
    data::{
        group::Group,
        member_conn::{Answer, MemberConn, MemberError},
    },
};

/// Exclusive use of a pooled connection to a member, and of one of the member's slots while a
/// statement runs on it. Dropping it without [`ConnLease::release`] closes the connection, which
/// rolls back an open transaction.
#[derive(Debug)]
pub(crate) struct ConnLease {
    group: Rc<Group>,
    req: u64,
    pub(crate) member: MemberId,
    conn: Option<Box<MemberConn>>,
    /// Number of the connection in the group's pool; 0 once it is closed.
    number: u64,
    /// The group's epoch when the connection was assigned.
    epoch: u64,
    /// Whether this counts as a user of the primary, which a planned failover waits for.
    counts: bool,
    /// Whether a statement occupies one of the member's slots.
    running: bool,
    /// When the current or last statement was sent.
    sent_at: Time,
}

impl ConnLease {
    pub(crate) fn new(
        group: Rc<Group>,
        req: u64,
        member: MemberId,
        conn: Option<Box<MemberConn>>,
    ) -> ConnLease {
        let counts = group.is_primary(&member);
        if counts {
            group.add_primary_user();
        }
        let number = conn.as_ref().map_or(0, |conn| conn.number);
        let epoch = group.epoch();
        ConnLease {
            req,
            member,
            conn,
            number,
            epoch,
            counts,
            running: true,
            sent_at: clock::now(),
            group,
        }
    }

    /// Whether the member was the primary when the connection was assigned.
    pub(crate) fn on_primary(&self) -> bool {
        self.counts
    }

    /// Name of the member's group.
    pub(crate) fn group(&self) -> &str {
        &self.group.name
    }

    /// Whether the primary at the time of the assignment is still the present one, and this
    /// daemon's grant to use it is valid. The group is the one whose pool the connection is from,
    /// whatever the database's route says by now.
    pub(crate) fn may_use_primary(&self) -> bool {
        self.group.may_use_primary(self.epoch)
    }

    /// The connection; an error if it has been closed.
    pub(crate) fn conn(&mut self) -> Result<&mut MemberConn, MemberError> {
        self.conn.as_deref_mut().ok_or(MemberError::Silent)
    }

    /// Whether the member closed the connection or sent unsolicited data while it was idle.
    pub(crate) fn is_stale(&mut self) -> bool {
        self.conn.as_deref_mut().is_none_or(MemberConn::is_stale)
    }

    /// Records that a statement is about to be sent.
    pub(crate) fn begin_statement(&mut self) {
        if !self.running {
            self.running = true;
            self.group.with_pool(|pool| pool.statement_sent(clock::now(), &self.member));
        }
        self.sent_at = clock::now();
    }

    /// Records the end of a statement, with the member's position and service time if it
    /// was answered.
    pub(crate) fn end_statement(&mut self, answer: Option<&Answer>) {
        let now = clock::now();
        let sent_at = self.sent_at;
        let usable_since = (self.counts && self.may_use_primary()).then_some(sent_at);
        let service = answer.map(|_| now.since(sent_at));
        let running = std::mem::replace(&mut self.running, false);
        self.group.with_pool(|pool| {
            if running {
                pool.statement_done(now, &self.member, service);
            }
            if answer.is_some_and(|answer| answer.state != TransactionState::Idle) {
                pool.held(&self.member, self.number);
            }
            pool.request_done(self.req, now.since(sent_at));
            if let Some(position) = answer.and_then(|answer| answer.position) {
                pool.record_position(&self.member, position, usable_since);
            }
        });
    }

    /// Frees the statement's slot at the member before the answer has arrived. The caller no
    /// longer waits for the answer, so other requests need not wait for the slot.
    pub(crate) fn release_slot(&mut self) {
        if std::mem::replace(&mut self.running, false) {
            let now = clock::now();
            self.group.with_pool(|pool| {
                pool.held(&self.member, self.number);
                pool.statement_done(now, &self.member, None);
            });
        }
    }

    /// Records that the member's log does not reach a position.
    pub(crate) fn record_behind(&self, required: Position) {
        let now = clock::now();
        self.group.with_pool(|pool| pool.record_behind(now, &self.member, required));
    }

    /// Returns the connection to the pool; no answer may be outstanding on it.
    pub(crate) fn release(mut self) {
        if self.running {
            self.end_statement(None);
        }
        if let Some(mut conn) = self.conn.take() {
            conn.drop_large_values();
            self.group.release(&self.member, conn);
        }
    }

    /// Closes the connection and records a failure of the member, which broke the
    /// connection or did not answer.
    pub(crate) fn fail(mut self) {
        self.close(true);
    }

    /// Closes the connection after a statement has failed. The member is not to blame if it was this
    /// daemon that had no memory for the answer.
    pub(crate) fn end_failed(mut self, error: &MemberError) {
        self.close(!matches!(error, MemberError::NoMemory));
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

impl Drop for ConnLease {
    fn drop(&mut self) {
        if self.conn.is_some() {
            self.close(false);
        }
        self.group.abandon(self.req);
        if self.counts {
            self.group.remove_primary_user();
        }
    }
}
