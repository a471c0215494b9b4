use std::{
    cell::{Cell, RefCell},
    future::{self, Future},
    pin::pin,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use base::Span;
use budget::{Budget, Eviction, Limits, Reason};
use futures_util::future::{AbortHandle, AbortRegistration};
use monoio::time;

use crate::{account::Account, host::Host};

/// Interval at which time limits of unfinished messages and answers are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Messages, and reads of 16 KiB, that a session makes before the others run. An ordinary caller
/// sends one message and waits for its answer. With 4, eight callers that pipelined statements
/// which fail at once took a tenth of the others' requests past a target of 200 ms.
const TURN_STEPS: u32 = 2;

/// The accounts of all callers' sessions of a data thread.
#[derive(Debug)]
pub struct Accounts<H> {
    pub(crate) host: H,
    pub(crate) budget: RefCell<Budget<AbortHandle>>,
    /// Steps that the session that runs at present may still make in its turn.
    turn: Cell<u32>,
}

impl<H: Host> Accounts<H> {
    /// Creates the accounts of a daemon without sessions.
    pub fn new(host: H, limits: Limits) -> Rc<Accounts<H>> {
        let budget = RefCell::new(Budget::new(limits));
        Rc::new(Accounts { host, budget, turn: Cell::new(0) })
    }

    /// Admits a session that uses this number of descriptors; `None` if that exceeds the limits.
    /// The session's future must be abortable with the registration.
    pub fn open(self: &Rc<Self>, descriptors: u64) -> Option<(Account<H>, AbortRegistration)> {
        let (handle, registration) = AbortHandle::new_pair();
        let now = self.host.now();
        let opened = self.budget.borrow_mut().open(now, descriptors, handle);
        let Ok((id, evicted)) = opened else {
            self.log_refused(Reason::Sessions, 0, Span::ZERO);
            return None;
        };
        self.close(evicted);
        Some((Account::new(Rc::clone(self), id, now), registration))
    }

    /// Closes the sessions that exceed a time limit, or whose memory others need, until the task
    /// is cancelled.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            let evicted = self.budget.borrow_mut().sweep(self.host.now());
            self.close(evicted);
        }
    }

    /// Runs a session in turns: whenever it runs, [`Accounts::end_turn`] lets it make some steps
    /// before the others. The runtime has no such limit, and a session that always finds something
    /// to do would stop all others.
    pub async fn in_turns<F: Future>(&self, session: F) -> F::Output {
        let mut session = pin!(session);
        future::poll_fn(|task| {
            self.turn.set(TURN_STEPS);
            session.as_mut().poll(task)
        })
        .await
    }

    /// Counts a step of the session that runs, and after the last one of its turn lets others run.
    pub async fn end_turn(&self) {
        match self.turn.get() {
            0 => yield_now().await,
            left => self.turn.set(left - 1),
        }
    }

    pub(crate) fn close(&self, evicted: Vec<Eviction<AbortHandle>>) {
        for eviction in evicted {
            self.log_refused(eviction.reason, eviction.bytes, eviction.age);
            eviction.handle.abort();
        }
    }

    pub(crate) fn log_refused(&self, reason: Reason, bytes: u64, age: Span) {
        self.host.count_refused(reason);
        logs::event(
            "client refused",
            &serde_json::json!({"reason": reason.as_str(), "bytes": bytes,
                "age_ms": age.as_millis()}),
        );
    }
}

/// Lets the other tasks run before the present one goes on.
pub async fn yield_now() {
    let mut yielded = false;
    future::poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
