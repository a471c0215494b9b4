use base::{OrganisationId, Span, Time};
use table::{Policy, RowKey};

use crate::{
    lane::Lane,
    waiting::{Waiting, WaitingQueue},
};

/// Estimated slot time of a request until the first one of its class has finished.
pub(crate) const INITIAL_COST: Span = Span::from_millis(2);
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

/// Requests of organisations count as in time only if they are expected to end before their target by
/// one part in this many of it. The oldest of those in time is served first, so in an overload all
/// would end at their target on average: half of them later, and later still for callers whose
/// requests are relayed.
const ON_TIME_MARGIN_DIVISOR: u64 = 8;
/// Longest such time: what a hop and the variation of slot times take does not grow with the target.
const MAX_ON_TIME_MARGIN: Span = Span::from_millis(40);

/// Requests of one name, rank and organisation. Without organisations, classes of equal rank are
/// served in the order of `virtual_time`, their slot time divided by weight.
#[derive(Debug)]
pub(crate) struct Class<T> {
    pub(crate) key: RowKey,
    pub(crate) organisation: OrganisationId,
    /// Index of the name and rank in the scheduler.
    pub(crate) row: usize,
    /// Index of the organisation's account in the scheduler.
    pub(crate) account: usize,
    pub(crate) policy: Policy,
    pub(crate) in_flight: u32,
    /// Slot time divided by weight, which decides if there are no organisations.
    pub(crate) virtual_time: u64,
    pub(crate) last_arrival: Option<Time>,
    /// Smoothed slot time of a request of the name and rank.
    pub(crate) cost: Span,
    /// Waiting requests by lane.
    lanes: [WaitingQueue<T>; Lane::COUNT],
    /// Slot time owed to the class by its floor, in microseconds.
    credit: [u64; Lane::COUNT],
    /// When the rate limit allows the next request to start.
    next_start: Time,
}

impl<T: Copy + Eq> Class<T> {
    pub(crate) fn new(
        key: RowKey,
        row: usize,
        (organisation, account): (OrganisationId, usize),
        policy: Policy,
        cost: Span,
    ) -> Class<T> {
        Class {
            key,
            organisation,
            row,
            account,
            policy,
            in_flight: 0,
            virtual_time: 0,
            last_arrival: None,
            cost,
            lanes: [WaitingQueue::new(), WaitingQueue::new()],
            credit: [0; Lane::COUNT],
            next_start: Time::default(),
        }
    }

    pub(crate) fn push(&mut self, lane: Lane, waiting: Waiting<T>) {
        self.lanes[lane.index()].push(waiting);
    }

    pub(crate) fn waiting(&self) -> usize {
        self.lanes.iter().map(WaitingQueue::len).sum()
    }

    pub(crate) fn waiting_in(&self, lane: Lane) -> usize {
        self.lanes[lane.index()].len()
    }

    pub(crate) fn oldest_arrival(&self, lane: Lane) -> Option<Time> {
        self.lanes[lane.index()].get(0).map(|waiting| waiting.since)
    }

    /// Whether the class can be dropped: it has been idle since `since`, and no limit of its policy
    /// depends on its past.
    pub(crate) fn is_disused(&self, now: Time, since: Time) -> bool {
        let is_idle = self.waiting() == 0 && self.last_arrival.is_none_or(|at| at < since);
        let is_limited = self.policy.in_flight.is_some() && self.in_flight > 0;
        is_idle && !is_limited && self.next_start <= now
    }

    fn virtual_cost(&self) -> u64 {
        self.cost.as_micros() * WEIGHT_SCALE / u64::from(self.policy.weight.max(1))
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

    /// Index and identifier of the request in `lane` that is started next: the oldest one. With
    /// `defer_late`, requests that can still meet the target precede those that cannot.
    pub(crate) fn next(&self, now: Time, lane: Lane, defer_late: bool) -> Option<(usize, T)> {
        let place = if defer_late { self.first_on_time(now, lane).unwrap_or(0) } else { 0 };
        self.lanes[lane.index()].get(place).map(|waiting| (place, waiting.item))
    }

    /// Starts the request at `place` in `lane`.
    pub(crate) fn start(&mut self, now: Time, lane: Lane, place: usize) -> Option<Waiting<T>> {
        let waiting = self.lanes[lane.index()].remove(place)?;
        self.in_flight += 1;
        self.virtual_time += self.virtual_cost();
        let credit = &mut self.credit[lane.index()];
        *credit = credit.saturating_sub(self.cost.as_micros());
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
        self.lanes[lane.index()].shed(now + self.cost, target, wait, shed);
    }

    /// The request in `lane` that arrived last, if it can meet the target.
    pub(crate) fn last_on_time(&self, now: Time, lane: Lane) -> Option<Waiting<T>> {
        let queue = &self.lanes[lane.index()];
        let last = queue.get(queue.len().checked_sub(1)?)?;
        let on_time = self
            .policy
            .target
            .is_none_or(|it| now + self.cost + self.margin(it) <= last.since + it);
        on_time.then_some(*last)
    }

    fn first_on_time(&self, now: Time, lane: Lane) -> Option<usize> {
        let target = self.policy.target?;
        let end = now + self.cost + self.margin(target);
        self.lanes[lane.index()].first_since(end.before(target))
    }

    /// Time by which a request has to end before its target to count as in time.
    fn margin(&self, target: Span) -> Span {
        if self.organisation.is_shared() {
            return Span::ZERO;
        }
        Span::from_micros(target.as_micros() / ON_TIME_MARGIN_DIVISOR).min(MAX_ON_TIME_MARGIN)
    }

    /// Returns a started request to its place in the queue and takes back its virtual time.
    pub(crate) fn undo_start(&mut self, lane: Lane, waiting: Waiting<T>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.virtual_time = self.virtual_time.saturating_sub(self.virtual_cost());
        self.lanes[lane.index()].put_back(waiting);
    }

    /// Records the end of a request that held a slot.
    pub(crate) fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Credits the class with its floor's share of the slot time `allotted` to a request.
    /// A class without waiting requests loses its credit. Floors are for rows as a whole, so classes
    /// of organisations have none.
    pub(crate) fn accrue(&mut self, lane: Lane, allotted: Span) {
        if self.waiting_in(lane) == 0 || !self.organisation.is_shared() {
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
        self.lanes.iter_mut().any(|lane| lane.remove_item(item))
    }

    /// Removes the waiting requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Time, expired: &mut Vec<T>) {
        for lane in &mut self.lanes {
            lane.expire(now, expired);
        }
    }

    /// Moves the requests of the replica lane for which `stays` is false to the front of the
    /// primary lane.
    pub(crate) fn move_to_primary(&mut self, stays: &impl Fn(T) -> bool) {
        let moved = self.lanes[Lane::Replica.index()].take_unless(stays);
        for waiting in moved.into_iter().rev() {
            self.lanes[Lane::Primary.index()].push_front(waiting);
        }
    }
}

/// Mean slot time of a request after one has held its slot for `service`.
pub(crate) fn smoothed_cost(mean: Span, service: Span) -> Span {
    let old = mean.as_micros() * (COST_SMOOTHING - 1);
    Span::from_micros(((old + service.as_micros()) / COST_SMOOTHING).max(1))
}
