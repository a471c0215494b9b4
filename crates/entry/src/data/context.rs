use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use accounts::Accounts;
use adapter::{Config, QuotaBounds, Route};
use admission::RetryBudget;
use base::{FastMap, FastSet, OrganisationId, Span, Time};
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, future::Shared as SharedFuture};
use organisations::{ApiKey, Lookup, Organisation};
use quota::OrganisationKey;
use shedding::EntryShedding;

use crate::{
    clock,
    control::Event,
    data::{
        account::{CallerAccounts, CallerHost},
        carrier_orders::CarrierOrders,
        group::Group,
        names::StatementNumbers,
        organisation_ids::OrganisationIds,
    },
    messages::CarrierChoice,
    shared::Shared,
    standstill::StandstillDetector,
};

/// Age up to which the configuration can show that a database does not exist: a fraction of the
/// few seconds within which an accepted configuration must be in force.
const DENIAL_MAX_AGE: Span = Span::from_millis(1_000);
/// Retries that may be sent in a burst; each request adds a fraction of a retry to the
/// budget.
const RETRY_BURST: u32 = 30;

/// Number of revoked keys that are remembered. Without it, denying one of them costs a question to the
/// store.
const MAX_REVOKED_KEYS: usize = 10_000;

/// State shared by all sessions of the daemon.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) vm: String,
    pub(crate) shared: Arc<Shared>,
    /// Messages to the control thread.
    pub(crate) events: mpsc::UnboundedSender<Event>,
    /// The configuration in its latest version; `None` before the first one.
    pub(crate) config: RefCell<Option<Arc<Config>>>,
    /// The connection pools, by the name of the group.
    pub(crate) groups: RefCell<FastMap<String, Rc<Group>>>,
    /// Numbers of the prepared statements, for their names on connections to members.
    pub(crate) names: RefCell<StatementNumbers>,
    /// Identifiers of the organisations that callers belong to.
    pub(crate) organisations: RefCell<OrganisationIds>,
    /// Limits the retries of reads that members did not answer in time.
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// Number of open sessions.
    pub(crate) sessions: Cell<usize>,
    /// Resolves when new sessions are no longer accepted.
    pub(crate) stop_accepting: SharedFuture<oneshot::Receiver<()>>,
    /// Resolves when sessions without a transaction are to be closed.
    pub(crate) stop_idle_sessions: SharedFuture<oneshot::Receiver<()>>,
    /// Resolves when open transactions are to be rolled back too.
    pub(crate) stop_transactions: SharedFuture<oneshot::Receiver<()>>,
    /// Whether a session without a transaction is closed after its current reply, without
    /// waiting for a pause between its requests.
    pub(crate) close_after_reply: Cell<bool>,
    /// The same for sessions that are relayed: the carriers decide how long their requests wait.
    pub(crate) close_relayed_after_reply: Cell<bool>,
    /// Time by which each request has to be answered, because the process ends; `None` while it is
    /// not stopping.
    pub(crate) answer_by: Cell<Option<Time>>,
    /// Who runs the statements of this daemon's sessions.
    pub(crate) carriers: RefCell<CarrierChoice>,
    /// Loads that carriers have reported.
    pub(super) shedding: RefCell<EntryShedding>,
    /// The carriers of organisations' sessions, as far as they have been determined.
    pub(super) orders: RefCell<CarrierOrders>,
    /// Standstills of the data thread.
    pub(crate) standstill: Cell<StandstillDetector>,
    /// Whether idle sessions are closed so that callers reconnect to other daemons.
    pub(crate) evacuate: Cell<bool>,
    /// Whether and how strictly callers' API keys are checked, as the settings say.
    pub(crate) keys: KeyPolicy,
    /// How the limits of organisations are measured.
    pub(crate) quota: QuotaBounds,
    /// Keys that a configuration has taken away.
    pub(crate) revoked_keys: RefCell<FastSet<ApiKey>>,
    /// Number of operations of each organisation that wait for a token.
    pub(crate) token_waiters: RefCell<FastMap<OrganisationKey, u32>>,
    /// What the sessions hold.
    pub(crate) accounts: Rc<CallerAccounts>,
    last_id: Cell<u64>,
}

/// How callers' API keys are checked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyPolicy {
    /// Whether keys are required whatever the configuration says.
    pub(crate) are_required: bool,
    /// How long after its revocation a key may still be used; `None` if that is not limited.
    pub(crate) revocation_limit: Option<Span>,
}

/// Senders that stop the sessions; dropping one resolves the matching future in
/// [`Context`].
#[derive(Debug)]
pub(crate) struct StopSignals {
    pub(crate) accepting: oneshot::Sender<()>,
    pub(crate) sessions: oneshot::Sender<()>,
    pub(crate) transactions: oneshot::Sender<()>,
}

impl Context {
    pub(crate) fn new(
        vm: String,
        shared: Arc<Shared>,
        events: mpsc::UnboundedSender<Event>,
        keys: KeyPolicy,
        quota: QuotaBounds,
        limits: budget::Limits,
    ) -> (Context, StopSignals) {
        let (accepting, stop_accepting) = oneshot::channel();
        let (sessions, stop_idle_sessions) = oneshot::channel();
        let (transactions, stop_transactions) = oneshot::channel();
        let accounts = Accounts::new(CallerHost { shared: Arc::clone(&shared) }, limits);
        let cx = Context {
            vm,
            shared,
            events,
            config: RefCell::default(),
            groups: RefCell::default(),
            names: RefCell::default(),
            organisations: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(RETRY_BURST)),
            sessions: Cell::new(0),
            stop_accepting: stop_accepting.shared(),
            stop_idle_sessions: stop_idle_sessions.shared(),
            stop_transactions: stop_transactions.shared(),
            close_after_reply: Cell::new(false),
            close_relayed_after_reply: Cell::new(false),
            answer_by: Cell::new(None),
            carriers: RefCell::default(),
            shedding: RefCell::default(),
            orders: RefCell::default(),
            standstill: Cell::new(StandstillDetector::new(clock::now())),
            evacuate: Cell::new(false),
            keys,
            quota,
            revoked_keys: RefCell::default(),
            token_waiters: RefCell::default(),
            accounts,
            last_id: Cell::new(0),
        };
        (cx, StopSignals { accepting, sessions, transactions })
    }

    /// A number that no other request or connection of this process has.
    pub(crate) fn number(&self) -> u64 {
        let number = self.last_id.get() + 1;
        self.last_id.set(number);
        number
    }

    /// The identifier under which requests of an organisation are queued.
    pub(crate) fn organisation_id(
        &self,
        organisation: Option<&Arc<Organisation>>,
    ) -> OrganisationId {
        organisation
            .map_or(OrganisationId::SHARED, |it| self.organisations.borrow_mut().id(&it.name))
    }

    /// Whether this daemon runs statements on members itself.
    pub(crate) fn is_carrier(&self) -> bool {
        self.carriers.borrow().is_carrier
    }

    /// Replaces the configuration.
    pub(crate) fn set_config(&self, config: Arc<Config>) {
        self.record_revoked_keys(&config);
        *self.config.borrow_mut() = Some(config);
        self.orders.borrow_mut().clear();
    }

    /// Records the keys that a new configuration takes away.
    fn record_revoked_keys(&self, config: &Config) {
        let previous = self.config.borrow();
        let Some(previous) = previous.as_ref() else { return };
        let is_known = |key: &ApiKey| matches!(config.organisations.lookup(key), Lookup::Found(_));
        let mut revoked = self.revoked_keys.borrow_mut();
        if revoked.len() >= MAX_REVOKED_KEYS {
            revoked.clear();
        }
        revoked.extend(previous.organisations.keys().filter(|key| !is_known(key)).cloned());
    }

    /// Sets who runs the statements of this daemon's sessions.
    pub(crate) fn set_carriers(&self, choice: CarrierChoice) {
        self.shared.set_carrier(choice.is_carrier);
        let is_listed = |sessions| choice.live.contains(&sessions);
        self.shedding.borrow_mut().retain(is_listed);
        *self.carriers.borrow_mut() = choice;
        self.orders.borrow_mut().clear();
    }

    /// Whether the answer of the carrier with this session address is still awaited. A statement
    /// that can be repeated at another carrier is not left with a silent one for long.
    pub(crate) fn awaits_carrier(&self, sessions: SocketAddr, repeatable: bool) -> bool {
        let carriers = self.carriers.borrow();
        let awaited = if repeatable { &carriers.answering } else { &carriers.live };
        awaited.contains(&sessions)
    }

    /// A deadline of a request, or the time by which it has to be answered if that is earlier.
    pub(super) fn deadline(&self, deadline: Time) -> Time {
        self.answer_by.get().map_or(deadline, |at| at.min(deadline))
    }

    /// Whether what has not been answered has to be answered now, because the process ends.
    pub(super) fn must_answer(&self) -> bool {
        self.answer_by.get().is_some_and(|at| clock::now() >= at)
    }

    /// Whether sessions can be served, directly or through a carrier.
    pub(crate) fn can_serve(&self) -> bool {
        if self.is_carrier() {
            self.config.borrow().is_some()
        } else {
            !self.carriers.borrow().preferred.is_empty()
        }
    }

    /// The route of a database and the version of the configuration that it comes from;
    /// `None` if there is no configuration yet or it lacks the database.
    pub(crate) fn route(&self, database: &str) -> Option<(Route, u64)> {
        let config = self.config.borrow();
        let config = config.as_ref()?;
        let route = config.routes.iter().find(|route| route.database == database)?;
        Some((route.clone(), config.version))
    }

    /// Version of the configuration; `None` before the first one.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.config.borrow().as_ref().map(|config| config.version)
    }

    /// Whether callers belong to organisations, by the settings or the configuration.
    pub(crate) fn has_organisations(&self) -> bool {
        let by_config = || self.config.borrow().as_ref().is_some_and(|it| it.requires_keys);
        self.keys.are_required || by_config()
    }

    /// The name under which connections for an organisation are opened to members; `None` if the
    /// organisation is unknown.
    pub(crate) fn client_name(&self, organisation: OrganisationId) -> Option<Rc<str>> {
        if organisation.is_shared() {
            return Some(self.vm.as_str().into());
        }
        self.organisations.borrow().name(organisation)
    }

    /// Whether the configuration is so recent that a database can be denied by it.
    pub(crate) fn is_config_recent(&self) -> bool {
        let confirmed_at = self.shared.config_confirmed_at();
        let is_recent = confirmed_at.is_some_and(|at| clock::now().since(at) < DENIAL_MAX_AGE);
        // What was confirmed may be a version whose order has yet to be applied here.
        is_recent && self.config_version() == Some(self.shared.config_version())
    }

    /// How long ago the configuration was last known to be the newest one, in milliseconds;
    /// `None` if it never was.
    pub(crate) fn config_age_ms(&self) -> Option<u64> {
        let confirmed_at = self.shared.config_confirmed_at()?;
        Some(clock::now().since(confirmed_at).as_millis())
    }

    /// The connection pool of a group, created at the first use.
    pub(crate) fn group(self: &Rc<Context>, name: &str) -> Rc<Group> {
        if let Some(group) = self.groups.borrow().get(name) {
            return Rc::clone(group);
        }
        let group = Group::new(Rc::clone(self), name);
        self.groups.borrow_mut().insert(name.to_owned(), Rc::clone(&group));
        group
    }

    /// Longest pause between two statements of a transaction; `None` if unlimited.
    pub(crate) fn idle_in_transaction_timeout(&self) -> Option<Duration> {
        let config = self.config.borrow();
        let idle = config.as_ref()?.idle_in_transaction_timeout?;
        Some(Duration::from_micros(idle.as_micros()))
    }
}
