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
    output::Report,
    sample::Sample,
};

const MEMBERS: usize = 3;
const TICK: Span = Span::from_millis(10);
const PROBE_LATENCY: Span = Span::from_millis(2);
const WAIT: Span = Span::from_millis(30_000);
/// Time at the beginning that does not count.
const WARM_UP: Span = Span::from_millis(2_000);
const MICROS_PER_SECOND: f64 = 1e6;

/// Runs the load at each factor, under the system's policy and the baselines.
pub(crate) fn run(spec: &FloodSpec, seed: u64, report: &mut Report) {
    let disciplines = [
        ("full", Discipline::Full),
        ("first-come", Discipline::FirstCome),
        ("strict", Discipline::StrictPriority),
    ];
    for (variant, discipline) in disciplines {
        for &factor in &spec.factors {
            let results = Flood::new(spec, seed, factor, discipline).run();
            results.report(spec, variant, factor, report);
        }
    }
}

/// One group under load, in virtual time.
struct Flood<'a> {
    spec: &'a FloodSpec,
    factor: f64,
    rng: ChaCha12Rng,
    now: Time,
    end: Time,
    home: Home,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: FastMap<u64, Happening>,
    next: u64,
    requests: FastMap<RequestId, (usize, Time)>,
    results: Results,
    term: Term,
    reigns: bool,
}

#[derive(Clone, Copy, Debug)]
enum Happening {
    Arrive(usize),
    End(RequestId, Time),
    Probed(u64, Time),
    Warmed(usize),
    Reign(Term, bool),
    Tick,
}

/// What became of the requests, by class.
struct Results {
    latency: Vec<Sample>,
    served: Vec<u64>,
    refused: Vec<u64>,
    slot_micros: Vec<u64>,
    reads: u64,
    replica_reads: u64,
    seconds: f64,
}

impl<'a> Flood<'a> {
    fn new(spec: &'a FloodSpec, seed: u64, factor: f64, discipline: Discipline) -> Flood<'a> {
        let members = (0..MEMBERS).map(|index| MemberConfig {
            id: member(index),
            zone: Zone::new("z"),
            capacity: Capacity { slots: spec.slots, connections: spec.connections },
        });
        let mut cfg = HomeConfig::new(GroupId::new("g"), Zone::new("z"), members.collect());
        cfg.discipline = discipline;
        let classes = spec.classes.len();
        Flood {
            spec,
            factor,
            rng: ChaCha12Rng::seed_from_u64(seed),
            now: Time::default(),
            end: Time::default() + Span::from_millis(spec.seconds * 1_000) + WARM_UP,
            home: Home::new(cfg),
            queue: BinaryHeap::new(),
            happenings: FastMap::default(),
            next: 0,
            requests: FastMap::default(),
            term: Term::new(1),
            reigns: true,
            results: Results {
                latency: vec![Sample::new(); classes],
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
        let reign = Event::PrimaryRecorded { term: Term::new(1), primary: Some(member(0)) };
        self.feed(reign);
        self.feed(Event::BecameHome { exclusive_from: Time::default() });
        self.feed(Event::Exclusive { until: self.end + WAIT });
        if let Some([from, until]) = self.spec.no_primary_s {
            let at = |seconds: u64| WARM_UP + Span::from_millis(seconds * 1_000);
            self.plan(at(from), Happening::Reign(Term::new(2), false));
            self.plan(at(until), Happening::Reign(Term::new(2), true));
        }
        self.plan(Span::ZERO, Happening::Tick);
        for class in 0..self.spec.classes.len() {
            let gap = self.gap(class);
            self.plan(WARM_UP + gap, Happening::Arrive(class));
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            let Some(happening) = self.happenings.remove(&number) else { continue };
            self.happen(happening);
        }
        self.results
    }

    fn plan(&mut self, after: Span, happening: Happening) {
        let number = self.next;
        self.next += 1;
        self.happenings.insert(number, happening);
        self.queue.push(Reverse((self.now + after, number)));
    }

    fn class(&self, class: usize) -> &'a ClassSpec {
        &self.spec.classes[class]
    }

    /// Time to a class's next arrival, whether or not earlier ones were served.
    fn gap(&mut self, class: usize) -> Span {
        let spec = self.class(class);
        let rate = if spec.floods { spec.rate * self.factor } else { spec.rate };
        self.exponential(MICROS_PER_SECOND / rate)
    }

    fn exponential(&mut self, mean_micros: f64) -> Span {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Span::from_micros((-uniform.ln() * mean_micros) as u64)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(class) => {
                let gap = self.gap(class);
                self.plan(gap, Happening::Arrive(class));
                self.arrive(class);
            }
            Happening::End(req, since) => self.end_request(req, since),
            Happening::Probed(round, asked_at) => {
                for member in 0..MEMBERS {
                    let position = self.position(member, asked_at);
                    let status = MemberStatus {
                        term: self.term,
                        primary: member == 0 && self.reigns,
                        position,
                        origin: Position::default(),
                        log_end: position,
                    };
                    self.feed(Event::Probed(ProbeReply { member, round, asked_at, status }));
                }
            }
            Happening::Warmed(index) => {
                self.feed(Event::Warmed { member: member(index), open: true });
            }
            Happening::Reign(term, reigns) => {
                (self.term, self.reigns) = (term, reigns);
                self.feed(Event::PrimaryRecorded { term, primary: reigns.then(|| member(0)) });
            }
            Happening::Tick => {
                self.feed(Event::Tick);
                self.plan(TICK, Happening::Tick);
            }
        }
    }

    /// Where a member's log ends: the primary writes all the time, replicas follow
    /// at once unless they stand still.
    fn position(&self, member: usize, now: Time) -> Position {
        let second = |seconds: u64| Time::default() + WARM_UP + Span::from_millis(seconds * 1_000);
        let still = self.spec.replicas_still_s.map(|[from, until]| (second(from), second(until)));
        let end = match still {
            Some((from, until)) if member != 0 && from <= now && now < until => from,
            _ => now,
        };
        Position { term: self.term, index: end.as_micros() }
    }

    fn arrive(&mut self, class: usize) {
        let req = RequestId::new(self.next);
        self.next += 1;
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
            deadline: self.now + WAIT,
        };
        self.feed(Event::Submitted(submission));
    }

    fn end_request(&mut self, req: RequestId, since: Time) {
        let service = self.now.since(since);
        let (result, connection) = (RunResult::Answered, ConnectionState::Idle);
        if let Some((class, arrived)) = self.requests.remove(&req) {
            self.results.served[class] += 1;
            self.results.slot_micros[class] += service.as_micros();
            self.results.latency[class].record(self.now.since(arrived).as_micros());
        }
        self.feed(Event::Finished(Finished { req, service, result, connection }));
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.home.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
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
                self.plan(service, Happening::End(dispatch.req, since));
            }
            Action::Refuse { req, .. } => {
                if let Some((class, _)) = self.requests.remove(&req) {
                    self.results.refused[class] += 1;
                }
            }
            Action::Probe { round } => {
                let asked_at = self.now;
                self.plan(PROBE_LATENCY, Happening::Probed(round, asked_at));
            }
            Action::Warm { member: id } => {
                let index = (0..MEMBERS).find(|&index| member(index) == id);
                if let Some(index) = index {
                    self.plan(Span::from_millis(10), Happening::Warmed(index));
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
