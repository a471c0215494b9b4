use std::{cmp::Reverse, collections::BinaryHeap};

use admission::Discipline;
use base::{
    CallerId, FastMap, GroupId, MemberId, Position, Rank, RequestId, Span, StatementKind, Term,
    Time, Zone,
};
use home::{
    Action, ConnectionState, Event, Finished, Home, HomeConfig, MemberConfig, MemberStatus,
    ProbeReply, RunResult, Submission,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use routing::Capacity;
use table::{Policy, RowKey};

use crate::{
    experiment::{ClassSpec, FloodSpec},
    latency_histogram::LatencyHistogram,
    output::Report,
};

const MEMBERS: usize = 3;
const TICK_INTERVAL: Span = Span::from_millis(10);
const PROBE_LATENCY: Span = Span::from_millis(2);
const REQUEST_TIMEOUT: Span = Span::from_millis(30_000);
/// Virtual time before the load starts, in which the home probes its members.
const WARM_UP: Span = Span::from_millis(2_000);
const MICROS_PER_SECOND: f64 = 1e6;

/// Runs the load at each factor, under the proxy's own queueing discipline and two baselines.
pub(crate) fn run(spec: &FloodSpec, seed: u64, report: &mut Report) {
    let disciplines = [
        ("full", Discipline::Full),
        ("first-come", Discipline::FirstCome),
        ("strict", Discipline::StrictPriority),
    ];
    for (variant, discipline) in disciplines {
        for &factor in &spec.factors {
            let results = FloodSimulation::new(spec, seed, factor, discipline).run();
            results.report(spec, variant, factor, report);
        }
    }
}

/// Discrete-event simulation of one group and its home under load.
struct FloodSimulation<'a> {
    spec: &'a FloodSpec,
    factor: f64,
    rng: ChaCha12Rng,
    now: Time,
    end: Time,
    home: Home,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: FastMap<u64, SimEvent>,
    next_id: u64,
    requests: FastMap<RequestId, (usize, Time)>,
    results: Results,
    term: Term,
    reigns: bool,
}

#[derive(Clone, Copy, Debug)]
enum SimEvent {
    RequestArrives(usize),
    RequestEnds(RequestId, Time),
    Probed(u64, Time),
    Warmed(usize),
    PrimaryRecorded(Term, bool),
    Tick,
}

/// Outcomes of the requests. The vectors are indexed by class.
struct Results {
    latency: Vec<LatencyHistogram>,
    served: Vec<u64>,
    refused: Vec<u64>,
    slot_micros: Vec<u64>,
    reads: u64,
    replica_reads: u64,
    seconds: f64,
}

impl<'a> FloodSimulation<'a> {
    fn new(
        spec: &'a FloodSpec,
        seed: u64,
        factor: f64,
        discipline: Discipline,
    ) -> FloodSimulation<'a> {
        let members = (0..MEMBERS).map(|index| MemberConfig {
            id: member(index),
            zone: Zone::new("z"),
            capacity: Capacity { slots: spec.slots, connections: spec.connections },
        });
        let mut cfg = HomeConfig::new(GroupId::new("g"), Zone::new("z"), members.collect());
        cfg.discipline = discipline;
        let classes = spec.classes.len();
        FloodSimulation {
            spec,
            factor,
            rng: ChaCha12Rng::seed_from_u64(seed),
            now: Time::default(),
            end: Time::default() + Span::from_millis(spec.seconds * 1_000) + WARM_UP,
            home: Home::new(cfg),
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            next_id: 0,
            requests: FastMap::default(),
            term: Term::new(1),
            reigns: true,
            results: Results {
                latency: vec![LatencyHistogram::new(); classes],
                served: vec![0; classes],
                refused: vec![0; classes],
                slot_micros: vec![0; classes],
                reads: 0,
                replica_reads: 0,
                seconds: spec.seconds as f64,
            },
        }
    }

    fn run(mut self) -> Results {
        let primary_recorded =
            Event::PrimaryRecorded { term: Term::new(1), primary: Some(member(0)) };
        self.feed_home(primary_recorded);
        self.feed_home(Event::BecameHome { exclusive_from: Time::default() });
        self.feed_home(Event::Exclusive { until: self.end + REQUEST_TIMEOUT });
        if let Some([from, until]) = self.spec.no_primary_s {
            let at = |seconds: u64| WARM_UP + Span::from_millis(seconds * 1_000);
            self.schedule(at(from), SimEvent::PrimaryRecorded(Term::new(2), false));
            self.schedule(at(until), SimEvent::PrimaryRecorded(Term::new(2), true));
        }
        self.schedule(Span::ZERO, SimEvent::Tick);
        for class in 0..self.spec.classes.len() {
            let interval = self.random_interarrival(class);
            self.schedule(WARM_UP + interval, SimEvent::RequestArrives(class));
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            let Some(sim_event) = self.events.remove(&number) else { continue };
            self.process(sim_event);
        }
        self.results
    }

    fn schedule(&mut self, after: Span, sim_event: SimEvent) {
        let number = self.next_id;
        self.next_id += 1;
        self.events.insert(number, sim_event);
        self.queue.push(Reverse((self.now + after, number)));
    }

    fn class(&self, class: usize) -> &'a ClassSpec {
        &self.spec.classes[class]
    }

    /// Time to the next arrival of a class. Arrivals are a Poisson process, independent of
    /// whether earlier requests were served.
    fn random_interarrival(&mut self, class: usize) -> Span {
        let spec = self.class(class);
        let rate = if spec.floods { spec.rate * self.factor } else { spec.rate };
        self.exponential(MICROS_PER_SECOND / rate)
    }

    fn exponential(&mut self, mean_micros: f64) -> Span {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Span::from_micros((-uniform.ln() * mean_micros) as u64)
    }

    fn process(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::RequestArrives(class) => {
                let interval = self.random_interarrival(class);
                self.schedule(interval, SimEvent::RequestArrives(class));
                self.request_arrives(class);
            }
            SimEvent::RequestEnds(req, since) => self.end_request(req, since),
            SimEvent::Probed(round, asked_at) => {
                for member in 0..MEMBERS {
                    let position = self.position(member, asked_at);
                    let status = MemberStatus {
                        term: self.term,
                        primary: member == 0 && self.reigns,
                        position,
                        origin: Position::default(),
                        log_end: position,
                    };
                    self.feed_home(Event::Probed(ProbeReply { member, round, asked_at, status }));
                }
            }
            SimEvent::Warmed(index) => {
                self.feed_home(Event::Warmed { member: member(index), open: true });
            }
            SimEvent::PrimaryRecorded(term, reigns) => {
                (self.term, self.reigns) = (term, reigns);
                self.feed_home(Event::PrimaryRecorded { term, primary: reigns.then(|| member(0)) });
            }
            SimEvent::Tick => {
                self.feed_home(Event::Tick);
                self.schedule(TICK_INTERVAL, SimEvent::Tick);
            }
        }
    }

    /// End of a member's log at `now`. The primary's log grows continuously, and replicas follow
    /// without lag except during `replicas_still_s`.
    fn position(&self, member: usize, now: Time) -> Position {
        let time_of = |seconds: u64| Time::default() + WARM_UP + Span::from_millis(seconds * 1_000);
        let stall = self.spec.replicas_still_s.map(|[from, until]| (time_of(from), time_of(until)));
        let end = match stall {
            Some((from, until)) if member != 0 && from <= now && now < until => from,
            _ => now,
        };
        Position { term: self.term, index: end.as_micros() }
    }

    fn request_arrives(&mut self, class: usize) {
        let req = RequestId::new(self.next_id);
        self.next_id += 1;
        self.requests.insert(req, (class, self.now));
        let spec = self.class(class);
        let kind = if spec.writes { StatementKind::Write } else { StatementKind::Read };
        let submission = Submission {
            req,
            caller: CallerId::new("caller"),
            key: RowKey { name: "db".to_owned(), rank: spec.rank },
            policy: policy(spec),
            kind,
            token: None,
            session: Position::default(),
            deadline: self.now + REQUEST_TIMEOUT,
        };
        self.feed_home(Event::Submitted(submission));
    }

    fn end_request(&mut self, req: RequestId, since: Time) {
        let service = self.now.since(since);
        let (result, connection) = (RunResult::Answered, ConnectionState::Idle);
        if let Some((class, arrived)) = self.requests.remove(&req) {
            self.results.served[class] += 1;
            self.results.slot_micros[class] += service.as_micros();
            self.results.latency[class].record(self.now.since(arrived).as_micros());
        }
        self.feed_home(Event::Finished(Finished { req, service, result, connection }));
    }

    fn feed_home(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.home.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => {
                let Some(&(class, _)) = self.requests.get(&dispatch.req) else { return };
                let spec = self.class(class);
                if !spec.writes && spec.age_ms > 0 {
                    self.results.reads += 1;
                    self.results.replica_reads += u64::from(dispatch.member != member(0));
                }
                let service = self.exponential(spec.service_ms * 1_000.0);
                let since = self.now;
                self.schedule(service, SimEvent::RequestEnds(dispatch.req, since));
            }
            Action::Refuse { req, .. } => {
                if let Some((class, _)) = self.requests.remove(&req) {
                    self.results.refused[class] += 1;
                }
            }
            Action::Probe { round } => {
                let asked_at = self.now;
                self.schedule(PROBE_LATENCY, SimEvent::Probed(round, asked_at));
            }
            Action::Warm { member: id } => {
                let index = (0..MEMBERS).find(|&index| member(index) == id);
                if let Some(index) = index {
                    self.schedule(Span::from_millis(10), SimEvent::Warmed(index));
                }
            }
            _ => {}
        }
    }
}

impl Results {
    fn report(&self, spec: &FloodSpec, variant: &str, factor: f64, report: &mut Report) {
        let capacity = (self.seconds * MICROS_PER_SECOND) * f64::from(spec.slots);
        for (class, spec) in spec.classes.iter().enumerate() {
            let rank: Rank = spec.rank;
            let at_primary = spec.writes || spec.age_ms == 0;
            let lane_members = if at_primary { 1.0 } else { (MEMBERS - 1) as f64 };
            let share = self.slot_micros[class] as f64 / (capacity * lane_members);
            let latency = &self.latency[class];
            report.add(variant, factor, format!("{rank} p50 ms"), latency.quantile_ms(0.5));
            report.add(variant, factor, format!("{rank} p99 ms"), latency.quantile_ms(0.99));
            let served = self.served[class] as f64 / self.seconds;
            report.add(variant, factor, format!("{rank} served a second"), served);
            let refused = self.refused[class] as f64 / self.seconds;
            report.add(variant, factor, format!("{rank} refused a second"), refused);
            report.add(variant, factor, format!("{rank} slot share percent"), share * 100.0);
        }
        let slot_seconds: u64 = self.slot_micros.iter().sum();
        let goodput = slot_seconds as f64 / MICROS_PER_SECOND / self.seconds;
        report.add(variant, factor, "goodput in slots", goodput);
        if self.reads > 0 {
            let share = self.replica_reads as f64 / self.reads as f64 * 100.0;
            report.add(variant, factor, "replica share percent", share);
        }
    }
}

fn member(index: usize) -> MemberId {
    MemberId::new(format!("m{index}"))
}

fn policy(spec: &ClassSpec) -> Policy {
    let span = |millis: u64| (millis > 0).then_some(Span::from_millis(millis));
    Policy {
        floor: spec.floor,
        queue: (spec.queue > 0).then_some(spec.queue),
        target: span(spec.target_ms),
        age: span(spec.age_ms),
        ..Policy::default()
    }
}
