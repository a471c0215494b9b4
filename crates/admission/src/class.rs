use std::collections::VecDeque;

use base::{Span, Time};
use table::{Policy, RowKey};

use crate::lane::Lane;

const INITIAL_COST: Span = Span::from_millis(2);
const COST_SMOOTHING: u64 = 8;
const MICROS_PER_SECOND: u64 = 1_000_000;
const RATE_BURST: Span = Span::from_millis(100);
const WEIGHT_SCALE: u64 = 10_000;
/// Slot time that a floor may save up, so that one long request of another class
/// does not void it.
const MAX_CREDIT: Span = Span::from_millis(500);
const MAX_CREDIT_IN_COSTS: u64 = 4;

/// Requests of one name and rank.
#[derive(Debug)]
pub(crate) struct Class<T> {
    pub(crate) key: RowKey,
    pub(crate) policy: Policy,
    pub(crate) in_flight: u32,
    pub(crate) virtual_time: u64,
    pub(crate) last_offer: Option<Time>,
    lanes: [VecDeque<Waiting<T>>; Lane::COUNT],
    credit: [u64; Lane::COUNT],
    cost: Span,
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
            last_offer: None,
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

    /// When the request that waits longest in `lane` came.
    pub(crate) fn head_since(&self, lane: Lane) -> Option<Time> {
        self.lanes[lane.index()].front().map(|waiting| waiting.since)
    }

    pub(crate) fn cost(&self) -> Span {
        self.cost
    }

    /// Slot time that the requests waiting in `lane` will take.
    pub(crate) fn backlog(&self, lane: Lane) -> Span {
        Span::from_micros(self.cost.as_micros() * self.waiting_in(lane) as u64)
    }

    /// Whether the class's own limits let one more request start.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        let free = self.policy.in_flight.is_none_or(|limit| self.in_flight < limit);
        let in_rate = self.policy.per_second.is_none() || self.next_start <= now + RATE_BURST;
        free && in_rate
    }

    /// Takes the request that waits longest in `lane`; with `late_last`, the one that
    /// waits longest of those that can still meet the target, if there are any.
    pub(crate) fn start(&mut self, now: Time, lane: Lane, late_last: bool) -> Option<Waiting<T>> {
        let first = if late_last { self.first_in_time(now, lane).unwrap_or(0) } else { 0 };
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

    /// Whether a request waits in `lane` that can meet the target, if there is one.
    pub(crate) fn has_one_in_time(&self, now: Time, lane: Lane) -> bool {
        match self.policy.target {
            Some(_) => self.first_in_time(now, lane).is_some(),
            None => self.waiting_in(lane) > 0,
        }
    }

    /// Removes the requests waiting in `lane` that cannot meet the target any more and
    /// whose deadline passes within `wait`.
    pub(crate) fn shed_late(&mut self, now: Time, lane: Lane, wait: Span, given_up: &mut Vec<T>) {
        let Some(target) = self.policy.target else { return };
        let done = now + self.cost;
        self.lanes[lane.index()].retain(|waiting| {
            let hopeless = done > waiting.since + target && done + wait > waiting.deadline;
            if hopeless {
                given_up.push(waiting.item);
            }
            !hopeless
        });
    }

    fn first_in_time(&self, now: Time, lane: Lane) -> Option<usize> {
        let target = self.policy.target?;
        let in_time = |waiting: &Waiting<T>| now + self.cost <= waiting.since + target;
        self.lanes[lane.index()].iter().position(in_time)
    }

    /// Undoes a start.
    pub(crate) fn unstart(&mut self, lane: Lane, item: T, since: Time, deadline: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let cost = self.cost.as_micros();
        self.virtual_time -= cost * WEIGHT_SCALE / u64::from(self.policy.weight);
        let lane = &mut self.lanes[lane.index()];
        let place = lane.partition_point(|waiting| waiting.since < since);
        lane.insert(place, Waiting { item, since, deadline });
    }

    /// Notes that a request ended after holding a slot for `service`.
    pub(crate) fn finish(&mut self, service: Span) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let old = self.cost.as_micros() * (COST_SMOOTHING - 1);
        let mean = (old + service.as_micros()) / COST_SMOOTHING;
        self.cost = Span::from_micros(mean.max(1));
    }

    /// Adds the class's share of a slot time that was just handed out.
    pub(crate) fn accrue(&mut self, lane: Lane, handed_out: Span) {
        if self.waiting_in(lane) == 0 {
            self.credit[lane.index()] = 0;
            return;
        }
        let share = handed_out.as_micros() * u64::from(self.policy.floor) / 100;
        let most = MAX_CREDIT.as_micros().max(self.cost.as_micros() * MAX_CREDIT_IN_COSTS);
        let credit = &mut self.credit[lane.index()];
        *credit = (*credit + share).min(most);
    }

    /// Whether the floor pays for one more request.
    pub(crate) fn has_credit(&self, lane: Lane) -> bool {
        self.credit[lane.index()] >= self.cost.as_micros()
    }

    /// Removes a waiting request; whether it was there.
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
