use std::{
    cell::{Cell, RefCell},
    hash::BuildHasher,
    rc::Rc,
    time::Duration,
};

use accounts::Accounts;
use admission::RetryBudget;
use base::{RequestId, VmId};
use futures_channel::{mpsc, oneshot};
use futures_util::future::Shared;
use rand::{Rng, RngCore, SeedableRng};

use crate::{
    clock::Clock,
    group::DaemonPool,
    metrics::Metrics,
    orders::Report,
    session::{
        account::{self, CallerAccounts, CallerHost},
        cancel_registry::CancelRegistry,
        directory::Directory,
    },
    tasks::Tasks,
};

/// Retries that all callers of a daemon together may cause in a burst.
const DAEMON_RETRY_BURST: u32 = 200;
/// Bits of a process ID that number the sessions of a daemon; the higher bits come from a
/// hash of the VM's name.
const PID_SESSION_MASK: i32 = 0xf_ffff;

/// State that all sessions of a daemon share.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) clock: Clock,
    pub(crate) timing: settings::Timing,
    pub(crate) limits: settings::Limits,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) directory: Rc<RefCell<Directory>>,
    pub(crate) cancel_registry: Rc<RefCell<CancelRegistry>>,
    /// Resolves when new sessions are no longer accepted and idle ones are to be closed.
    pub(crate) stopping: Shared<oneshot::Receiver<()>>,
    /// Number of open sessions, of callers and of daemons that forward requests.
    pub(crate) open_sessions: Rc<Cell<u32>>,
    /// Idle connections to other daemons, for forwarded requests.
    pub(crate) daemon_pool: Rc<RefCell<DaemonPool>>,
    /// Messages to the control thread.
    pub(crate) reports: mpsc::UnboundedSender<Report>,
    pub(crate) peer_secret: Rc<str>,
    /// Limits the retries that all callers together cause.
    pub(crate) retry_budget: Rc<RefCell<RetryBudget>>,
    pub(crate) tasks: Tasks,
    /// What the sessions hold.
    pub(crate) accounts: Rc<CallerAccounts>,
    next_request: Rc<Cell<u64>>,
    next_pid: Rc<Cell<i32>>,
    rng: Rc<RefCell<rand_chacha::ChaCha12Rng>>,
}

impl Context {
    pub(crate) fn new(
        settings: &settings::Settings,
        clock: Clock,
        metrics: Rc<Metrics>,
        stopping: Shared<oneshot::Receiver<()>>,
        reports: mpsc::UnboundedSender<Report>,
        tasks: Tasks,
    ) -> Context {
        let host = CallerHost { clock, metrics: Rc::clone(&metrics) };
        let accounts = Accounts::new(host, account::limits(&settings.limits));
        Context {
            clock,
            timing: settings.timing,
            limits: settings.limits,
            metrics,
            directory: Rc::default(),
            cancel_registry: Rc::default(),
            stopping,
            open_sessions: Rc::default(),
            daemon_pool: Rc::default(),
            reports,
            peer_secret: Rc::from(settings.peer_secret.as_str()),
            tasks,
            accounts,
            retry_budget: Rc::new(RefCell::new(RetryBudget::new(DAEMON_RETRY_BURST))),
            next_request: Rc::default(),
            next_pid: Rc::new(Cell::new(first_pid(&settings.vm))),
            rng: Rc::new(RefCell::new(rand_chacha::ChaCha12Rng::from_os_rng())),
        }
    }

    /// Returns a random duration between half of `pause` and `pause`.
    pub(crate) fn jitter(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.borrow_mut().random_range(0.5..1.0))
    }

    pub(crate) fn next_request_id(&self) -> RequestId {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        RequestId::new(number)
    }

    /// Returns the process ID and secret key by which a new session's requests can be
    /// cancelled.
    pub(crate) fn new_cancel_key(&self) -> (i32, i32) {
        let pid = self.next_pid.get();
        let next = (pid & !PID_SESSION_MASK) | ((pid + 1) & PID_SESSION_MASK);
        self.next_pid.set(next);
        let secret = self.rng.borrow_mut().next_u32() as i32;
        (pid, secret)
    }
}

/// Returns the first process ID of a daemon. The upper bits are a hash of the VM's name, so
/// that daemons normally use different ranges. A daemon that does not know the session of a
/// cancel request asks all other daemons that are alive.
fn first_pid(vm: &VmId) -> i32 {
    let hash = rustc_hash::FxBuildHasher.hash_one(vm.as_str());
    ((hash as i32) & 0x7ff) << 20 | 1
}
