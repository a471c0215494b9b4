use std::{
    cell::{Cell, RefCell},
    hash::BuildHasher,
    rc::Rc,
    time::Duration,
};

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
    session::{cancel_registry::CancelRegistry, directory::Directory},
    tasks::Tasks,
};

/// Retries that all callers of a daemon together may cause in a burst.
const DAEMON_RETRY_BURST: u32 = 200;
/// Bits of a process number that count sessions; the other bits identify the
/// daemon.
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
    pub(crate) stopping: Shared<oneshot::Receiver<()>>,
    pub(crate) open_sessions: Rc<Cell<u32>>,
    pub(crate) links: Rc<RefCell<DaemonPool>>,
    pub(crate) reports: mpsc::UnboundedSender<Report>,
    pub(crate) peer_secret: Rc<str>,
    /// Limits the retries that all callers together cause.
    pub(crate) retry_budget: Rc<RefCell<RetryBudget>>,
    pub(crate) tasks: Tasks,
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
        Context {
            clock,
            timing: settings.timing,
            limits: settings.limits,
            metrics,
            directory: Rc::default(),
            cancel_registry: Rc::default(),
            stopping,
            open_sessions: Rc::default(),
            links: Rc::default(),
            reports,
            peer_secret: Rc::from(settings.peer_secret.as_str()),
            tasks,
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

    /// Returns the process number and secret by which a new session's requests can
    /// be cancelled.
    pub(crate) fn new_session_key(&self) -> (i32, i32) {
        let pid = self.next_pid.get();
        let next = (pid & !PID_SESSION_MASK) | ((pid + 1) & PID_SESSION_MASK);
        self.next_pid.set(next);
        let secret = self.rng.borrow_mut().next_u32() as i32;
        (pid, secret)
    }
}

/// Returns the first process number of a daemon. The upper bits come from a hash
/// of the VM's name, so that daemons use different ranges and a cancel request
/// that reaches another daemon can be passed on to the right one.
fn first_pid(vm: &VmId) -> i32 {
    let hash = rustc_hash::FxBuildHasher.hash_one(vm.as_str());
    ((hash as i32) & 0x7ff) << 20 | 1
}
