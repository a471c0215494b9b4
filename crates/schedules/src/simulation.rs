use std::{cmp::Reverse, collections::BinaryHeap};

use base::{
    CallerId, FastMap, FastSet, Position, Rank, RequestId, Span, StatementKind, Term, Time,
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
const CALLERS: usize = 4;
const WATCH_EVERY: Span = Span::from_millis(500);
const TICK_EVERY: Span = Span::from_millis(10);
const REPLICATE_EVERY: Span = Span::from_millis(5);
const TRUST: Span = Span::from_millis(2_000);
const USUAL_LAG: Span = Span::from_millis(15);
const FAR_BEHIND: Span = Span::from_millis(3_000);
const SILENCE: Span = Span::from_millis(400);
const DATA_AGE: Span = Span::from_millis(3_600_000);
const WAIT: Span = Span::from_millis(2_000);
const END: Time = Time::from_micros(18_000_000);
/// Time after the last fault within which writes must land again.
const RECOVERY: Span = Span::from_millis(6_000);

/// Two daemons that both believe to be home, three members and a platform.
#[derive(Debug)]
pub struct Simulation {
    rng: ChaCha12Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: FastMap<u64, Happening>,
    next_event: u64,
    next_request: u64,
    members: Vec<FakeMember>,
    daemons: Vec<FakeDaemon>,
    store: FakeStore,
    requests: FastMap<RequestId, Request>,
    positions: Vec<Position>,
    ever: FastSet<u64>,
    faults: Vec<Fault>,
    takeover: Time,
    mutation: Mutation,
    oracle: Oracle,
}

/// What a schedule came to.
#[derive(Debug)]
pub struct Outcome {
    /// What the oracle found.
    pub oracle: Oracle,
    /// Most statements that ran at a member at once.
    pub peak_running: u32,
    /// Slots of each member.
    pub slots: u32,
    /// Writes to the platform.
    pub store_writes: u64,
}

#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    caller: usize,
    write: Option<u64>,
    must: Vec<u64>,
    since: Time,
    dispatched: Option<(usize, Term)>,
    answered: bool,
}

#[derive(Clone, Debug)]
enum Happening {
    Tick(usize),
    Watch(usize),
    Replicate,
    Think(usize),
    Takeover,
    Home(usize, Box<Event>),
    Change(usize, leadership::Event),
    Arrive(RequestId),
    Run(RequestId),
    Answer(RequestId, Box<Answer>),
    ProbeArrives { daemon: usize, member: usize, round: u64, asked_at: Time },
    FenceArrives { daemon: usize, member: usize, term: Term },
    PromoteArrives { daemon: usize, member: usize, term: Term },
    FollowArrives { member: usize, term: Term },
    WriteArrives { daemon: usize, expected: u64, record: LeadershipRecord },
    ReadArrives { daemon: usize },
}

#[derive(Clone, Debug)]
enum Answer {
    Stale,
    Broken,
    Written(Position),
    Seen(FastSet<u64>, bool),
}

impl Simulation {
    /// A world with the schedule of `seed` and `faults` random faults.
    pub fn new(seed: u64, faults: usize, mutation: Mutation) -> Simulation {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let faults: Vec<Fault> = (0..faults).map(|_| Fault::random(&mut rng)).collect();
        let takeover = Time::from_micros(rng.random_range(1_500_000..6_000_000));
        Simulation::build(rng, faults, takeover, mutation)
    }

    /// A world with certain faults and a certain time at which daemon 1 takes
    /// over from daemon 0.
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
            version: 1,
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
            store: FakeStore { record, writes: 0 },
            requests: FastMap::default(),
            positions: vec![Position::default(); CALLERS],
            ever: FastSet::default(),
            faults,
            takeover,
            mutation,
            oracle: Oracle::default(),
        };
        simulation.plan_start();
        simulation
    }

    /// The faults of this schedule.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Runs the schedule to its end.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.now = at;
            let Some(happening) = self.events.remove(&number) else { continue };
            self.happen(happening);
        }
        self.finish()
    }

    fn finish(mut self) -> Outcome {
        let reigning = self.members.iter().filter(|member| member.primary);
        let newest = reigning.max_by_key(|member| member.term);
        let history: Vec<u64> = newest.map(|it| it.writes().collect()).unwrap_or_default();
        let healed = self.faults.iter().map(Fault::until).max().unwrap_or_default();
        let healed = healed.max(self.takeover) + RECOVERY;
        self.oracle.finish(&history, &self.ever, healed);
        Outcome {
            peak_running: self.members.iter().map(|it| it.peak_running).max().unwrap_or(0),
            slots: SLOTS,
            store_writes: self.store.writes,
            oracle: self.oracle,
        }
    }

    fn plan_start(&mut self) {
        for daemon in 0..DAEMONS {
            self.plan(Span::ZERO, Happening::Watch(daemon));
            self.plan(Span::ZERO, Happening::Tick(daemon));
        }
        self.plan(Span::ZERO, Happening::Replicate);
        for caller in 0..CALLERS {
            let span = self.span(100, 300);
            self.plan(span, Happening::Think(caller));
        }
        let begin = Event::BecameHome { exclusive_from: Time::default() };
        self.plan(Span::ZERO, Happening::Home(0, Box::new(begin)));
        let takeover = self.takeover;
        self.plan_at(takeover, Happening::Takeover);
    }

    fn plan(&mut self, after: Span, happening: Happening) {
        let at = self.now + after;
        self.plan_at(at, happening);
    }

    fn plan_at(&mut self, at: Time, happening: Happening) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.insert(number, happening);
        self.queue.push(Reverse((at, number)));
    }

    fn span(&mut self, from_ms: u64, to_ms: u64) -> Span {
        Span::from_micros(self.rng.random_range(from_ms * 1_000..to_ms * 1_000))
    }

    fn latency(&mut self) -> Span {
        Span::from_micros(self.rng.random_range(500..2_500))
    }

    fn is_active(&self, kind: FaultKind) -> bool {
        self.faults.iter().any(|fault| fault.kind == kind && fault.is_active(self.now))
    }

    /// Whether the platform does not answer a daemon.
    fn store_fails(&self, daemon: usize) -> bool {
        self.is_active(FaultKind::StoreDown) || self.is_active(FaultKind::StoreCut(daemon))
    }

    /// End of the pause of a daemon or member, if it is paused now.
    fn paused_until(&self, kind: FaultKind) -> Option<Time> {
        let faults = self.faults.iter().filter(|it| it.kind == kind && it.is_active(self.now));
        faults.map(Fault::until).max()
    }

    fn reaches(&self, daemon: usize, member: usize) -> bool {
        !self.is_active(FaultKind::LinkCut(daemon, member))
            && !self.is_active(FaultKind::MemberDown(member))
    }

    /// Puts off what a paused daemon or member would have to do.
    fn postponed(&self, happening: &Happening) -> Option<Time> {
        match happening {
            Happening::Tick(daemon)
            | Happening::Watch(daemon)
            | Happening::Home(daemon, _)
            | Happening::Change(daemon, _) => self.paused_until(FaultKind::DaemonPaused(*daemon)),
            Happening::Answer(req, _) => {
                let daemon = self.requests[req].daemon;
                self.paused_until(FaultKind::DaemonPaused(daemon))
            }
            Happening::Arrive(req) | Happening::Run(req) => {
                let (member, _) = self.requests[req].dispatched?;
                self.paused_until(FaultKind::MemberPaused(member))
            }
            Happening::ProbeArrives { member, .. }
            | Happening::FenceArrives { member, .. }
            | Happening::PromoteArrives { member, .. }
            | Happening::FollowArrives { member, .. } => {
                self.paused_until(FaultKind::MemberPaused(*member))
            }
            _ => None,
        }
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(until) = self.postponed(&happening) {
            self.plan_at(until, happening);
            return;
        }
        match happening {
            Happening::Tick(daemon) => {
                self.home(daemon, Event::Tick);
                self.change(daemon, leadership::Event::Tick);
                self.plan(TICK_EVERY, Happening::Tick(daemon));
            }
            Happening::Watch(daemon) => self.watch(daemon),
            Happening::Replicate => self.replicate(),
            Happening::Think(caller) => self.submit(caller),
            Happening::Takeover => {
                let exclusive_from = self.now + TRUST;
                self.home(1, Event::BecameHome { exclusive_from });
                self.change(1, leadership::Event::OwnershipRequired);
            }
            Happening::Home(daemon, event) => self.home(daemon, *event),
            Happening::Change(daemon, event) => self.change(daemon, event),
            Happening::Arrive(req) => self.arrive(req),
            Happening::Run(req) => self.run_at_member(req),
            Happening::Answer(req, answer) => self.answer(req, *answer),
            Happening::ProbeArrives { daemon, member, round, asked_at } => {
                self.probe_arrives(daemon, member, round, asked_at);
            }
            Happening::FenceArrives { daemon, member, term } => {
                self.fence_arrives(daemon, member, term);
            }
            Happening::PromoteArrives { daemon, member, term } => {
                self.promote_arrives(daemon, member, term);
            }
            Happening::FollowArrives { member, term } => {
                let node = &mut self.members[member];
                if term >= node.term && !(node.primary && node.term == term) {
                    node.fence(term);
                }
            }
            Happening::WriteArrives { daemon, expected, record } => {
                self.write_arrives(daemon, expected, record);
            }
            Happening::ReadArrives { daemon } => self.read_arrives(daemon),
        }
    }

    /// A look at the platform. Until the takeover daemon 0 holds the claim, and
    /// its trust counts from before the look.
    fn watch(&mut self, daemon: usize) {
        if !self.store_fails(daemon) {
            let record = self.store.record.clone();
            let asked_at = self.now;
            let after = self.latency();
            self.learn(daemon, record, after);
            let holds = (daemon == 0) == (asked_at < self.takeover);
            if holds && (daemon == 0 || self.daemons[1].change.owns()) {
                let until = asked_at + TRUST;
                let trust = Event::Exclusive { until };
                self.plan(after, Happening::Home(daemon, Box::new(trust)));
            }
        }
        self.plan(WATCH_EVERY, Happening::Watch(daemon));
    }

    /// What a daemon takes from a look at the platform: that it has lost its
    /// claim, or else the record of the primary.
    fn learn(&mut self, daemon: usize, record: LeadershipRecord, after: Span) {
        if daemon == 0 && self.now >= self.takeover {
            return self.plan(after, Happening::Home(0, Box::new(Event::Retired)));
        }
        self.plan(after, Happening::Change(daemon, leadership::Event::Record(record)));
    }

    fn replicate(&mut self) {
        let lag = if self.is_active(FaultKind::ReplicasLag) { FAR_BEHIND } else { USUAL_LAG };
        for index in 0..MEMBERS {
            if self.members[index].primary || !self.replicates(index) {
                continue;
            }
            let term = self.members[index].term;
            let source = (0..MEMBERS).find(|&other| {
                let member = &self.members[other];
                member.primary && member.term == term && self.replicates(other)
            });
            let behind =
                |&source: &usize| self.members[source].position() != self.members[index].position();
            if let Some(source) = source.filter(behind) {
                let log = self.members[source].log.clone();
                self.members[index].follow(self.now, &log, lag);
            }
        }
        self.plan(REPLICATE_EVERY, Happening::Replicate);
    }

    fn replicates(&self, member: usize) -> bool {
        !self.is_active(FaultKind::ReplicationCut(member))
            && !self.is_active(FaultKind::MemberDown(member))
            && !self.is_active(FaultKind::MemberPaused(member))
    }

    /// A caller submits its next request, through either daemon once both may be
    /// home.
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
            must: self.oracle.writes_of(caller),
            since: self.now,
            dispatched: None,
            answered: false,
        };
        self.requests.insert(req, request);
        let knows_tokens = caller.is_multiple_of(2);
        let submission = Submission {
            req,
            caller: CallerId::new(format!("c{caller}")),
            key: RowKey { name: "db".to_owned(), rank: Rank::Lookup },
            policy: Policy { age: Some(DATA_AGE), ..Policy::default() },
            kind,
            token: knows_tokens.then_some(self.positions[caller]),
            session: Position::default(),
            deadline: self.now + WAIT,
        };
        let after = self.latency();
        self.plan(after, Happening::Home(daemon, Box::new(Event::Submitted(submission))));
    }

    fn home(&mut self, daemon: usize, event: Event) {
        let mut actions = Vec::new();
        self.daemons[daemon].home.handle(self.now, event, &mut actions);
        for action in actions {
            self.home_action(daemon, action);
        }
    }

    fn change(&mut self, daemon: usize, event: leadership::Event) {
        let mut actions = Vec::new();
        self.daemons[daemon].change.handle(self.now, event, &mut actions);
        for action in actions {
            self.change_action(daemon, action);
        }
    }

    fn home_action(&mut self, daemon: usize, action: Action) {
        let after = self.latency();
        match action {
            Action::Dispatch(dispatch) => {
                let mut member = member_index(&dispatch.member);
                let is_read = self.requests[&dispatch.req].write.is_none();
                if self.mutation == Mutation::IgnoreWritePositions && is_read {
                    member = self.rng.random_range(0..MEMBERS);
                }
                self.note_dispatch(dispatch.req, (member, dispatch.term));
                if self.reaches(daemon, member) {
                    self.plan(after, Happening::Arrive(dispatch.req));
                } else {
                    let broken = Box::new(Answer::Broken);
                    self.requests.entry(dispatch.req).and_modify(|it| it.dispatched = None);
                    self.plan(after, Happening::Answer(dispatch.req, broken));
                }
            }
            Action::Refuse { req, .. } => self.refused(req),
            Action::Acknowledge { req } => self.acknowledged(req),
            Action::Unresolved { req, .. } => self.unresolved(req),
            Action::Probe { round } => {
                for member in 0..MEMBERS {
                    let after = self.latency();
                    let asked_at = self.now;
                    self.plan(after, Happening::ProbeArrives { daemon, member, round, asked_at });
                }
            }
            Action::Warm { member } => {
                let open = self.reaches(daemon, member_index(&member));
                let warmed = Event::Warmed { member, open };
                self.plan(after, Happening::Home(daemon, Box::new(warmed)));
            }
            Action::Suspect { term, .. } => {
                self.change(daemon, leadership::Event::Suspected { term });
            }
            Action::NewerTerm { term } => {
                self.change(daemon, leadership::Event::TermObserved(term));
                self.plan(after, Happening::ReadArrives { daemon });
            }
            Action::Repoint { member, term, .. } => {
                let member = member_index(&member);
                if self.reaches(daemon, member) {
                    self.plan(after, Happening::FollowArrives { member, term });
                }
            }
            Action::RunPinned { .. } => {}
        }
    }

    fn note_dispatch(&mut self, req: RequestId, to: (usize, Term)) {
        if let Some(request) = self.requests.get_mut(&req) {
            request.dispatched = Some(to);
        }
    }

    fn change_action(&mut self, daemon: usize, action: leadership::Action) {
        let after = self.latency();
        match action {
            leadership::Action::CheckReachability { primary } => {
                let member = member_index(&primary);
                let other = 1 - daemon;
                let sees = self.reaches(other, member)
                    && !self.is_active(FaultKind::MemberPaused(member))
                    && self.members[member].primary;
                let paused = self.is_active(FaultKind::DaemonPaused(other));
                let event =
                    leadership::Event::ReachabilityChecked { reachable: (!paused).then_some(sees) };
                self.plan(after, Happening::Change(daemon, event));
            }
            leadership::Action::Write { expected, record } => {
                self.plan(after, Happening::WriteArrives { daemon, expected, record });
            }
            leadership::Action::Read => self.plan(after, Happening::ReadArrives { daemon }),
            leadership::Action::Fence { term } => {
                for member in 0..MEMBERS {
                    let after = self.latency();
                    self.plan(after, Happening::FenceArrives { daemon, member, term });
                }
            }
            leadership::Action::Promote { member, term } => {
                let member = member_index(&member);
                self.plan(after, Happening::PromoteArrives { daemon, member, term });
            }
            leadership::Action::SetPrimary { term, primary } => {
                self.home(daemon, Event::PrimaryRecorded { term, primary });
                self.abandon_running(daemon, term);
            }
            leadership::Action::LogDecision { .. } => {}
        }
    }

    /// Requests at a primary of the past are given up by their sessions.
    fn abandon_running(&mut self, daemon: usize, term: Term) {
        let old = self.requests.iter().filter(|(_, request)| {
            request.daemon == daemon
                && !request.answered
                && request.dispatched.is_some_and(|(_, under)| under < term)
        });
        let mut old: Vec<RequestId> = old.map(|(req, _)| *req).collect();
        old.sort_unstable();
        for req in old {
            self.plan(Span::ZERO, Happening::Answer(req, Box::new(Answer::Broken)));
        }
    }

    fn arrive(&mut self, req: RequestId) {
        let request = &self.requests[&req];
        let Some((member, term)) = request.dispatched else { return };
        if self.is_active(FaultKind::MemberDown(member)) {
            return self.plan(Span::ZERO, Happening::Answer(req, Box::new(Answer::Broken)));
        }
        if self.members[member].term != term {
            let after = self.latency();
            return self.plan(after, Happening::Answer(req, Box::new(Answer::Stale)));
        }
        let node = &mut self.members[member];
        node.running += 1;
        node.peak_running = node.peak_running.max(node.running);
        let service = self.span(1, 5);
        self.plan(service, Happening::Run(req));
    }

    fn run_at_member(&mut self, req: RequestId) {
        let request = self.requests[&req].clone();
        let Some((member, term)) = request.dispatched else { return };
        let now = self.now;
        let down = self.is_active(FaultKind::MemberDown(member));
        let node = &mut self.members[member];
        node.running -= 1;
        let answer = match request.write {
            _ if down => Answer::Broken,
            _ if node.term != term => Answer::Stale,
            Some(_) if !node.primary => Answer::Stale,
            Some(write) => {
                self.ever.insert(write);
                Answer::Written(node.append(now, Some(write)))
            }
            None => Answer::Seen(node.writes().collect(), !node.primary),
        };
        let answer = if self.reaches(request.daemon, member) { answer } else { Answer::Broken };
        let after = if matches!(answer, Answer::Broken) { SILENCE } else { self.latency() };
        self.plan(after, Happening::Answer(req, Box::new(answer)));
    }

    fn answer(&mut self, req: RequestId, answer: Answer) {
        let request = self.requests[&req].clone();
        if request.answered {
            return;
        }
        let daemon = request.daemon;
        let (result, connection) = match &answer {
            Answer::Stale => (RunResult::StaleTerm, ConnectionState::Idle),
            Answer::Broken => (RunResult::Broken, ConnectionState::Closed),
            Answer::Written(_) | Answer::Seen(..) => (RunResult::Answered, ConnectionState::Idle),
        };
        let service = self.now.since(request.since);
        self.requests.entry(req).and_modify(|it| it.answered = true);
        self.home(daemon, Event::Finished(Finished { req, service, result, connection }));
        match answer {
            Answer::Written(position) => self.written(req, &request, position),
            Answer::Seen(seen, replica) => {
                self.oracle.read(request.caller, &request.must, &seen, replica);
                self.think(request.caller);
            }
            Answer::Stale => self.refused_by_member(req),
            Answer::Broken if request.write.is_some() && request.dispatched.is_some() => {
                self.lost(req, &request);
            }
            Answer::Broken => self.refused_by_member(req),
        }
    }

    fn written(&mut self, req: RequestId, request: &Request, position: Position) {
        self.requests.entry(req).and_modify(|it| it.since = self.now);
        if self.mutation == Mutation::AcknowledgeEarly {
            self.remember(request.caller, position);
            return self.acknowledged(req);
        }
        let commit = Commit {
            req,
            caller: CallerId::new(format!("c{}", request.caller)),
            position,
            ack: Acknowledgement::Replica,
        };
        self.remember(request.caller, position);
        self.home(request.daemon, Event::Committed(commit));
    }

    fn remember(&mut self, caller: usize, position: Position) {
        self.positions[caller] = self.positions[caller].max(position);
    }

    /// The answer of a submission that was sent is lost.
    fn lost(&mut self, req: RequestId, request: &Request) {
        if self.mutation != Mutation::RetryInDoubt {
            return self.unresolved(req);
        }
        let again = RequestId::new(1_000_000 + self.next_request);
        self.next_request += 1;
        let retry = Request { dispatched: None, answered: false, ..request.clone() };
        self.requests.insert(again, retry);
        let submission = Submission {
            req: again,
            caller: CallerId::new(format!("c{}", request.caller)),
            key: RowKey { name: "db".to_owned(), rank: Rank::Lookup },
            policy: Policy::default(),
            kind: StatementKind::Write,
            token: None,
            session: Position::default(),
            deadline: self.now + WAIT,
        };
        self.home(request.daemon, Event::Submitted(submission));
    }

    fn acknowledged(&mut self, req: RequestId) {
        let request = self.requests[&req].clone();
        if let Some(write) = request.write {
            self.oracle.acknowledge(self.now, request.caller, write);
        }
        self.think(request.caller);
    }

    fn unresolved(&mut self, req: RequestId) {
        let caller = self.requests[&req].caller;
        self.think(caller);
    }

    /// The home refuses a request before anything was sent.
    fn refused(&mut self, req: RequestId) {
        self.requests.entry(req).and_modify(|it| it.answered = true);
        self.refused_by_member(req);
    }

    fn refused_by_member(&mut self, req: RequestId) {
        let request = self.requests[&req].clone();
        if let (Some(write), true) = (request.write, req < RequestId::new(1_000_000)) {
            self.oracle.refuse(write);
        }
        self.think(request.caller);
    }

    fn think(&mut self, caller: usize) {
        let span = self.span(10, 60);
        self.plan(span, Happening::Think(caller));
    }

    fn probe_arrives(&mut self, daemon: usize, member: usize, round: u64, asked_at: Time) {
        if !self.reaches(daemon, member) {
            return;
        }
        let status = self.members[member].status();
        let reply = ProbeReply { member, round, asked_at, status };
        let after = self.latency();
        self.plan(after, Happening::Home(daemon, Box::new(Event::Probed(reply))));
        if status.primary {
            let event = leadership::Event::PrimaryAnswered { term: status.term };
            self.plan(after, Happening::Change(daemon, event));
        }
    }

    fn fence_arrives(&mut self, daemon: usize, member: usize, term: Term) {
        if !self.reaches(daemon, member) {
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
        let after = self.latency();
        self.plan(after, Happening::Change(daemon, leadership::Event::Fenced(reply)));
    }

    fn promote_arrives(&mut self, daemon: usize, member: usize, term: Term) {
        if !self.reaches(daemon, member) {
            return;
        }
        if self.mutation == Mutation::SkipFence {
            self.members[member].fence(term);
        }
        let done = self.members[member].promote(self.now, term);
        let event = leadership::Event::Promoted { member: member_id(member), term, done };
        let after = self.latency();
        self.plan(after, Happening::Change(daemon, event));
    }

    fn write_arrives(&mut self, daemon: usize, expected: u64, record: LeadershipRecord) {
        let after = self.latency();
        let event = if self.store_fails(daemon) {
            leadership::Event::WriteUnknown
        } else {
            match self.store.write(expected, record) {
                _ if self.is_active(FaultKind::RepliesLost) => leadership::Event::WriteUnknown,
                Ok(version) => leadership::Event::Written { version },
                Err(record) => return self.learn(daemon, record, after),
            }
        };
        self.plan(after, Happening::Change(daemon, event));
    }

    fn read_arrives(&mut self, daemon: usize) {
        let after = self.latency();
        if self.store_fails(daemon) {
            return self.plan(after, Happening::Change(daemon, leadership::Event::ReadFailed));
        }
        let record = self.store.record.clone();
        self.learn(daemon, record, after);
    }
}
