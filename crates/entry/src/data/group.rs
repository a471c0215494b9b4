use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use adapter::Code;
use base::{FastMap, MemberId, Position, Span, Time};
use futures_channel::oneshot;
use pool::{Action, MemberSpec, Pool, Request, Requirement, Shares};
use succession::PrimaryHealth;

use crate::{
    clock,
    control::Event,
    data::{
        context::Context,
        lease::Lease,
        member_conn::{MemberConn, MemberError},
    },
    messages::{PLANNED_DRAIN_TIMEOUT, Report},
    shared::Counter,
};

/// How long an answer of the primary counts as a sign that it does well.
const GOOD_FOR: Span = Span::from_millis(1_000);
/// Silence worth telling the others of.
const SILENT_AFTER: Span = Span::from_millis(300);

/// The pool of one group with its sockets.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) name: String,
    pub(crate) cx: Rc<Context>,
    state: RefCell<State>,
    /// Grows whenever the primary changes or a change begins.
    epoch: Cell<u64>,
    /// Statements and transactions that rely on the primary.
    primary_users: Cell<u32>,
}

#[derive(Debug, Default)]
struct State {
    pool: Pool,
    lead: Option<MemberId>,
    idle: FastMap<u64, Box<MemberConn>>,
    addrs: FastMap<MemberId, SocketAddr>,
    waiting: FastMap<u64, oneshot::Sender<Granted>>,
    /// A planned change that waits for transactions to end: its version, and until
    /// when.
    stopping: Option<(u64, Time)>,
}

/// What a daemon believes of a group.
#[derive(Debug)]
#[derive(serde::Serialize)]
pub(crate) struct Belief {
    name: String,
    /// `None` while a change is under way.
    primary: Option<MemberId>,
    epoch: u64,
    /// How much longer the primary may be used without further evidence.
    grant_left_ms: u64,
    /// How long the primary has answered nothing although it was asked.
    primary_silent_ms: Option<u64>,
    /// Requests that wait here, and statements that run.
    waiting: usize,
    running: u32,
}

/// Answer to a request for a connection.
#[derive(Debug)]
pub(crate) enum Granted {
    /// Where it runs.
    Conn(Lease),
    /// It does not run.
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
        self.carry_out(out);
        self.pump();
    }

    pub(crate) fn set_shares(self: &Rc<Group>, shares: Shares) {
        self.state.borrow_mut().pool.set_shares(shares);
        self.pump();
    }

    /// Takes in who is primary. Reports when no older primary is used any more.
    pub(crate) fn set_lead(self: &Rc<Group>, lead: Option<MemberId>, planned: bool, version: u64) {
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
        self.pump();
    }

    /// What happens with time.
    pub(crate) fn tick(self: &Rc<Group>) {
        self.settle_stopping();
        self.pump();
        self.give_opinion();
    }

    /// Asks for a connection. The receiver may be dropped, with [`Group::withdraw`].
    pub(crate) fn acquire(self: &Rc<Group>, request: Request) -> oneshot::Receiver<Granted> {
        let (tx, rx) = oneshot::channel();
        let req = request.req;
        let offered = {
            let mut state = self.state.borrow_mut();
            self.refresh_lead(&mut state);
            state.pool.enqueue(clock::now(), request)
        };
        match offered {
            Ok(()) => {
                self.state.borrow_mut().waiting.insert(req, tx);
                self.pump();
            }
            Err(reason) => {
                let _ = tx.send(Granted::Refused(reason));
            }
        }
        rx
    }

    /// Drops a request whose caller is gone.
    pub(crate) fn withdraw(&self, req: u64) {
        let mut state = self.state.borrow_mut();
        state.pool.cancel(req);
        state.waiting.remove(&req);
    }

    /// Position that holds every commit older than `age`.
    pub(crate) fn covering(&self, age: Span) -> Option<Position> {
        self.state.borrow().pool.position_covering(clock::now(), age)
    }

    /// Whether the primary of `epoch` may still be used.
    pub(crate) fn leads(&self, epoch: u64) -> bool {
        self.epoch.get() == epoch && clock::now() < self.cx.shared.grant_expiry()
    }

    /// What this daemon believes of the group, for the log.
    pub(crate) fn belief(&self) -> Belief {
        let state = self.state.borrow();
        let now = clock::now();
        let primary = state.lead.clone();
        let silence =
            primary.as_ref().map(|primary| state.pool.unanswered_for(now, primary).as_millis());
        let (waiting, running) = state.pool.load();
        Belief {
            name: self.name.clone(),
            primary,
            epoch: self.epoch.get(),
            grant_left_ms: self.cx.shared.grant_expiry().since(now).as_millis(),
            primary_silent_ms: silence,
            waiting,
            running,
        }
    }

    /// Whether a primary is known, but this daemon may not use it at present.
    pub(crate) fn lacks_grant(&self) -> bool {
        self.state.borrow().lead.is_some() && clock::now() >= self.cx.shared.grant_expiry()
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Whether a member is the primary as far as known.
    pub(crate) fn is_lead(&self, member: &MemberId) -> bool {
        self.state.borrow().lead.as_ref() == Some(member)
    }

    pub(crate) fn enter_primary(&self) {
        self.primary_users.set(self.primary_users.get() + 1);
    }

    pub(crate) fn leave_primary(self: &Rc<Group>) {
        self.primary_users.set(self.primary_users.get() - 1);
        self.settle_stopping();
    }

    /// Changes the pool and carries out what follows.
    pub(crate) fn with_pool<T>(self: &Rc<Group>, change: impl FnOnce(&mut Pool) -> T) -> T {
        let value = change(&mut self.state.borrow_mut().pool);
        self.pump();
        value
    }

    /// Puts a connection back that can be used again.
    pub(crate) fn give_back(self: &Rc<Group>, member: &MemberId, conn: Box<MemberConn>) {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let number = conn.number;
            state.idle.insert(number, conn);
            state.pool.idle(clock::now(), member, number, &mut out);
        }
        self.carry_out(out);
        self.pump();
    }

    fn settle_stopping(self: &Rc<Group>) {
        let Some((version, until)) = self.state.borrow().stopping else { return };
        if self.primary_users.get() > 0 && clock::now() < until {
            return;
        }
        self.state.borrow_mut().stopping = None;
        self.epoch.set(self.epoch.get() + 1);
        self.report(Report::Applied { group: self.name.clone(), version });
    }

    fn refresh_lead(&self, state: &mut State) {
        let lead = state.lead.clone();
        state.pool.set_lead(lead, self.cx.shared.grant_expiry());
    }

    fn pump(self: &Rc<Group>) {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            self.refresh_lead(&mut state);
            state.pool.advance(clock::now(), &mut out);
        }
        self.carry_out(out);
    }

    fn carry_out(self: &Rc<Group>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { req, member, conn } => self.start(req, member, conn),
                Action::Refuse { req, reason } => {
                    if let Some(tx) = self.state.borrow_mut().waiting.remove(&req) {
                        let _ = tx.send(Granted::Refused(reason));
                    }
                }
                Action::Open { member } => {
                    monoio::spawn(Rc::clone(self).open(member));
                }
                Action::Close { conn } => {
                    self.state.borrow_mut().idle.remove(&conn);
                }
            }
        }
    }

    fn start(self: &Rc<Group>, req: u64, member: MemberId, conn: u64) {
        let (tx, conn) = {
            let mut state = self.state.borrow_mut();
            (state.waiting.remove(&req), state.idle.remove(&conn))
        };
        let lease = Lease::new(Rc::clone(self), req, member, conn);
        let unwanted = match tx {
            Some(tx) => tx.send(Granted::Conn(lease)).err(),
            None => Some(Granted::Conn(lease)),
        };
        // The caller left in the meantime.
        if let Some(Granted::Conn(lease)) = unwanted {
            lease.give_back();
        }
    }

    async fn open(self: Rc<Group>, member: MemberId) {
        let addr = self.state.borrow().addrs.get(&member).copied();
        let number = self.cx.number();
        let opened = match addr {
            Some(addr) => {
                self.cx.shared.count(Counter::MemberConnections);
                MemberConn::open(number, addr, &self.name, &self.cx.vm, &member).await
            }
            None => Err(MemberError::Silent),
        };
        match opened {
            Ok((conn, position)) => {
                let mut state = self.state.borrow_mut();
                state.idle.insert(number, Box::new(conn));
                if !state.pool.opened(clock::now(), &member, number) {
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
                        "reason": error.to_string()}),
                );
                // A refusal with a code shows that somebody listens there.
                let nobody = matches!(error, MemberError::Broken { .. });
                let full =
                    matches!(error, MemberError::Refused { code: Code::TooMany | Code::Busy, .. });
                let mut state = self.state.borrow_mut();
                if full {
                    state.pool.full(clock::now(), &member);
                } else {
                    state.pool.open_failed(clock::now(), &member, nobody);
                }
            }
        }
        self.pump();
    }

    /// Tells how the primary does, for those who may have to replace it.
    fn give_opinion(&self) {
        let state = self.state.borrow();
        let Some(primary) = state.lead.clone() else { return };
        let now = clock::now();
        let silence = state.pool.unanswered_for(now, &primary);
        let health = if state.pool.refuses_connections(&primary) {
            PrimaryHealth::Refused
        } else if silence >= SILENT_AFTER {
            PrimaryHealth::Silent(silence)
        } else if state.pool.answered_within(now, &primary, GOOD_FOR) {
            PrimaryHealth::Good
        } else {
            return;
        };
        drop(state);
        self.report(Report::PrimaryHealth { group: self.name.clone(), primary, health });
    }

    fn report(&self, report: Report) {
        // Fails only while the process ends.
        let _ = self.cx.events.unbounded_send(Event::Data(report));
    }
}

/// What a request for data needs.
pub(crate) fn need_of(required: Option<Position>) -> Requirement {
    required.map_or(Requirement::Primary, Requirement::AtLeast)
}
