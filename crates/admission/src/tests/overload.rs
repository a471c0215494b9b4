//! More reads than a group can serve, for some seconds, and callers who come back.

use std::collections::{BTreeMap, VecDeque};

use base::{Rank, Span, Time};
use table::{Policy, RowKey};

use crate::{Discipline, Lane, QueueRequest, Scheduler};

/// Time between two arrivals, and of a service: half as many again arrive as can be
/// served, as when both replicas of a group are behind and the primary serves every
/// read.
const ARRIVAL_EVERY: Span = Span::from_millis(4);
const SERVICE: Span = Span::from_millis(6);
const OVERLOAD_MS: u64 = 6_000;
const CALM_MS: u64 = 4_000;
const TARGET: Span = Span::from_millis(400);
/// Pause of a caller before it comes back after a refusal, and how often it does.
const PAUSE: Span = Span::from_millis(50);
const RETRIES: u32 = 2;

/// How the callers of one site behave.
#[derive(Clone, Copy, Debug)]
struct Site {
    /// How long a caller waits for its answer in all.
    deadline: Span,
    /// What an answer in time is worth, if a late one is worth 1.
    worth_in_time: u32,
}

/// Prensa Sul's bookings and Kurume's rosters, by the sheets of both users.
const PRENSA_SUL: Site = Site { deadline: Span::from_millis(1_000), worth_in_time: 20 };
const KURUME: Site = Site { deadline: Span::from_millis(4_000), worth_in_time: 7 };

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    in_time: u32,
    late: u32,
    /// Callers who were told that nothing ran, and had no retry left.
    refused: u32,
    /// Callers who heard nothing before their time ran out.
    unanswered: u32,
    /// Longest wait of a request that was refused.
    longest_refusal: Span,
}

impl Served {
    fn all(self) -> u32 {
        self.in_time + self.late
    }

    fn worth(self, site: Site) -> u32 {
        self.in_time * site.worth_in_time + self.late
    }
}

/// A caller's operation.
#[derive(Clone, Copy, Debug)]
struct Caller {
    first: Time,
    retries: u32,
}

/// One server; an overload, then a calm in which nothing new arrives.
struct Replay {
    site: Site,
    scheduler: Scheduler<usize>,
    callers: Vec<Caller>,
    /// Request by number: whose it is, and when it came.
    requests: Vec<(usize, Time)>,
    coming_back: BTreeMap<Time, VecDeque<usize>>,
    served: Served,
    gives_up: bool,
}

impl Replay {
    fn run(site: Site, discipline: Discipline, gives_up: bool) -> Served {
        let mut replay = Replay {
            site,
            scheduler: Scheduler::new(discipline),
            callers: Vec::new(),
            requests: Vec::new(),
            coming_back: BTreeMap::new(),
            served: Served::default(),
            gives_up,
        };
        let mut busy_until = Time::default();
        for millis in 0..OVERLOAD_MS + CALM_MS {
            let now = Time::from_micros(millis * 1_000);
            replay.arrive(now, millis);
            replay.end_waits(now);
            if now >= busy_until
                && let Some(picked) = replay.scheduler.pick(now, Lane::Primary, 1)
            {
                busy_until = now + SERVICE;
                replay.scheduler.finish(&picked.key, SERVICE);
                replay.answer(picked.item, busy_until);
            }
        }
        replay.served
    }

    fn arrive(&mut self, now: Time, millis: u64) {
        if millis < OVERLOAD_MS && millis.is_multiple_of(ARRIVAL_EVERY.as_millis()) {
            self.callers.push(Caller { first: now, retries: RETRIES });
            self.ask(self.callers.len() - 1, now);
        }
        while let Some(entry) = self.coming_back.first_entry().filter(|it| *it.key() <= now) {
            for caller in entry.remove() {
                self.ask(caller, now);
            }
        }
    }

    /// A retry is a new request: the daemon does not know when its caller first asked.
    fn ask(&mut self, caller: usize, now: Time) {
        let request = self.requests.len();
        self.requests.push((caller, now));
        let queued = QueueRequest {
            item: request,
            key: RowKey { name: "orders".to_owned(), rank: Rank::Lookup },
            policy: Policy { target: Some(TARGET), ..Policy::default() },
            lane: Lane::Primary,
            since: now,
            deadline: self.callers[caller].first + self.site.deadline,
        };
        if self.scheduler.enqueue(now, queued).is_err() {
            self.refuse(request, now);
        }
    }

    fn end_waits(&mut self, now: Time) {
        for _ in self.scheduler.expire(now) {
            self.served.unanswered += 1;
        }
        if self.gives_up {
            for request in self.scheduler.shed_late(now) {
                self.refuse(request, now);
            }
        }
    }

    fn refuse(&mut self, request: usize, now: Time) {
        let (caller, since) = self.requests[request];
        self.served.longest_refusal = self.served.longest_refusal.max(now.since(since));
        let Caller { first, retries } = &mut self.callers[caller];
        let back = now + PAUSE;
        if *retries > 0 && back < *first + self.site.deadline {
            *retries -= 1;
            self.coming_back.entry(back).or_default().push_back(caller);
        } else {
            self.served.refused += 1;
        }
    }

    fn answer(&mut self, request: usize, at: Time) {
        let (caller, _) = self.requests[request];
        let whole = at.since(self.callers[caller].first);
        if whole <= TARGET {
            self.served.in_time += 1;
        } else if whole <= self.site.deadline {
            self.served.late += 1;
        } else {
            self.served.unanswered += 1;
        }
    }
}

#[test]
fn under_overload_most_are_in_time_and_the_late_ones_run_in_the_calm() {
    let late_last = Replay::run(KURUME, Discipline::DeferLate, true);
    let first_come = Replay::run(KURUME, Discipline::FirstCome, false);
    let full = Replay::run(KURUME, Discipline::Full, false);
    // What one server can do during the overload.
    let possible = (OVERLOAD_MS / SERVICE.as_millis()) as u32;
    assert!(late_last.in_time >= possible * 9 / 10, "{late_last:?} of {possible}");
    assert!(late_last.in_time >= first_come.in_time * 4, "{late_last:?} {first_come:?}");
    assert!(late_last.all() >= full.all() * 11 / 10, "{late_last:?} {full:?}");
    assert!(late_last.worth(KURUME) >= first_come.worth(KURUME) * 2, "{late_last:?}");
    assert!(late_last.worth(KURUME) >= full.worth(KURUME), "{late_last:?} {full:?}");
}

/// Callers hear that nothing ran instead of nothing at all, and lose little by it: a
/// refused one that comes back takes the place of another.
#[test]
fn late_requests_without_hope_are_refused_before_their_time_runs_out() {
    fn check(site: Site, worth_kept_percent: u32) {
        let held = Replay::run(site, Discipline::DeferLate, false);
        let given_up = Replay::run(site, Discipline::DeferLate, true);
        assert!(held.unanswered > 0, "{held:?}");
        assert_eq!(given_up.unanswered, 0, "{given_up:?}");
        assert!(given_up.longest_refusal < site.deadline, "{given_up:?}");
        let (before, after) = (held.worth(site), given_up.worth(site));
        assert!(after * 100 >= before * worth_kept_percent, "{held:?} {given_up:?}");
    }
    check(PRENSA_SUL, 99);
    check(KURUME, 95);
}
