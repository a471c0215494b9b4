use std::{pin::pin, time::Duration};

use budget::Reason;
use futures_util::{future, future::Either};

use crate::{
    group::{self, GroupHandle, PooledConn},
    session::{
        relay::{Input, Relay},
        relay_input::Side,
    },
};

/// Part of an answer that is read from the member although the caller does not take it, so that
/// the member's slot is free for others. Several rows of a mebibyte.
const MAX_UNREAD_BYTES: usize = 4 * 1024 * 1024;
/// Memory that an unsent answer takes, in its length: buffers double while they grow.
const ANSWER_COPIES: usize = 2;
/// What may be received from an upstream at a time: a message that is not split, and one read.
const UPSTREAM_READ_BYTES: usize = 80 * 1024;
/// Interval at which it is checked whether others wait for a slot that a stalled caller keeps, or
/// whether there is memory again.
const STALL_CHECK: Duration = Duration::from_millis(100);
/// Number of these intervals without progress after which a caller that keeps a slot is closed
/// while others wait for one: less than twice an ordinary target of 1 s, and more than a
/// retransmission takes.
const MAX_STALLED_CHECKS: u32 = 5;
/// Part of an answer up to which it is held back without a charge.
const HELD_UNCHARGED_BYTES: usize = 16 * 1024;

impl Relay<'_> {
    /// Waits for memory for the part of the answer that is held back. If there is none, the request
    /// ends as one whose outcome is unknown.
    pub(super) async fn reserve_held(&self) -> bool {
        let held = self.response.len();
        if held == 0 {
            self.account.release_answer();
            return true;
        }
        if held <= HELD_UNCHARGED_BYTES {
            return true;
        }
        let bytes = ANSWER_COPIES * (held + UPSTREAM_READ_BYTES);
        self.account.wait_for_answer_memory(bytes as u64).await
    }

    /// Waits for data from the upstream while the caller does not take the answer. As long as there
    /// is memory, the answer is read on, so that the member's slot is free; otherwise the caller
    /// must make progress if others wait for the slot.
    pub(super) async fn read_ahead_of_caller(
        &mut self,
        conn: &mut PooledConn,
    ) -> Result<Input, Side> {
        let mut stalled_checks = 0;
        loop {
            if self.account.send_now(self.caller).await.map_err(|_| Side::Caller)? {
                return Ok(Input::Caller);
            }
            let unread = self.caller.unsent() + self.response.len();
            let bytes = ANSWER_COPIES * (unread + UPSTREAM_READ_BYTES);
            let sent = self.account.send_part(self.caller);
            if unread <= MAX_UNREAD_BYTES && self.account.reserve_answer(bytes as u64) {
                let upstream = pin!(conn.upstream.conn.read_fragment());
                let lost = pin!(group::lost(self.updates));
                match future::select(upstream, future::select(pin!(sent), lost)).await {
                    Either::Left((piece, _)) => {
                        return piece.map(Input::Upstream).map_err(|_| Side::Upstream);
                    }
                    Either::Right((Either::Left((sent, _)), _)) => {
                        sent.map_err(|_| Side::Caller)?;
                        continue;
                    }
                    Either::Right((Either::Right(((), _)), _)) => return Ok(Input::Lost),
                }
            }
            match monoio::time::timeout(STALL_CHECK, sent).await {
                Ok(sent) => {
                    sent.map_err(|_| Side::Caller)?;
                    stalled_checks = 0;
                }
                Err(_) => stalled_checks += 1,
            }
            let others_wait = self.group.as_ref().is_some_and(GroupHandle::has_waiting);
            if others_wait && stalled_checks >= MAX_STALLED_CHECKS {
                self.account.log_refused(Reason::UnreadAnswer, unread as u64);
                return Err(Side::Caller);
            }
        }
    }
}
