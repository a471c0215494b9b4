use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use adapter::Code;
use base::{FastMap, MemberId, OrganisationId, Position, Span, Time};
use futures_channel::oneshot;
use pool::{Action, MemberSpec, Pool, Request, Requirement, Shares};
use quota::OrganisationKey;
use shedding::RankWaits;
use succession::PrimaryHealth;
use table::RowKey;

use crate::{
    clock,
    control::Event,
    data::{
        conn_lease::ConnLease,
        context::Context,
        member_conn::{MemberConn, MemberError},
        organisation_conn::OrganisationConn,
    },
    messages::{PLANNED_DRAIN_TIMEOUT, Report},
    shared::Counter,
    start_up::StartStep,
};

/// Maximum age of the primary's last answer at which it is reported as healthy.
const GOOD_ANSWER_MAX_AGE: Span = Span::from_millis(1_000);
/// Time without an answer from which the primary is reported as silent.
const SILENT_AFTER: Span = Span::from_millis(300);

/// Interval at which the expected waits are recorded: below that of heartbeats.
const WAITS_INTERVAL: Span = Span::from_millis(100);

/// The connection pool of one group, with the connections themselves.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) name: String,
    pub(crate) cx: Rc<Context>,
    state: RefCell<State>,
    /// Incremented whenever the primary changes or a failover starts.
    epoch: Cell<u64>,
    /// Running statements and open transactions on the primary.
    primary_users: Cell<u32>,
}

#[derive(Debug, Default)]
struct State {
    pool: Pool,
    /// The primary; `None` during a failover.
    lead: Option<MemberId>,
    idle: FastMap<u64, Box<MemberConn>>,
    addrs: FastMap<MemberId, SocketAddr>,
    waiting: FastMap<u64, oneshot::Sender<PoolReply>>,
    /// When the expected waits were last recorded for the other daemons.
    waits_recorded_at: Time,
    /// Load that was last reported to the control thread.
    reported_load: u32,
    /// A planned failover that waits for transactions to end: the version of the order, and
    /// the time until which it waits.
    stopping: Option<(u64, Time)>,
}

/// A daemon's view of a group, for the log.
#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct GroupStatus {
    name: String,
    /// `None` during a failover.
    primary: Option<MemberId>,
    epoch: u64,
    /// Time until the grant to use the primary expires.
    grant_left_ms: u64,
    /// Time for which the primary has left requests unanswered; `None` without a primary.
    primary_silent_ms: Option<u64>,
    /// Requests that wait for a connection.
    waiting: usize,
    /// Statements that are running on members.
    running: u32,
}

/// The pool's reply to a request for a connection.
#[derive(Debug)]
pub(crate) enum PoolReply {
    /// The connection to run the request on.
    Conn(ConnLease),
    /// The request is refused, for this reason.
    Refused(&'static str),
}

impl Group {
    pub(crate) fn new(cx: Rc<Context>, name: &str) -> Rc<Group> {
        Rc::new(Group {
            name: name.to_owned(),
            cx,
            state: RefCell::default(),
            epoch: Cell::new(0),
            primary_users: Cell::new(0),
        })
    }

    pub(crate) fn set_members(self: &Rc<Group>, members: Vec<(MemberSpec, SocketAddr)>) {
        let mut out = Vec::new();
        let mut state = self.state.borrow_mut();
        state.addrs = members.iter().map(|(spec, addr)| (spec.id.clone(), *addr)).collect();
        let specs: Vec<_> = members.into_iter().map(|(spec, _)| spec).collect();
        state.pool.set_members(&specs, &mut out);
        drop(state);
        self.run_actions(out);
        self.advance();
    }

    pub(crate) fn set_shares(self: &Rc<Group>, shares: Shares) {
        self.state.borrow_mut().pool.set_shares(shares);
        self.advance();
    }

    /// Sets the primary; `None` during a failover. Reports [`Report::Applied`] when no
    /// earlier primary is in use any more; a planned failover waits up to [`PLANNED_STOP`]
    /// for that.
    pub(crate) fn set_primary(
        self: &Rc<Group>,
        lead: Option<MemberId>,
        planned: bool,
        version: u64,
    ) {
        let wait = planned && lead.is_none() && self.primary_users.get() > 0;
        self.state.borrow_mut().lead.clone_from(&lead);
        self.state.borrow_mut().stopping = None;
        if wait {
            let until = clock::now() + PLANNED_DRAIN_TIMEOUT;
            self.state.borrow_mut().stopping = Some((version, until));
        } else {
            self.epoch.set(self.epoch.get() + 1);
            self.report(Report::Applied { group: self.name.clone(), version });
        }
        self.advance();
    }

    /// Handles what is due with time: the end of a planned stop, timeouts and reports.
    pub(crate) fn tick(self: &Rc<Group>) {
        self.finish_planned_stop();
        self.advance();
        self.report_primary_health();
        if self.cx.has_organisations() {
            self.report_load();
            self.record_waits();
        }
    }

    /// Requests a connection. A caller that drops the receiver must call
    /// [`Group::cancel`].
    pub(crate) fn acquire(self: &Rc<Group>, request: Request) -> oneshot::Receiver<PoolReply> {
        let (tx, rx) = oneshot::channel();
        let req = request.req;
        let enqueued = {
            let mut state = self.state.borrow_mut();
            self.refresh_primary(&mut state);
            state.pool.enqueue(clock::now(), request)
        };
        match enqueued {
            Ok(()) => {
                self.state.borrow_mut().waiting.insert(req, tx);
                self.advance();
            }
            Err(reason) => {
                let _ = tx.send(PoolReply::Refused(reason));
            }
        }
        rx
    }

    /// Removes a request whose caller has disconnected.
    pub(crate) fn cancel(&self, req: u64) {
        let mut state = self.state.borrow_mut();
        state.pool.cancel(req);
        state.waiting.remove(&req);
    }

    /// How long a request that arrives now is expected to wait for a connection; `None` if that is
    /// not known.
    pub(super) fn expected_wait(
        &self,
        requirement: Requirement,
        organisation: OrganisationId,
        key: &RowKey,
    ) -> Option<Span> {
        self.state.borrow().pool.expected_wait(clock::now(), requirement, organisation, key)
    }

    /// Refuses all requests that wait for a connection, because the process ends.
    pub(crate) fn refuse_waiting(&self) {
        let mut state = self.state.borrow_mut();
        // Their sessions notice that the reply will not come, and answer that nothing was run.
        for (req, _) in std::mem::take(&mut state.waiting) {
            state.pool.cancel(req);
        }
    }

    /// Position that covers every commit older than `age`; `None` if it is unknown.
    pub(crate) fn position_covering(&self, age: Span) -> Option<Position> {
        self.state.borrow().pool.position_covering(clock::now(), age)
    }

    /// Whether the primary of `epoch` is still current and this daemon's grant is valid. Epochs of
    /// different groups cannot be compared, so only a connection's own lease asks.
    pub(super) fn may_use_primary(&self, epoch: u64) -> bool {
        self.epoch.get() == epoch && clock::now() < self.cx.shared.grant_expiry()
    }

    /// This daemon's view of the group, for the log.
    pub(crate) fn status(&self) -> GroupStatus {
        let state = self.state.borrow();
        let now = clock::now();
        let primary = state.lead.clone();
        let silence =
            primary.as_ref().map(|primary| state.pool.unanswered_for(now, primary).as_millis());
        let (waiting, running) = state.pool.load();
        GroupStatus {
            name: self.name.clone(),
            primary,
            epoch: self.epoch.get(),
            grant_left_ms: self.cx.shared.grant_expiry().since(now).as_millis(),
            primary_silent_ms: silence,
            waiting,
            running,
        }
    }

    /// Whether a primary is known, but this daemon's grant to use it has expired.
    pub(crate) fn lacks_grant(&self) -> bool {
        self.state.borrow().lead.is_some() && clock::now() >= self.cx.shared.grant_expiry()
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Whether a member is the primary as far as this daemon knows.
    pub(crate) fn is_primary(&self, member: &MemberId) -> bool {
        self.state.borrow().lead.as_ref() == Some(member)
    }

    pub(crate) fn add_primary_user(&self) {
        self.primary_users.set(self.primary_users.get() + 1);
    }

    pub(crate) fn remove_primary_user(self: &Rc<Group>) {
        self.primary_users.set(self.primary_users.get() - 1);
        self.finish_planned_stop();
    }

    /// Updates the pool and runs the resulting actions.
    pub(crate) fn with_pool<T>(self: &Rc<Group>, change: impl FnOnce(&mut Pool) -> T) -> T {
        let value = change(&mut self.state.borrow_mut().pool);
        self.advance();
        value
    }

    /// Forgets a started request whose end has not been reported and will not be.
    pub(crate) fn abandon(&self, req: u64) {
        self.state.borrow_mut().pool.abandon(req);
    }

    /// Returns a reusable connection to the pool.
    pub(crate) fn release(self: &Rc<Group>, member: &MemberId, conn: Box<MemberConn>) {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let number = conn.number;
            state.idle.insert(number, conn);
            state.pool.idle(clock::now(), member, number, &mut out);
        }
        self.run_actions(out);
        self.advance();
    }

    fn finish_planned_stop(self: &Rc<Group>) {
        let Some((version, until)) = self.state.borrow().stopping else { return };
        if self.primary_users.get() > 0 && clock::now() < until {
            return;
        }
        self.state.borrow_mut().stopping = None;
        self.epoch.set(self.epoch.get() + 1);
        self.report(Report::Applied { group: self.name.clone(), version });
    }

    fn refresh_primary(&self, state: &mut State) {
        let lead = state.lead.clone();
        if self.cx.has_organisations() {
            state.pool.enable_organisations();
        }
        state.pool.set_lead(lead, self.cx.shared.grant_expiry());
    }

    fn advance(self: &Rc<Group>) {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            self.refresh_primary(&mut state);
            state.pool.advance(clock::now(), &mut out);
        }
        self.run_actions(out);
    }

    fn run_actions(self: &Rc<Group>, actions: Vec<Action>) {
        let mut actions = actions.into_iter().peekable();
        while let Some(action) = actions.next() {
            match action {
                Action::Start { req, member, conn } => self.start(req, member, conn),
                Action::Refuse { req, reason } => {
                    if let Some(tx) = self.state.borrow_mut().waiting.remove(&req) {
                        let _ = tx.send(PoolReply::Refused(reason));
                    }
                }
                Action::Open { member, organisation } => {
                    monoio::spawn(Rc::clone(self).open(member, organisation));
                }
                Action::Close { conn } => {
                    let closed = self.state.borrow_mut().idle.remove(&conn);
                    // The pool evicts a connection right before it opens one for an organisation in
                    // its place; it closes connections for other reasons without that.
                    let is_evicted = matches!(actions.peek(),
                        Some(Action::Open { organisation, .. }) if !organisation.is_shared());
                    if is_evicted
                        && let Some(conn) = closed.as_ref().and_then(|it| it.organisation.as_ref())
                    {
                        conn.count_eviction();
                    }
                }
            }
        }
    }

    fn start(self: &Rc<Group>, req: u64, member: MemberId, conn: u64) {
        let (tx, conn) = {
            let mut state = self.state.borrow_mut();
            (state.waiting.remove(&req), state.idle.remove(&conn))
        };
        let lease = ConnLease::new(Rc::clone(self), req, member, conn);
        let undelivered = match tx {
            Some(tx) => tx.send(PoolReply::Conn(lease)).err(),
            None => Some(PoolReply::Conn(lease)),
        };
        // The caller has disconnected in the meantime.
        if let Some(PoolReply::Conn(lease)) = undelivered {
            lease.release();
        }
    }

    async fn open(self: Rc<Group>, member: MemberId, organisation: OrganisationId) {
        let addr = self.state.borrow().addrs.get(&member).copied();
        let number = self.cx.number();
        let client = self.cx.client_name(organisation);
        let opened = match (addr, &client) {
            (Some(addr), Some(client)) => {
                self.cx.shared.count(Counter::MemberConnections);
                MemberConn::open(number, addr, &self.name, client, &member).await
            }
            _ => Err(MemberError::Silent),
        };
        match opened {
            Ok((mut conn, position)) => {
                self.cx.shared.record_start_step(StartStep::Connection);
                conn.organisation = client
                    .filter(|_| !organisation.is_shared())
                    .map(|name| OrganisationConn::new(Arc::clone(&self.cx.shared), name));
                let mut state = self.state.borrow_mut();
                state.idle.insert(number, Box::new(conn));
                if !state.pool.opened(clock::now(), &member, number, organisation) {
                    state.idle.remove(&number);
                }
                if let Some(position) = position {
                    state.pool.record_position(&member, position, None);
                }
            }
            Err(error) => {
                logs::event(
                    "member connection refused",
                    &serde_json::json!({"group": self.name, "member": member,
                        "organisation": client.filter(|_| !organisation.is_shared()).as_deref(),
                        "reason": error.to_string()}),
                );
                // An error code shows that a server is listening at the address.
                let not_listening = matches!(error, MemberError::Broken { .. });
                let full =
                    matches!(error, MemberError::Refused { code: Code::TooMany | Code::Busy, .. });
                let mut state = self.state.borrow_mut();
                if full {
                    state.pool.full(clock::now(), &member, organisation);
                } else {
                    state.pool.open_failed(clock::now(), &member, organisation, not_listening);
                }
            }
        }
        self.advance();
    }

    /// Reports the primary's health, on which the failover coordinator decides.
    fn report_primary_health(&self) {
        let state = self.state.borrow();
        let Some(primary) = state.lead.clone() else { return };
        let now = clock::now();
        // Answers that arrived during a standstill may not have been read yet.
        let running_for = self.cx.standstill.get().running_for(now);
        let silence = state.pool.unanswered_for(now, &primary).min(running_for);
        let health = if state.pool.refuses_connections(&primary) {
            PrimaryHealth::Refused
        } else if silence >= SILENT_AFTER {
            PrimaryHealth::Silent(silence)
        } else if state.pool.answered_within(now, &primary, GOOD_ANSWER_MAX_AGE) {
            PrimaryHealth::Good
        } else {
            return;
        };
        drop(state);
        self.report(Report::PrimaryHealth { group: self.name.clone(), primary, health });
    }

    /// Reports the number of requests that wait or run if it has changed.
    fn report_load(&self) {
        let load = {
            let mut state = self.state.borrow_mut();
            let (waiting, running) = state.pool.load();
            let load = waiting as u32 + running;
            if std::mem::replace(&mut state.reported_load, load) == load {
                return;
            }
            load
        };
        self.report(Report::Load { group: self.name.clone(), load });
    }

    /// Records how long requests are expected to wait, for the daemons that relay them here.
    fn record_waits(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if now.since(state.waits_recorded_at) < WAITS_INTERVAL {
            return;
        }
        state.waits_recorded_at = now;
        let mut by_organisation: FastMap<OrganisationKey, RankWaits> = FastMap::default();
        for (organisation, rank, lane, wait) in state.pool.expected_ends() {
            let Some(name) = self.cx.client_name(organisation) else { continue };
            let waits = by_organisation.entry(OrganisationKey::new(&name)).or_default();
            let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            waits[lane.index()][rank.index()] = wait_ms;
        }
        let waits = by_organisation.into_iter().collect();
        self.cx.shared.outgoing_load().set_waits(now, &self.name, waits);
    }

    fn report(&self, report: Report) {
        // Fails only during shutdown, when the control thread is gone.
        let _ = self.cx.events.unbounded_send(Event::Data(report));
    }
}

/// The requirement for a request; without a position, only the primary can serve it.
pub(crate) fn requirement_for(required: Option<Position>) -> Requirement {
    required.map_or(Requirement::Primary, Requirement::AtLeast)
}
