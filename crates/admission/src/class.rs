use std::collections::VecDeque;

use base::{Span, Time};
use table::{Policy, RowKey};

use crate::lane::Lane;

/// Estimated slot time of a request until the first one of its class has finished.
const INITIAL_COST: Span = Span::from_millis(2);
/// Each sample moves the mean slot time by one part in this many.
const COST_SMOOTHING: u64 = 8;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Requests of a rate-limited class may start this much ahead of the rate.
const RATE_BURST: Span = Span::from_millis(100);
/// Factor of virtual time, so that the division by the weight keeps its precision.
const WEIGHT_SCALE: u64 = 10_000;
/// Cap on the slot time that a class may accumulate from its floor. The credit has to
/// outlast one long request of another class, or the floor would not hold.
const MAX_CREDIT: Span = Span::from_millis(500);
/// The cap on credit is raised to the slot time of this many requests of the class.
const MAX_CREDIT_REQUESTS: u64 = 4;

/// Requests of one name and rank, with their state of weighted fair queueing: classes of
/// equal rank are served in the order of `virtual_time`, their slot time divided by weight.
#[derive(Debug)]
pub(crate) struct Class<T> {
    pub(crate) key: RowKey,
    pub(crate) policy: Policy,
    pub(crate) in_flight: u32,
    pub(crate) virtual_time: u64,
    pub(crate) last_arrival: Option<Time>,
    /// Waiting requests by lane, in the order of arrival.
    lanes: [VecDeque<Waiting<T>>; Lane::COUNT],
    /// Slot time owed to the class by its floor, in microseconds.
    credit: [u64; Lane::COUNT],
    /// Smoothed slot time of a request.
    cost: Span,
    /// When the rate limit allows the next request to start.
    next_start: Time,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting<T> {
    pub(crate) item: T,
    pub(crate) since: Time,
    pub(crate) deadline: Time,
}

impl<T: Copy + Eq> Class<T> {
    pub(crate) fn new(key: RowKey, policy: Policy) -> Class<T> {
        Class {
            key,
            policy,
            in_flight: 0,
            virtual_time: 0,
            last_arrival: None,
            lanes: [VecDeque::new(), VecDeque::new()],
            credit: [0; Lane::COUNT],
            cost: INITIAL_COST,
            next_start: Time::default(),
        }
    }

    pub(crate) fn push(&mut self, lane: Lane, waiting: Waiting<T>) {
        let lane = &mut self.lanes[lane.index()];
        let place = lane.partition_point(|other| other.since <= waiting.since);
        lane.insert(place, waiting);
    }

    pub(crate) fn push_front(&mut self, lane: Lane, waiting: Waiting<T>) {
        self.lanes[lane.index()].push_front(waiting);
    }

    pub(crate) fn waiting(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn waiting_in(&self, lane: Lane) -> usize {
        self.lanes[lane.index()].len()
    }

    pub(crate) fn oldest_arrival(&self, lane: Lane) -> Option<Time> {
        self.lanes[lane.index()].front().map(|waiting| waiting.since)
    }

    pub(crate) fn cost(&self) -> Span {
        self.cost
    }

    /// Estimated slot time of the requests that wait in `lane`.
    pub(crate) fn backlog(&self, lane: Lane) -> Span {
        Span::from_micros(self.cost.as_micros() * self.waiting_in(lane) as u64)
    }

    /// Whether the limits on requests in flight and per second allow another start.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        let below_limit = self.policy.in_flight.is_none_or(|limit| self.in_flight < limit);
        let within_rate = self.policy.per_second.is_none() || self.next_start <= now + RATE_BURST;
        below_limit && within_rate
    }

    /// Starts the oldest request in `lane`. With `defer_late`, requests that can still
    /// meet the target precede those that cannot.
    pub(crate) fn start(&mut self, now: Time, lane: Lane, defer_late: bool) -> Option<Waiting<T>> {
        let first = if defer_late { self.first_on_time(now, lane).unwrap_or(0) } else { 0 };
        let waiting = self.lanes[lane.index()].remove(first)?;
        self.in_flight += 1;
        let cost = self.cost.as_micros();
        self.virtual_time += cost * WEIGHT_SCALE / u64::from(self.policy.weight);
        let credit = &mut self.credit[lane.index()];
        *credit = credit.saturating_sub(cost);
        if let Some(rate) = self.policy.per_second {
            let gap = Span::from_micros(MICROS_PER_SECOND / u64::from(rate));
            self.next_start = self.next_start.max(now) + gap;
        }
        Some(waiting)
    }

    /// Whether a request waits in `lane` that can meet the target; without a target, whether
    /// any request waits there.
    pub(crate) fn has_on_time(&self, now: Time, lane: Lane) -> bool {
        match self.policy.target {
            Some(_) => self.first_on_time(now, lane).is_some(),
            None => self.waiting_in(lane) > 0,
        }
    }

    /// Removes the requests in `lane` that can no longer meet the target and that would also
    /// miss their deadline if they waited for another `wait`.
    pub(crate) fn shed_late(&mut self, now: Time, lane: Lane, wait: Span, shed: &mut Vec<T>) {
        let Some(target) = self.policy.target else { return };
        let earliest_end = now + self.cost;
        self.lanes[lane.index()].retain(|waiting| {
            let will_expire =
                earliest_end > waiting.since + target && earliest_end + wait > waiting.deadline;
            if will_expire {
                shed.push(waiting.item);
            }
            !will_expire
        });
    }

    fn first_on_time(&self, now: Time, lane: Lane) -> Option<usize> {
        let target = self.policy.target?;
        let on_time = |waiting: &Waiting<T>| now + self.cost <= waiting.since + target;
        self.lanes[lane.index()].iter().position(on_time)
    }

    /// Returns a started request to its place in the queue and takes back its virtual time.
    pub(crate) fn undo_start(&mut self, lane: Lane, item: T, since: Time, deadline: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let cost = self.cost.as_micros();
        self.virtual_time -= cost * WEIGHT_SCALE / u64::from(self.policy.weight);
        let lane = &mut self.lanes[lane.index()];
        let place = lane.partition_point(|waiting| waiting.since < since);
        lane.insert(place, Waiting { item, since, deadline });
    }

    /// Records the end of a request that held a slot for `service`.
    pub(crate) fn finish(&mut self, service: Span) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let old = self.cost.as_micros() * (COST_SMOOTHING - 1);
        let mean = (old + service.as_micros()) / COST_SMOOTHING;
        self.cost = Span::from_micros(mean.max(1));
    }

    /// Credits the class with its floor's share of the slot time `allotted` to a request.
    /// A class without waiting requests loses its credit.
    pub(crate) fn accrue(&mut self, lane: Lane, allotted: Span) {
        if self.waiting_in(lane) == 0 {
            self.credit[lane.index()] = 0;
            return;
        }
        let share = allotted.as_micros() * u64::from(self.policy.floor) / 100;
        let max_credit = MAX_CREDIT.as_micros().max(self.cost.as_micros() * MAX_CREDIT_REQUESTS);
        let credit = &mut self.credit[lane.index()];
        *credit = (*credit + share).min(max_credit);
    }

    /// Whether the credit covers another request.
    pub(crate) fn has_credit(&self, lane: Lane) -> bool {
        self.credit[lane.index()] >= self.cost.as_micros()
    }

    /// Removes a waiting request. Returns whether it was queued.
    pub(crate) fn remove(&mut self, item: T) -> bool {
        let before = self.waiting();
        for lane in &mut self.lanes {
            lane.retain(|waiting| waiting.item != item);
        }
        self.waiting() < before
    }

    /// Removes the waiting requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Time, expired: &mut Vec<T>) {
        for lane in &mut self.lanes {
            lane.retain(|waiting| {
                let alive = waiting.deadline > now;
                if !alive {
                    expired.push(waiting.item);
                }
                alive
            });
        }
    }

    /// Removes every request that waits in `lane`, oldest first.
    pub(crate) fn drain(&mut self, lane: Lane) -> Vec<Waiting<T>> {
        self.lanes[lane.index()].drain(..).collect()
    }
}
