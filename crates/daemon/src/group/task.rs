use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::{FastMap, GroupId, MemberId, RequestId, Span, Time, Zone};
use futures_channel::mpsc;
use futures_util::StreamExt;
use home::{Action, ConnectionSource, Dispatch, Event, Home, HomeConfig, MemberConfig};
use leadership::{Election, ElectionConfig};
use membership::Takeover;
use platform::MembersRecord;
use routing::Capacity;

use crate::{
    clock::Clock,
    group::{
        handle::{GroupEvent, GroupHandle, MemberAddr},
        link::{LinkRequest, MemberLink},
        pooled_conn::PooledConn,
        report,
        request_update::{Granted, RequestUpdate},
        slot_lease::SlotLease,
    },
    metrics::Metrics,
    orders::Report,
    tasks::Tasks,
};

/// How long a replica may leave requests and probes unanswered before the sessions that
/// wait for it are told that it is lost.
const REPLICA_LOST_AFTER: Span = Span::from_millis(3_000);
/// The task handles a tick, which checks time limits, when no event has arrived for this
/// long.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Task of one group: passes events to its [`Home`] and its [`Election`] and executes the
/// resulting actions. It owns the idle connections to the members.
pub(crate) struct GroupTask {
    group: GroupId,
    clock: Clock,
    metrics: Rc<Metrics>,
    handle: GroupHandle,
    rx: mpsc::UnboundedReceiver<GroupEvent>,
    home: Home,
    election: Election,
    reports: mpsc::UnboundedSender<Report>,
    retired: bool,
    /// Whether this daemon is the group's first home, so that no earlier home can still
    /// acknowledge writes.
    initial_takeover: bool,
    /// When the election is told to record a term of this daemon's own; `None` if it was
    /// told already or need not be.
    ownership_due: Option<Time>,
    /// Time that the previous home may still spend on open transactions after a handover.
    graceful_takeover_delay: Span,
    tasks: Tasks,
    members: Vec<MemberAddr>,
    links: Vec<mpsc::UnboundedSender<LinkRequest>>,
    idle: FastMap<MemberId, Vec<PooledConn>>,
    sessions: FastMap<RequestId, mpsc::UnboundedSender<RequestUpdate>>,
    running: FastMap<RequestId, MemberId>,
}

/// Parameters of [`GroupTask::start`] that come from the daemon.
pub(crate) struct GroupSetup {
    pub(crate) group: GroupId,
    pub(crate) zone: Zone,
    pub(crate) clock: Clock,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) timing: settings::Timing,
    pub(crate) limits: settings::Limits,
    /// `VM/INCARNATION`, which identifies this run of the daemon in election records.
    pub(crate) run: String,
    pub(crate) reports: mpsc::UnboundedSender<Report>,
    pub(crate) tasks: Tasks,
}

impl GroupTask {
    /// Starts the task of a group and returns the handle that sends events to it.
    pub(crate) fn start(setup: GroupSetup, record: &MembersRecord) -> GroupHandle {
        let (handle, rx) = GroupHandle::new();
        let home = Home::new(home_config(&setup, record));
        let members = record.members.iter().map(|member| member.id.clone()).collect();
        let election = Election::new(ElectionConfig::new(setup.run.clone(), members));
        let mut task = GroupTask {
            group: setup.group,
            clock: setup.clock,
            metrics: setup.metrics,
            handle: handle.clone(),
            rx,
            home,
            election,
            reports: setup.reports,
            retired: false,
            initial_takeover: false,
            ownership_due: None,
            graceful_takeover_delay: Span::from_millis(setup.timing.stop_ms),
            tasks: setup.tasks.clone(),
            members: Vec::new(),
            links: Vec::new(),
            idle: FastMap::default(),
            sessions: FastMap::default(),
            running: FastMap::default(),
        };
        task.start_member_links(record);
        setup.tasks.spawn(task.run());
        handle
    }

    fn start_member_links(&mut self, record: &MembersRecord) {
        for (index, member) in record.members.iter().enumerate() {
            let (tx, rx) = mpsc::unbounded();
            let link = MemberLink {
                index,
                id: member.id.clone(),
                addr: member.addr,
                clock: self.clock,
                group: self.handle.clone(),
                rx,
            };
            self.tasks.spawn(link.run());
            self.links.push(tx);
            self.members.push(MemberAddr { id: member.id.clone(), addr: member.addr });
        }
    }

    async fn run(mut self) {
        loop {
            match monoio::time::timeout(TICK_INTERVAL, self.rx.next()).await {
                Ok(Some(event)) => self.handle_event(event),
                Ok(None) => return,
                Err(_) => {
                    self.handle(Event::Tick);
                    self.notify_silent_replicas();
                    self.require_ownership_if_due();
                    self.lead(leadership::Event::Tick);
                }
            }
            self.handle.set_has_waiting(self.home.waiting() > 0);
            if self.retired && self.home.is_empty() {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Submit(submission, tx) => {
                self.sessions.insert(submission.req, tx);
                self.handle(Event::Submitted(submission));
            }
            GroupEvent::Pinned(statement, tx) => {
                self.sessions.insert(statement.req, tx);
                self.handle(Event::Pinned(statement));
            }
            GroupEvent::Finished(finished, conn) => {
                if let Some(member) = self.running.remove(&finished.req) {
                    self.store_idle(&member, conn);
                }
                self.sessions.remove(&finished.req);
                self.handle(Event::Finished(finished));
            }
            GroupEvent::Released(member, connection, conn) => {
                self.store_idle(&member, conn);
                self.handle(Event::Released { member, connection });
            }
            GroupEvent::Committed(commit, tx) => {
                self.sessions.insert(commit.req, tx);
                self.handle(Event::Committed(commit));
            }
            GroupEvent::Cancelled(req) => {
                self.sessions.remove(&req);
                self.handle(Event::Cancelled(req));
            }
            GroupEvent::Probed(reply) => {
                self.handle(Event::Probed(reply));
                if reply.status.primary {
                    self.lead(leadership::Event::PrimaryAnswered { term: reply.status.term });
                }
            }
            GroupEvent::Warmed(member, conn) => {
                let open = conn.is_some();
                self.store_idle(&member, conn);
                self.handle(Event::Warmed { member, open });
            }
            GroupEvent::Leadership(event) => self.lead(event),
            GroupEvent::BecameHome(exclusive_from, takeover) => {
                self.become_home(exclusive_from, takeover);
            }
            GroupEvent::HandoverStarted => self.handle(Event::HandoverStarted),
            GroupEvent::Exclusive(until) => {
                if self.initial_takeover || self.election.owns() {
                    self.handle(Event::Exclusive { until });
                }
            }
            GroupEvent::Report(tx) => {
                let _ = tx.send(report::group(&self.group, &self.home, self.clock.now()));
            }
            GroupEvent::Explain(key, policy, tx) => {
                let lines = self.home.explain(self.clock.now(), &key, &policy);
                let _ = tx.send(lines);
            }
            GroupEvent::Retire => {
                self.retired = true;
                self.idle.clear();
                self.handle(Event::Retired);
            }
            GroupEvent::Members(record) => {
                let leaving = record.members.iter().filter(|member| member.leaving);
                let leaving = leaving.map(|member| member.id.clone()).collect();
                self.handle(Event::Leaving(leaving));
            }
        }
    }

    /// Keeps a connection for later requests, or closes it if the home has moved.
    fn store_idle(&mut self, member: &MemberId, conn: Option<PooledConn>) {
        if let Some(conn) = conn.filter(|_| !self.retired) {
            self.idle.entry(member.clone()).or_default().push(conn);
        }
    }

    /// Passes an event to the home and executes the resulting actions.
    fn handle(&mut self, event: Event) {
        let (term, primary) = self.home.current_primary();
        let before = (term, primary.cloned());
        let mut actions = Vec::new();
        self.home.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        let (term, primary) = self.home.current_primary();
        if term > before.0 {
            self.notify_member_lost(before.1.as_ref());
            logs::event(
                "new_term",
                &serde_json::json!({ "group": self.group, "term": term, "primary": primary }),
            );
        }
    }

    /// Tells the sessions that wait for `old_primary` that it has been replaced.
    fn notify_member_lost(&self, old_primary: Option<&MemberId>) {
        let Some(old_primary) = old_primary else { return };
        for (req, member) in &self.running {
            if member != old_primary {
                continue;
            }
            if let Some(tx) = self.sessions.get(req) {
                let _ = tx.unbounded_send(RequestUpdate::MemberLost);
            }
        }
    }

    /// Tells the sessions that wait for a silent replica that it is lost. A silent primary
    /// is left to the election.
    fn notify_silent_replicas(&self) {
        let (_, primary) = self.home.current_primary();
        for (req, member) in &self.running {
            let silent = self.home.time_since_answer(self.clock.now(), member);
            if Some(member) == primary || silent < REPLICA_LOST_AFTER {
                continue;
            }
            if let Some(tx) = self.sessions.get(req) {
                let _ = tx.unbounded_send(RequestUpdate::MemberLost);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(dispatch),
            Action::RunPinned { req, member } => self.run_pinned(req, member),
            Action::Refuse { req, refusal } => {
                self.metrics.count("refused");
                self.notify(req, RequestUpdate::Refused(refusal));
                self.sessions.remove(&req);
            }
            Action::Acknowledge { req } => {
                self.notify(req, RequestUpdate::Acknowledged);
                self.sessions.remove(&req);
            }
            Action::Unresolved { req, reason } => {
                self.metrics.count("unresolved");
                self.notify(req, RequestUpdate::Unresolved(reason));
                self.sessions.remove(&req);
            }
            Action::Probe { round } => {
                for link in &self.links {
                    let _ = link.unbounded_send(LinkRequest::Probe { round });
                }
            }
            Action::Warm { member } => self.open_warm_connection(member),
            Action::Suspect { primary, term } => {
                self.metrics.count("suspected");
                logs::event(
                    "suspect",
                    &serde_json::json!({ "group": self.group, "primary": primary, "term": term }),
                );
                self.lead(leadership::Event::Suspected { term });
            }
            Action::NewerTerm { term } => {
                let event = serde_json::json!({ "group": self.group, "term": term });
                logs::event("newer_term", &event);
                self.report(Report::ReadLeadershipRecord { group: self.group.clone() });
                self.lead(leadership::Event::TermObserved(term));
            }
            Action::Repoint { member, term, .. } => {
                let index = self.members.iter().position(|known| known.id == member);
                if let Some(link) = index.and_then(|index| self.links.get(index)) {
                    let _ = link.unbounded_send(LinkRequest::Follow { term });
                }
            }
        }
    }

    /// Takes the group over. As long as an earlier home can use the current term, it can
    /// acknowledge writes that this home does not know of. The write positions in memory
    /// are therefore relied on only under a term that this daemon has recorded itself.
    fn become_home(&mut self, exclusive_from: Time, takeover: Takeover) {
        self.initial_takeover = takeover == Takeover::Initial;
        self.ownership_due = match takeover {
            Takeover::Initial => None,
            Takeover::Unclean => Some(self.clock.now()),
            Takeover::Graceful => Some(self.clock.now() + self.graceful_takeover_delay),
        };
        self.handle(Event::BecameHome { exclusive_from });
        self.require_ownership_if_due();
    }

    fn require_ownership_if_due(&mut self) {
        if self.ownership_due.is_some_and(|at| at <= self.clock.now()) {
            self.ownership_due = None;
            self.lead(leadership::Event::OwnershipRequired);
        }
    }

    /// Passes an event to the election and executes the resulting actions.
    fn lead(&mut self, event: leadership::Event) {
        if self.retired {
            return;
        }
        let mut actions = Vec::new();
        self.election.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute_leadership(action);
        }
    }

    fn execute_leadership(&mut self, action: leadership::Action) {
        let group = self.group.clone();
        match action {
            leadership::Action::CheckReachability { primary } => {
                let Some(addr) = self.addr(&primary) else { return };
                let (term, _) = self.home.current_primary();
                self.report(Report::CheckReachability { group, addr, term });
            }
            leadership::Action::Write { expected, record } => {
                self.report(Report::WriteLeadershipRecord { group, expected, record });
            }
            leadership::Action::Read => self.report(Report::ReadLeadershipRecord { group }),
            leadership::Action::Fence { term } => {
                for link in &self.links {
                    let _ = link.unbounded_send(LinkRequest::Fence { term });
                }
            }
            leadership::Action::Promote { member, term } => {
                let index = self.members.iter().position(|known| known.id == member);
                if let Some(link) = index.and_then(|index| self.links.get(index)) {
                    let _ = link.unbounded_send(LinkRequest::Promote { term });
                }
            }
            leadership::Action::SetPrimary { term, primary } => {
                self.handle(Event::PrimaryRecorded { term, primary });
            }
            leadership::Action::LogDecision { decision, reason } => {
                let mut entry = logs::Decision::new(decision, reason);
                entry.group = Some(&self.group);
                entry.log();
            }
        }
    }

    fn report(&self, report: Report) {
        let _ = self.reports.unbounded_send(report);
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let Some(addr) = self.addr(&dispatch.member) else { return };
        let conn = match dispatch.connection {
            ConnectionSource::Idle => self.idle.get_mut(&dispatch.member).and_then(Vec::pop),
            ConnectionSource::New => None,
        };
        self.metrics.gauge("waiting", self.home.waiting() as u64);
        self.running.insert(dispatch.req, dispatch.member.clone());
        let lease = SlotLease::new(self.handle.clone(), self.clock, dispatch.req, dispatch.member);
        let granted = Granted {
            lease,
            addr,
            term: dispatch.term,
            conn,
            required: dispatch.required,
            reason: dispatch.reason,
        };
        self.notify(dispatch.req, RequestUpdate::Granted(Box::new(granted)));
    }

    fn run_pinned(&mut self, req: RequestId, member: MemberId) {
        self.running.insert(req, member.clone());
        let lease = SlotLease::new(self.handle.clone(), self.clock, req, member);
        self.notify(req, RequestUpdate::RunPinned(lease.with_held_connection()));
    }

    fn notify(&mut self, req: RequestId, update: RequestUpdate) {
        let Some(tx) = self.sessions.get(&req) else { return };
        let _ = tx.unbounded_send(update);
    }

    fn open_warm_connection(&self, member: MemberId) {
        let Some(addr) = self.addr(&member) else { return };
        let handle = self.handle.clone();
        self.tasks.spawn(async move {
            let conn = wire::connect(addr, &[("user", "corianderwharf")]).await;
            handle.send(GroupEvent::Warmed(member, conn.ok().map(PooledConn::new)));
        });
    }

    fn addr(&self, member: &MemberId) -> Option<SocketAddr> {
        self.members.iter().find(|known| known.id == *member).map(|known| known.addr)
    }
}

fn home_config(setup: &GroupSetup, record: &MembersRecord) -> HomeConfig {
    let members = record.members.iter().map(|member| MemberConfig {
        id: member.id.clone(),
        zone: member.zone.clone(),
        capacity: Capacity { slots: member.slots, connections: member.connections },
    });
    let timing = &setup.timing;
    let mut cfg = HomeConfig::new(setup.group.clone(), setup.zone.clone(), members.collect());
    cfg.callers = setup.limits.remembered_callers;
    cfg.heartbeat = base::Span::from_millis(timing.heartbeat_ms);
    cfg.patience = base::Span::from_millis(timing.patience_ms);
    cfg.suspect_after = base::Span::from_millis(timing.suspect_after_ms);
    cfg.ack_timeout = base::Span::from_millis(timing.ack_timeout_ms);
    cfg.warm_connections = setup.limits.warm_connections;
    cfg
}
