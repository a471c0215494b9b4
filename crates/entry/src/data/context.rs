use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use adapter::{Config, Route};
use admission::RetryBudget;
use base::FastMap;
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, future::Shared as SharedFuture};

use crate::{
    control::Event,
    data::{group::Group, names::Names},
    shared::Shared,
};

/// Retries that the daemon may send at once; further ones are earned by requests.
const RETRY_BURST: u32 = 30;

/// What the sessions of a daemon share.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) vm: String,
    pub(crate) shared: Arc<Shared>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) config: RefCell<Option<Arc<Config>>>,
    pub(crate) groups: RefCell<FastMap<String, Rc<Group>>>,
    pub(crate) names: RefCell<Names>,
    pub(crate) retries: RefCell<RetryBudget>,
    pub(crate) sessions: Cell<usize>,
    /// Done when no session is accepted any more.
    pub(crate) accepting_ends: SharedFuture<oneshot::Receiver<()>>,
    /// Done when sessions without a transaction should end.
    pub(crate) sessions_end: SharedFuture<oneshot::Receiver<()>>,
    /// Done when transactions should end too.
    pub(crate) all_end: SharedFuture<oneshot::Receiver<()>>,
    /// Whether sessions end after their next answer, quiet or not.
    pub(crate) last_answers: Cell<bool>,
    /// Whether this daemon carries sessions to members itself.
    pub(crate) carries: Cell<bool>,
    /// Carriers to choose from otherwise, by the address of their sessions.
    pub(crate) choices: RefCell<Vec<SocketAddr>>,
    /// Whether idle sessions should go to other daemons.
    pub(crate) evacuate: Cell<bool>,
    last_number: Cell<u64>,
}

/// Senders that tell sessions to end, by being dropped.
#[derive(Debug)]
pub(crate) struct Ends {
    pub(crate) accepting: oneshot::Sender<()>,
    pub(crate) sessions: oneshot::Sender<()>,
    pub(crate) all: oneshot::Sender<()>,
}

impl Context {
    pub(crate) fn new(
        vm: String,
        shared: Arc<Shared>,
        events: mpsc::UnboundedSender<Event>,
    ) -> (Context, Ends) {
        let (accepting, accepting_ends) = oneshot::channel();
        let (sessions, sessions_end) = oneshot::channel();
        let (all, all_end) = oneshot::channel();
        let cx = Context {
            vm,
            shared,
            events,
            config: RefCell::default(),
            groups: RefCell::default(),
            names: RefCell::default(),
            retries: RefCell::new(RetryBudget::new(RETRY_BURST)),
            sessions: Cell::new(0),
            accepting_ends: accepting_ends.shared(),
            sessions_end: sessions_end.shared(),
            all_end: all_end.shared(),
            last_answers: Cell::new(false),
            carries: Cell::new(false),
            choices: RefCell::default(),
            evacuate: Cell::new(false),
            last_number: Cell::new(0),
        };
        (cx, Ends { accepting, sessions, all })
    }

    /// A number that nothing else in this run has.
    pub(crate) fn number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Whether a carrier still answers.
    pub(crate) fn is_choice(&self, sessions: SocketAddr) -> bool {
        self.choices.borrow().contains(&sessions)
    }

    /// Whether sessions can be served, here or through a carrier.
    pub(crate) fn can_serve(&self) -> bool {
        if self.carries.get() {
            self.config.borrow().is_some()
        } else {
            !self.choices.borrow().is_empty()
        }
    }

    /// How requests for a database are served, with the configuration's version.
    pub(crate) fn route(&self, database: &str) -> Option<(Route, u64)> {
        let config = self.config.borrow();
        let config = config.as_ref()?;
        let route = config.routes.iter().find(|route| route.database == database)?;
        Some((route.clone(), config.version))
    }

    /// The pool of a group.
    pub(crate) fn group(self: &Rc<Context>, name: &str) -> Rc<Group> {
        if let Some(group) = self.groups.borrow().get(name) {
            return Rc::clone(group);
        }
        let group = Group::new(Rc::clone(self), name);
        self.groups.borrow_mut().insert(name.to_owned(), Rc::clone(&group));
        group
    }

    /// How long a transaction may rest between two statements.
    pub(crate) fn transaction_idle(&self) -> Option<Duration> {
        let config = self.config.borrow();
        let idle = config.as_ref()?.idle_in_transaction_timeout?;
        Some(Duration::from_micros(idle.as_micros()))
    }
}
