use std::{cell::Cell, pin::pin, rc::Rc, task::Poll, time::Duration};

use base::Time;
use budget::{Budget, HolderId, Reason};
use futures_util::{future::AbortHandle, poll};
use monoio::time;
use wire::{Conn, WireError};

use crate::{accounts::Accounts, host::Host, log_limit::LogLimit};

/// How often a session that waits for memory checks whether it has got it.
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Statements that a session may try to prepare, and values that it may try to set, beyond what it
/// may hold. One that goes on does not look at the answers.
const MAX_STORE_REFUSALS: u32 = 100;

/// A session's entry in the budget, which ends with it.
#[derive(Debug)]
pub struct Account<H: Host> {
    accounts: Rc<Accounts<H>>,
    id: HolderId,
    opened_at: Time,
    log_limit: LogLimit,
    /// Reasons of the refusals that have been logged, a bit each.
    logged: Cell<u16>,
    /// Number of refusals by [`Account::store`].
    store_refusals: Cell<u32>,
}

impl<H: Host> Account<H> {
    pub(crate) fn new(accounts: Rc<Accounts<H>>, id: HolderId, opened_at: Time) -> Account<H> {
        let log_limit = LogLimit::default();
        Account {
            accounts,
            id,
            opened_at,
            log_limit,
            logged: Cell::new(0),
            store_refusals: Cell::new(0),
        }
    }

    /// Records that the session waits for its next message, and holds nothing of the last one.
    pub fn idle(&self) {
        self.accounts.budget.borrow_mut().idle(self.id);
    }

    /// Records that a message has been received, which takes this many bytes.
    pub fn running(&self, bytes: u64) {
        self.accounts.budget.borrow_mut().running(self.id, bytes);
    }

    /// Records that the part of a message that has been received is this long.
    pub fn receiving(&self, bytes: u64) {
        let now = self.accounts.host.now();
        self.accounts.budget.borrow_mut().receiving(now, self.id, bytes);
    }

    /// Waits until the session's message and answer may take this many bytes. Returns `false` if
    /// the message or statement must be refused for lack of memory.
    pub async fn reserve(&self, bytes: u64) -> bool {
        let Accounts { host, budget, .. } = &*self.accounts;
        let began_at = host.now();
        if budget.borrow_mut().reserve(began_at, self.id, bytes) {
            return true;
        }
        while budget.borrow().is_waiting(self.id) {
            if host.now().since(began_at) >= Budget::<AbortHandle>::MAX_WAIT {
                budget.borrow_mut().stop_waiting(self.id);
                self.log_refused(Reason::NoMemory, bytes);
                return false;
            }
            time::sleep(WAIT_INTERVAL).await;
        }
        true
    }

    /// Asks for the memory of the answer that is being read, this many bytes in all. Returns `false`
    /// if there is none at present; no more may be read then.
    pub fn reserve_answer(&self, bytes: u64) -> bool {
        let now = self.accounts.host.now();
        let (has_memory, evicted) =
            self.accounts.budget.borrow_mut().reserve_answer(now, self.id, bytes);
        self.accounts.close(evicted);
        has_memory
    }

    /// Waits for the memory of the answer that is being read, as [`Account::reserve_answer`];
    /// `false` if there is none within the limit.
    pub async fn wait_for_answer_memory(&self, bytes: u64) -> bool {
        let began_at = self.accounts.host.now();
        while !self.reserve_answer(bytes) {
            if self.accounts.host.now().since(began_at) >= Budget::<AbortHandle>::MAX_WAIT {
                self.log_refused(Reason::NoMemory, bytes);
                return false;
            }
            time::sleep(WAIT_INTERVAL).await;
        }
        true
    }

    /// Frees the memory of an answer that has been sent, or counts as held.
    pub fn release_answer(&self) {
        self.accounts.budget.borrow_mut().release_answer(self.id);
    }

    /// Sends as much of the write buffer as the socket takes at once. Returns whether that was all;
    /// if not, the time limit for unread answers applies.
    pub async fn send_now(&self, conn: &mut Conn) -> Result<bool, WireError> {
        let before = conn.unsent();
        while conn.unsent() > 0 {
            let polled = poll!(pin!(conn.flush_part()));
            if let Poll::Ready(sent) = polled {
                sent?;
                continue;
            }
            let is_sending = self.accounts.budget.borrow().is_sending(self.id);
            if conn.unsent() < before || !is_sending {
                self.sending();
            }
            return Ok(false);
        }
        self.accounts.budget.borrow_mut().sent(self.id);
        Ok(true)
    }

    /// Waits until the socket takes a part of the write buffer.
    pub async fn send_part(&self, conn: &mut Conn) -> Result<(), WireError> {
        conn.flush_part().await?;
        self.sending();
        Ok(())
    }

    /// Sets the bytes that the session's message and answer take already.
    pub fn set_held(&self, bytes: u64) {
        let now = self.accounts.host.now();
        let evicted = self.accounts.budget.borrow_mut().set_held(now, self.id, bytes);
        self.accounts.close(evicted);
    }

    /// Sets the bytes of the session's prepared statements and values; `false` if it may not hold
    /// that many.
    pub fn store(&self, bytes: u64) -> bool {
        let stored = self.accounts.budget.borrow_mut().store(self.id, bytes);
        if !stored {
            self.store_refusals.set(self.store_refusals.get().saturating_add(1));
            self.log_refused(Reason::Stored, bytes);
        }
        stored
    }

    /// Whether the session has been refused by [`Account::store`] so often that it is to be closed.
    pub fn exceeds_store_refusals(&self) -> bool {
        self.store_refusals.get() > MAX_STORE_REFUSALS
    }

    /// Sends the contents of the write buffer to the caller. While the socket does not take them,
    /// the time limit for unread answers applies.
    pub async fn send(&self, conn: &mut Conn) -> Result<(), WireError> {
        let mut waited = false;
        loop {
            let mut part = pin!(conn.flush_part());
            let sent = match poll!(part.as_mut()) {
                Poll::Ready(sent) => sent?,
                Poll::Pending => {
                    self.sending();
                    waited = true;
                    part.await?
                }
            };
            if sent {
                break;
            }
            self.sending();
            waited = true;
        }
        if waited {
            self.accounts.budget.borrow_mut().sent(self.id);
        }
        Ok(())
    }

    /// Counts that the caller is refused or closed, and logs it once for each reason.
    pub fn log_refused(&self, reason: Reason, bytes: u64) {
        let bit = 1 << reason as u16;
        if self.logged.get() & bit != 0 {
            self.accounts.host.count_refused(reason);
            return;
        }
        self.logged.set(self.logged.get() | bit);
        let age = self.accounts.host.now().since(self.opened_at);
        self.accounts.log_refused(reason, bytes, age);
    }

    /// Whether the session may log another line about one of its statements.
    pub fn may_log(&self) -> bool {
        self.log_limit.allows(self.accounts.host.now())
    }

    /// Counts a step of the session, and after the last one of its turn lets others run.
    pub async fn end_turn(&self) {
        self.accounts.end_turn().await;
    }

    /// Records that a part of an answer has been sent, or that the first part cannot be sent.
    fn sending(&self) {
        let now = self.accounts.host.now();
        self.accounts.budget.borrow_mut().sending(now, self.id);
    }
}

impl<H: Host> Drop for Account<H> {
    fn drop(&mut self) {
        self.accounts.budget.borrow_mut().close(self.id);
    }
}
