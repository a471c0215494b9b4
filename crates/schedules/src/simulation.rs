use std::{cmp::Reverse, collections::BinaryHeap};

use base::{
    CallerId, FastMap, FastSet, Position, Rank, RequestId, Span, StatementKind, Term, Time,
    store_version,
};
use home::{Action, Commit, ConnectionState, Event, Finished, ProbeReply, RunResult, Submission};
use leadership::{FenceReply, LeadershipRecord};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use table::{Acknowledgement, Policy, RowKey};

use crate::{
    daemon::{FakeDaemon, MEMBERS, SLOTS, member_id, member_index},
    fault::{Fault, FaultKind},
    member::FakeMember,
    mutation::Mutation,
    oracle::Oracle,
    store::FakeStore,
};

const DAEMONS: usize = 2;
/// One more than a home remembers individually, so that positions are evicted, too.
const CALLERS: usize = 4;
const STORE_POLL_INTERVAL: Span = Span::from_millis(500);
const TICK_INTERVAL: Span = Span::from_millis(10);
const REPLICATION_INTERVAL: Span = Span::from_millis(5);
/// Time for which a read of the platform rules out another home.
const EXCLUSIVITY_PERIOD: Span = Span::from_millis(2_000);
/// Replication lag without a fault.
const NORMAL_LAG: Span = Span::from_millis(15);
/// Replication lag under [`FaultKind::ReplicasLag`].
const FAULT_LAG: Span = Span::from_millis(3_000);
/// Time after which a daemon notices that a reply was lost.
const REPLY_TIMEOUT: Span = Span::from_millis(400);
/// Staleness that reads accept. Longer than a run, so that only a caller's own writes restrict
/// the choice of replicas.
const MAX_DATA_AGE: Span = Span::from_millis(3_600_000);
const REQUEST_TIMEOUT: Span = Span::from_millis(2_000);
const END_TIME: Time = Time::from_micros(18_000_000);
/// A write must be acknowledged later than this time after the last fault and the takeover.
const RECOVERY_LIMIT: Span = Span::from_millis(6_000);

/// Simulated group in virtual time: three members, a platform, and two daemons, the second
/// of which takes over as home while the first may still consider itself the home.
#[derive(Debug)]
pub struct Simulation {
    rng: ChaCha12Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: FastMap<u64, SimEvent>,
    next_event: u64,
    next_request: u64,
    members: Vec<FakeMember>,
    daemons: Vec<FakeDaemon>,
    store: FakeStore,
    requests: FastMap<RequestId, Request>,
    write_positions: Vec<Position>,
    executed_writes: FastSet<u64>,
    faults: Vec<Fault>,
    takeover: Time,
    mutation: Mutation,
    oracle: Oracle,
}

/// Result of a simulated schedule.
#[derive(Debug)]
pub struct Outcome {
    /// The oracle, with the violations that it found.
    pub oracle: Oracle,
    /// Highest number of statements that ran at one member at the same time.
    pub peak_running: u32,
    /// Number of slots of each member.
    pub slots: u32,
    /// Number of write attempts at the platform's store, including rejected ones.
    pub store_writes: u64,
}

#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    caller: usize,
    write: Option<u64>,
    expected_writes: Vec<u64>,
    since: Time,
    dispatched: Option<(usize, Term)>,
    answered: bool,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Tick(usize),
    PollStore(usize),
    Replicate,
    NextRequest(usize),
    Takeover,
    CopyStore,
    RestoreStore,
    Home(usize, Box<Event>),
    Election(usize, leadership::Event),
    RequestArrives(RequestId),
    Execute(RequestId),
    Reply(RequestId, Box<Reply>),
    ProbeArrives { daemon: usize, member: usize, round: u64, asked_at: Time },
    FenceArrives { daemon: usize, member: usize, term: Term },
    PromoteArrives { daemon: usize, member: usize, term: Term },
    FollowArrives { member: usize, term: Term },
    WriteArrives { daemon: usize, expected: u64, record: LeadershipRecord },
    ReadArrives { daemon: usize },
}

#[derive(Clone, Debug)]
enum Reply {
    StaleTerm,
    Broken,
    Written(Position),
    Rows(FastSet<u64>, bool),
}

impl Simulation {
    /// Creates a simulation with `faults` random faults and a random time of takeover, both
    /// derived from `seed`.
    pub fn new(seed: u64, faults: usize, mutation: Mutation) -> Simulation {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let faults: Vec<Fault> = (0..faults).map(|_| Fault::random(&mut rng)).collect();
        let takeover = Time::from_micros(rng.random_range(1_500_000..6_000_000));
        Simulation::build(rng, faults, takeover, mutation)
    }

    /// Creates a simulation with the given faults. Daemon 1 takes over from daemon 0 at
    /// `takeover`; `seed` determines the latencies and the load.
    pub fn with_faults(
        seed: u64,
        faults: Vec<Fault>,
        takeover: Time,
        mutation: Mutation,
    ) -> Simulation {
        Simulation::build(ChaCha12Rng::seed_from_u64(seed), faults, takeover, mutation)
    }

    fn build(
        rng: ChaCha12Rng,
        faults: Vec<Fault>,
        takeover: Time,
        mutation: Mutation,
    ) -> Simulation {
        let mut members: Vec<FakeMember> = (0..MEMBERS).map(|_| FakeMember::new()).collect();
        members[0].promote(Time::default(), Term::new(1));
        let record = LeadershipRecord {
            version: store_version::in_era(1, 1).expect("the first era"),
            term: Term::new(1),
            primary: Some(member_id(0)),
            attempt: String::new(),
        };
        let mut simulation = Simulation {
            rng,
            now: Time::default(),
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            next_event: 0,
            next_request: 0,
            members,
            daemons: (0..DAEMONS).map(|number| FakeDaemon::new(number, CALLERS - 1)).collect(),
            store: FakeStore::new(record),
            requests: FastMap::default(),
            write_positions: vec![Position::default(); CALLERS],
            executed_writes: FastSet::default(),
            faults,
            takeover,
            mutation,
            oracle: Oracle::default(),
        };
        simulation.schedule_initial_events();
        simulation
    }

    /// Returns the faults of this schedule.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Runs the schedule to its end and checks the history.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > END_TIME {
                break;
            }
            self.now = at;
            let Some(sim_event) = self.events.remove(&number) else { continue };
            self.process(sim_event);
        }
        self.finish()
    }

    fn finish(mut self) -> Outcome {
        let primaries = self.members.iter().filter(|member| member.primary);
        let newest = primaries.max_by_key(|member| member.term);
        let history: Vec<u64> = newest.map(|it| it.writes().collect()).unwrap_or_default();
        let last_fault_end = self.faults.iter().map(Fault::until).max().unwrap_or_default();
        let recovery_deadline = last_fault_end.max(self.takeover) + RECOVERY_LIMIT;
        self.oracle.check_history(&history, &self.executed_writes, recovery_deadline);
        Outcome {
            peak_running: self.members.iter().map(|it| it.peak_running).max().unwrap_or(0),
            slots: SLOTS,
            store_writes: self.store.writes,
            oracle: self.oracle,
        }
    }

    fn schedule_initial_events(&mut self) {
        for daemon in 0..DAEMONS {
            self.schedule(Span::ZERO, SimEvent::PollStore(daemon));
            self.schedule(Span::ZERO, SimEvent::Tick(daemon));
        }
        self.schedule(Span::ZERO, SimEvent::Replicate);
        for caller in 0..CALLERS {
            let span = self.random_span(100, 300);
            self.schedule(span, SimEvent::NextRequest(caller));
        }
        let became_home = Event::BecameHome { exclusive_from: Time::default() };
        self.schedule(Span::ZERO, SimEvent::Home(0, Box::new(became_home)));
        let takeover = self.takeover;
        self.schedule_at(takeover, SimEvent::Takeover);
        for fault in self.faults.clone() {
            if fault.kind == FaultKind::StoreLosesWrites {
                self.schedule_at(fault.from, SimEvent::CopyStore);
                self.schedule_at(fault.until(), SimEvent::RestoreStore);
            }
        }
    }

    fn schedule(&mut self, after: Span, sim_event: SimEvent) {
        let at = self.now + after;
        self.schedule_at(at, sim_event);
    }

    fn schedule_at(&mut self, at: Time, sim_event: SimEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.insert(number, sim_event);
        self.queue.push(Reverse((at, number)));
    }

    fn random_span(&mut self, from_ms: u64, to_ms: u64) -> Span {
        Span::from_micros(self.rng.random_range(from_ms * 1_000..to_ms * 1_000))
    }

    fn random_latency(&mut self) -> Span {
        Span::from_micros(self.rng.random_range(500..2_500))
    }

    fn is_active(&self, kind: FaultKind) -> bool {
        self.faults.iter().any(|fault| fault.kind == kind && fault.is_active(self.now))
    }

    fn store_unreachable(&self, daemon: usize) -> bool {
        self.is_active(FaultKind::StoreDown) || self.is_active(FaultKind::StoreCut(daemon))
    }

    /// Time at which the current pause of a daemon or member ends.
    fn paused_until(&self, kind: FaultKind) -> Option<Time> {
        let faults = self.faults.iter().filter(|it| it.kind == kind && it.is_active(self.now));
        faults.map(Fault::until).max()
    }

    fn can_reach(&self, daemon: usize, member: usize) -> bool {
        !self.is_active(FaultKind::LinkCut(daemon, member))
            && !self.is_active(FaultKind::MemberDown(member))
    }

    /// Time until which an event is deferred because its daemon or member is paused.
    fn postponed_until(&self, sim_event: &SimEvent) -> Option<Time> {
        match sim_event {
            SimEvent::Tick(daemon)
            | SimEvent::PollStore(daemon)
            | SimEvent::Home(daemon, _)
            | SimEvent::Election(daemon, _) => self.paused_until(FaultKind::DaemonPaused(*daemon)),
            SimEvent::Reply(req, _) => {
                let daemon = self.requests[req].daemon;
                self.paused_until(FaultKind::DaemonPaused(daemon))
            }
            SimEvent::RequestArrives(req) | SimEvent::Execute(req) => {
                let (member, _) = self.requests[req].dispatched?;
                self.paused_until(FaultKind::MemberPaused(member))
            }
            SimEvent::ProbeArrives { member, .. }
            | SimEvent::FenceArrives { member, .. }
            | SimEvent::PromoteArrives { member, .. }
            | SimEvent::FollowArrives { member, .. } => {
                self.paused_until(FaultKind::MemberPaused(*member))
            }
            _ => None,
        }
    }

    fn process(&mut self, sim_event: SimEvent) {
        if let Some(until) = self.postponed_until(&sim_event) {
            self.schedule_at(until, sim_event);
            return;
        }
        match sim_event {
            SimEvent::Tick(daemon) => {
                self.feed_home(daemon, Event::Tick);
                self.feed_election(daemon, leadership::Event::Tick);
                self.schedule(TICK_INTERVAL, SimEvent::Tick(daemon));
            }
            SimEvent::PollStore(daemon) => self.poll_store(daemon),
            SimEvent::Replicate => self.replicate(),
            SimEvent::NextRequest(caller) => self.submit(caller),
            SimEvent::Takeover => {
                let exclusive_from = self.now + EXCLUSIVITY_PERIOD;
                self.feed_home(1, Event::BecameHome { exclusive_from });
                self.feed_election(1, leadership::Event::OwnershipRequired);
            }
            SimEvent::CopyStore => self.store.take_copy(),
            SimEvent::RestoreStore => {
                self.store.restore(self.mutation == Mutation::KeepEra);
            }
            SimEvent::Home(daemon, event) => self.feed_home(daemon, *event),
            SimEvent::Election(daemon, event) => self.feed_election(daemon, event),
            SimEvent::RequestArrives(req) => self.request_arrives(req),
            SimEvent::Execute(req) => self.execute(req),
            SimEvent::Reply(req, reply) => self.reply_arrives(req, *reply),
            SimEvent::ProbeArrives { daemon, member, round, asked_at } => {
                self.probe_arrives(daemon, member, round, asked_at);
            }
            SimEvent::FenceArrives { daemon, member, term } => {
                self.fence_arrives(daemon, member, term);
            }
            SimEvent::PromoteArrives { daemon, member, term } => {
                self.promote_arrives(daemon, member, term);
            }
            SimEvent::FollowArrives { member, term } => {
                let node = &mut self.members[member];
                if term >= node.term && !(node.primary && node.term == term) {
                    node.fence(term);
                }
            }
            SimEvent::WriteArrives { daemon, expected, record } => {
                self.write_arrives(daemon, expected, record);
            }
            SimEvent::ReadArrives { daemon } => self.read_arrives(daemon),
        }
    }

    /// Reads the platform's store. Daemon 0 holds the claim until the takeover, daemon 1
    /// afterwards. The exclusive period counts from the time at which the read was sent.
    fn poll_store(&mut self, daemon: usize) {
        if !self.store_unreachable(daemon) {
            let record = self.store.record.clone();
            let asked_at = self.now;
            let after = self.random_latency();
            self.deliver_record(daemon, record, after);
            let holds_claim = (daemon == 0) == (asked_at < self.takeover);
            if holds_claim && (daemon == 0 || self.daemons[1].election.owns()) {
                let until = asked_at + EXCLUSIVITY_PERIOD;
                let exclusive = Event::Exclusive { until };
                self.schedule(after, SimEvent::Home(daemon, Box::new(exclusive)));
            }
        }
        self.schedule(STORE_POLL_INTERVAL, SimEvent::PollStore(daemon));
    }

    /// Delivers what a daemon reads from the platform's store: that it has lost its claim,
    /// or else the record of the primary.
    fn deliver_record(&mut self, daemon: usize, record: LeadershipRecord, after: Span) {
        if daemon == 0 && self.now >= self.takeover {
            return self.schedule(after, SimEvent::Home(0, Box::new(Event::Retired)));
        }
        self.schedule(after, SimEvent::Election(daemon, leadership::Event::Record(record)));
    }

    fn replicate(&mut self) {
        let lag = if self.is_active(FaultKind::ReplicasLag) { FAULT_LAG } else { NORMAL_LAG };
        for index in 0..MEMBERS {
            if self.members[index].primary || !self.can_replicate(index) {
                continue;
            }
            let term = self.members[index].term;
            let source = (0..MEMBERS).find(|&other| {
                let member = &self.members[other];
                member.primary && member.term == term && self.can_replicate(other)
            });
            let behind =
                |&source: &usize| self.members[source].position() != self.members[index].position();
            if let Some(source) = source.filter(behind) {
                let log = self.members[source].log.clone();
                self.members[index].replicate_from(self.now, &log, lag);
            }
        }
        self.schedule(REPLICATION_INTERVAL, SimEvent::Replicate);
    }

    fn can_replicate(&self, member: usize) -> bool {
        !self.is_active(FaultKind::ReplicationCut(member))
            && !self.is_active(FaultKind::MemberDown(member))
            && !self.is_active(FaultKind::MemberPaused(member))
    }

    /// Submits a caller's next request, through a random daemon once both may act as home.
    fn submit(&mut self, caller: usize) {
        let daemon = if self.now < self.takeover { 0 } else { self.rng.random_range(0..DAEMONS) };
        let req = RequestId::new(self.next_request);
        self.next_request += 1;
        let write = self.rng.random_bool(0.4).then_some(self.next_request);
        let kind = if write.is_some() { StatementKind::Write } else { StatementKind::Read };
        let request = Request {
            daemon,
            caller,
            write,
            expected_writes: self.oracle.writes_of(caller),
            since: self.now,
            dispatched: None,
            answered: false,
        };
        self.requests.insert(req, request);
        let sends_token = caller.is_multiple_of(2);
        let submission = Submission {
            req,
            caller: CallerId::new(format!("c{caller}")),
            key: RowKey { name: "db".to_owned(), rank: Rank::Lookup },
            policy: Policy { age: Some(MAX_DATA_AGE), ..Policy::default() },
            kind,
            token: sends_token.then_some(self.write_positions[caller]),
            session: Position::default(),
            deadline: self.now + REQUEST_TIMEOUT,
        };
        let after = self.random_latency();
        self.schedule(after, SimEvent::Home(daemon, Box::new(Event::Submitted(submission))));
    }

    fn feed_home(&mut self, daemon: usize, event: Event) {
        let mut actions = Vec::new();
        self.daemons[daemon].home.handle(self.now, event, &mut actions);
        for action in actions {
            self.home_action(daemon, action);
        }
    }

    fn feed_election(&mut self, daemon: usize, event: leadership::Event) {
        let mut actions = Vec::new();
        self.daemons[daemon].election.handle(self.now, event, &mut actions);
        for action in actions {
            self.election_action(daemon, action);
        }
    }

    fn home_action(&mut self, daemon: usize, action: Action) {
        let after = self.random_latency();
        match action {
            Action::Dispatch(dispatch) => {
                let mut member = member_index(&dispatch.member);
                let is_read = self.requests[&dispatch.req].write.is_none();
                if self.mutation == Mutation::IgnoreWritePositions && is_read {
                    member = self.rng.random_range(0..MEMBERS);
                }
                self.record_dispatch(dispatch.req, (member, dispatch.term));
                if self.can_reach(daemon, member) {
                    self.schedule(after, SimEvent::RequestArrives(dispatch.req));
                } else {
                    let broken = Box::new(Reply::Broken);
                    self.requests.entry(dispatch.req).and_modify(|it| it.dispatched = None);
                    self.schedule(after, SimEvent::Reply(dispatch.req, broken));
                }
            }
            Action::Refuse { req, .. } => self.refused(req),
            Action::Acknowledge { req } => self.acknowledged(req),
            Action::Unresolved { req, .. } => self.unresolved(req),
            Action::Probe { round } => {
                for member in 0..MEMBERS {
                    let after = self.random_latency();
                    let asked_at = self.now;
                    self.schedule(
                        after,
                        SimEvent::ProbeArrives { daemon, member, round, asked_at },
                    );
                }
            }
            Action::Warm { member } => {
                let open = self.can_reach(daemon, member_index(&member));
                let warmed = Event::Warmed { member, open };
                self.schedule(after, SimEvent::Home(daemon, Box::new(warmed)));
            }
            Action::Suspect { term, .. } => {
                self.feed_election(daemon, leadership::Event::Suspected { term });
            }
            Action::NewerTerm { term } => {
                self.feed_election(daemon, leadership::Event::TermObserved(term));
                self.schedule(after, SimEvent::ReadArrives { daemon });
            }
            Action::Repoint { member, term, .. } => {
                let member = member_index(&member);
                if self.can_reach(daemon, member) {
                    self.schedule(after, SimEvent::FollowArrives { member, term });
                }
            }
            Action::RunPinned { .. } => {}
        }
    }

    fn record_dispatch(&mut self, req: RequestId, to: (usize, Term)) {
        if let Some(request) = self.requests.get_mut(&req) {
            request.dispatched = Some(to);
        }
    }

    fn election_action(&mut self, daemon: usize, action: leadership::Action) {
        let after = self.random_latency();
        match action {
            leadership::Action::CheckReachability { primary } => {
                let member = member_index(&primary);
                let other = 1 - daemon;
                let reachable = self.can_reach(other, member)
                    && !self.is_active(FaultKind::MemberPaused(member))
                    && self.members[member].primary;
                let paused = self.is_active(FaultKind::DaemonPaused(other));
                let event = leadership::Event::ReachabilityChecked {
                    reachable: (!paused).then_some(reachable),
                };
                self.schedule(after, SimEvent::Election(daemon, event));
            }
            leadership::Action::Write { expected, record } => {
                self.schedule(after, SimEvent::WriteArrives { daemon, expected, record });
            }
            leadership::Action::Read => self.schedule(after, SimEvent::ReadArrives { daemon }),
            leadership::Action::Fence { term } => {
                for member in 0..MEMBERS {
                    let after = self.random_latency();
                    self.schedule(after, SimEvent::FenceArrives { daemon, member, term });
                }
            }
            leadership::Action::Promote { member, term } => {
                let member = member_index(&member);
                self.schedule(after, SimEvent::PromoteArrives { daemon, member, term });
            }
            leadership::Action::SetPrimary { term, primary } => {
                self.feed_home(daemon, Event::PrimaryRecorded { term, primary });
                self.fail_stale_requests(daemon, term);
            }
            leadership::Action::LogDecision { .. } => {}
        }
    }

    /// Ends requests that were dispatched under an older term, as their sessions do when they
    /// learn of a new primary.
    fn fail_stale_requests(&mut self, daemon: usize, term: Term) {
        let stale = self.requests.iter().filter(|(_, request)| {
            request.daemon == daemon
                && !request.answered
                && request.dispatched.is_some_and(|(_, dispatch_term)| dispatch_term < term)
        });
        let mut stale: Vec<RequestId> = stale.map(|(req, _)| *req).collect();
        stale.sort_unstable();
        for req in stale {
            self.schedule(Span::ZERO, SimEvent::Reply(req, Box::new(Reply::Broken)));
        }
    }

    fn request_arrives(&mut self, req: RequestId) {
        let request = &self.requests[&req];
        let Some((member, term)) = request.dispatched else { return };
        if self.is_active(FaultKind::MemberDown(member)) {
            return self.schedule(Span::ZERO, SimEvent::Reply(req, Box::new(Reply::Broken)));
        }
        if self.members[member].term != term {
            let after = self.random_latency();
            return self.schedule(after, SimEvent::Reply(req, Box::new(Reply::StaleTerm)));
        }
        let node = &mut self.members[member];
        node.running += 1;
        node.peak_running = node.peak_running.max(node.running);
        let service = self.random_span(1, 5);
        self.schedule(service, SimEvent::Execute(req));
    }

    fn execute(&mut self, req: RequestId) {
        let request = self.requests[&req].clone();
        let Some((member, term)) = request.dispatched else { return };
        let now = self.now;
        let down = self.is_active(FaultKind::MemberDown(member));
        let node = &mut self.members[member];
        node.running -= 1;
        let reply = match request.write {
            _ if down => Reply::Broken,
            _ if node.term != term => Reply::StaleTerm,
            Some(_) if !node.primary => Reply::StaleTerm,
            Some(write) => {
                self.executed_writes.insert(write);
                Reply::Written(node.append(now, Some(write)))
            }
            None => Reply::Rows(node.writes().collect(), !node.primary),
        };
        let reply = if self.can_reach(request.daemon, member) { reply } else { Reply::Broken };
        let after =
            if matches!(reply, Reply::Broken) { REPLY_TIMEOUT } else { self.random_latency() };
        self.schedule(after, SimEvent::Reply(req, Box::new(reply)));
    }

    fn reply_arrives(&mut self, req: RequestId, reply: Reply) {
        let request = self.requests[&req].clone();
        if request.answered {
            return;
        }
        let daemon = request.daemon;
        let (result, connection) = match &reply {
            Reply::StaleTerm => (RunResult::StaleTerm, ConnectionState::Idle),
            Reply::Broken => (RunResult::Broken, ConnectionState::Closed),
            Reply::Written(_) | Reply::Rows(..) => (RunResult::Answered, ConnectionState::Idle),
        };
        let service = self.now.since(request.since);
        self.requests.entry(req).and_modify(|it| it.answered = true);
        self.feed_home(daemon, Event::Finished(Finished { req, service, result, connection }));
        match reply {
            Reply::Written(position) => self.written(req, &request, position),
            Reply::Rows(seen, replica) => {
                self.oracle.check_read(request.caller, &request.expected_writes, &seen, replica);
                self.schedule_next_request(request.caller);
            }
            Reply::StaleTerm => self.refused_by_member(req),
            Reply::Broken if request.write.is_some() && request.dispatched.is_some() => {
                self.lost(req, &request);
            }
            Reply::Broken => self.refused_by_member(req),
        }
    }

    fn written(&mut self, req: RequestId, request: &Request, position: Position) {
        self.requests.entry(req).and_modify(|it| it.since = self.now);
        if self.mutation == Mutation::AcknowledgeEarly {
            self.record_write_position(request.caller, position);
            return self.acknowledged(req);
        }
        let commit = Commit {
            req,
            caller: CallerId::new(format!("c{}", request.caller)),
            position,
            ack: Acknowledgement::Replica,
        };
        self.record_write_position(request.caller, position);
        self.feed_home(request.daemon, Event::Committed(commit));
    }

    fn record_write_position(&mut self, caller: usize, position: Position) {
        self.write_positions[caller] = self.write_positions[caller].max(position);
    }

    /// Handles a write that was sent but whose reply is lost, so that its outcome is
    /// unknown.
    fn lost(&mut self, req: RequestId, request: &Request) {
        if self.mutation != Mutation::RetryInDoubt {
            return self.unresolved(req);
        }
        let retry_req = RequestId::new(1_000_000 + self.next_request);
        self.next_request += 1;
        let retry = Request { dispatched: None, answered: false, ..request.clone() };
        self.requests.insert(retry_req, retry);
        let submission = Submission {
            req: retry_req,
            caller: CallerId::new(format!("c{}", request.caller)),
            key: RowKey { name: "db".to_owned(), rank: Rank::Lookup },
            policy: Policy::default(),
            kind: StatementKind::Write,
            token: None,
            session: Position::default(),
            deadline: self.now + REQUEST_TIMEOUT,
        };
        self.feed_home(request.daemon, Event::Submitted(submission));
    }

    fn acknowledged(&mut self, req: RequestId) {
        let request = self.requests[&req].clone();
        if let Some(write) = request.write {
            self.oracle.record_acknowledged(self.now, request.caller, write);
        }
        self.schedule_next_request(request.caller);
    }

    fn unresolved(&mut self, req: RequestId) {
        let caller = self.requests[&req].caller;
        self.schedule_next_request(caller);
    }

    /// Handles a request that the home refuses before it was sent to a member.
    fn refused(&mut self, req: RequestId) {
        self.requests.entry(req).and_modify(|it| it.answered = true);
        self.refused_by_member(req);
    }

    /// Handles a request that has not run. Retries, whose numbers start at 1,000,000, are not
    /// recorded as refused, because the original attempt may have run.
    fn refused_by_member(&mut self, req: RequestId) {
        let request = self.requests[&req].clone();
        if let (Some(write), true) = (request.write, req < RequestId::new(1_000_000)) {
            self.oracle.record_refused(write);
        }
        self.schedule_next_request(request.caller);
    }

    fn schedule_next_request(&mut self, caller: usize) {
        let span = self.random_span(10, 60);
        self.schedule(span, SimEvent::NextRequest(caller));
    }

    fn probe_arrives(&mut self, daemon: usize, member: usize, round: u64, asked_at: Time) {
        if !self.can_reach(daemon, member) {
            return;
        }
        let status = self.members[member].status();
        let reply = ProbeReply { member, round, asked_at, status };
        let after = self.random_latency();
        self.schedule(after, SimEvent::Home(daemon, Box::new(Event::Probed(reply))));
        if status.primary {
            let event = leadership::Event::PrimaryAnswered { term: status.term };
            self.schedule(after, SimEvent::Election(daemon, event));
        }
    }

    fn fence_arrives(&mut self, daemon: usize, member: usize, term: Term) {
        if !self.can_reach(daemon, member) {
            return;
        }
        let position = self.members[member].position();
        let accepted = if self.mutation == Mutation::SkipFence {
            term
        } else {
            self.members[member].fence(term);
            self.members[member].term
        };
        let reply = FenceReply { member: member_id(member), term: accepted, position };
        let after = self.random_latency();
        self.schedule(after, SimEvent::Election(daemon, leadership::Event::Fenced(reply)));
    }

    fn promote_arrives(&mut self, daemon: usize, member: usize, term: Term) {
        if !self.can_reach(daemon, member) {
            return;
        }
        if self.mutation == Mutation::SkipFence {
            self.members[member].fence(term);
        }
        let done = self.members[member].promote(self.now, term);
        let event = leadership::Event::Promoted { member: member_id(member), term, done };
        let after = self.random_latency();
        self.schedule(after, SimEvent::Election(daemon, event));
    }

    fn write_arrives(&mut self, daemon: usize, expected: u64, record: LeadershipRecord) {
        let after = self.random_latency();
        let event = if self.store_unreachable(daemon) {
            leadership::Event::WriteUnknown
        } else {
            match self.store.write(expected, record) {
                _ if self.is_active(FaultKind::RepliesLost) => leadership::Event::WriteUnknown,
                Ok(version) => leadership::Event::Written { version },
                Err(record) => return self.deliver_record(daemon, record, after),
            }
        };
        self.schedule(after, SimEvent::Election(daemon, event));
    }

    fn read_arrives(&mut self, daemon: usize) {
        let after = self.random_latency();
        if self.store_unreachable(daemon) {
            return self.schedule(after, SimEvent::Election(daemon, leadership::Event::ReadFailed));
        }
        let record = self.store.record.clone();
        self.deliver_record(daemon, record, after);
    }
}
