use base::{Rank, Span, Time};
use table::{Policy, RowKey};

use crate::{Lane, Policing, Scheduler, Ticket};

/// Time between two arrivals, and of a service: half as many again arrive as can be
/// served, as when both replicas of a group are behind and the primary serves every
/// read.
const ARRIVAL_EVERY: Span = Span::from_millis(4);
const SERVICE: Span = Span::from_millis(6);
const OVERLOAD_MS: u64 = 6_000;
const CALM_MS: u64 = 4_000;
const TARGET: Span = Span::from_millis(400);
const DEADLINE: Span = Span::from_millis(4_000);

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// One server; an overload, then a calm in which nothing arrives.
fn run(policing: Policing) -> Served {
    let mut scheduler = Scheduler::new(policing);
    let key = RowKey { name: "orders".to_owned(), rank: Rank::Lookup };
    let policy = Policy { target: Some(TARGET), ..Policy::default() };
    let (mut served, mut arrived) = (Served::default(), Vec::new());
    let mut busy_until = Time::default();
    for millis in 0..OVERLOAD_MS + CALM_MS {
        let now = Time::from_micros(millis * 1_000);
        if millis < OVERLOAD_MS && millis % ARRIVAL_EVERY.as_millis() == 0 {
            let ticket = Ticket {
                item: arrived.len(),
                key: key.clone(),
                policy,
                lane: Lane::Primary,
                since: now,
                deadline: now + DEADLINE,
            };
            arrived.push(now);
            served.refused += u32::from(scheduler.offer(now, ticket).is_err());
        }
        served.refused += scheduler.expire(now).len() as u32;
        if now < busy_until {
            continue;
        }
        if let Some(picked) = scheduler.pick(now, Lane::Primary, 1) {
            busy_until = now + SERVICE;
            scheduler.finish(&picked.key, SERVICE);
            let whole = busy_until.since(arrived[picked.item]);
            if whole <= TARGET { served.in_time += 1 } else { served.late += 1 }
        }
    }
    served
}

#[test]
fn under_overload_most_are_in_time_and_the_late_ones_run_in_the_calm() {
    let late_last = run(Policing::LateLast);
    let first_come = run(Policing::FirstCome);
    let full = run(Policing::Full);
    // What one server can do during the overload.
    let possible = (OVERLOAD_MS / SERVICE.as_millis()) as u32;
    assert!(late_last.in_time >= possible * 9 / 10, "{late_last:?} of {possible}");
    assert!(late_last.in_time >= first_come.in_time * 4, "{late_last:?} {first_come:?}");
    let all = |served: Served| served.in_time + served.late;
    assert!(all(late_last) >= all(full) * 11 / 10, "{late_last:?} {full:?}");
    // The first of the late ones run out of time for it: a late answer is worth about a
    // seventh of one in time, by the sheets of both users.
    let worth = |served: Served| served.in_time * 7 + served.late;
    assert!(worth(late_last) >= worth(first_come) * 2, "{late_last:?} {first_come:?}");
    assert!(worth(late_last) >= worth(full), "{late_last:?} {full:?}");
}
