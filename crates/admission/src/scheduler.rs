use base::{FastMap, Rank, Span, Time};
use table::{Policy, RowKey};

use crate::{
    class::{Class, Waiting},
    lane::Lane,
    picked::Picked,
    queue_request::QueueRequest,
    refusal::Refusal,
};

/// A congestion of unknown length that has lasted this many times a request's remaining
/// time ends within that time in one case of five.
const CONGESTION_PER_WAIT: u64 = 4;
const RESERVE_WINDOW: Span = Span::from_millis(1_000);

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Discipline {
    /// Urgent first, floors, weights, limits, reserved slots, early refusal.
    #[default]
    Full,
    /// As `Full`, but a request that cannot meet its target any more waits for those
    /// that can, and is refused only if it cannot run before its deadline. For callers
    /// to whom a late answer is worth something.
    DeferLate,
    /// In order of arrival; a baseline for experiments.
    FirstCome,
    /// Urgent first without floors; a baseline for experiments.
    StrictPriority,
}

/// Waiting requests of one group.
#[derive(Debug)]
pub struct Scheduler<T> {
    discipline: Discipline,
    classes: Vec<Class<T>>,
    index: FastMap<RowKey, usize>,
    slots: [u32; Lane::COUNT],
    /// When a free slot of a lane last found no request that could be in time.
    calm_at: [Time; Lane::COUNT],
}

impl<T: Copy + Eq> Scheduler<T> {
    /// A scheduler without waiting requests.
    pub fn new(discipline: Discipline) -> Scheduler<T> {
        Scheduler {
            discipline,
            classes: Vec::new(),
            index: FastMap::default(),
            slots: [1; Lane::COUNT],
            calm_at: [Time::default(); Lane::COUNT],
        }
    }

    /// Sets the number of slots that serve a lane, for expected waits.
    pub fn set_slots(&mut self, lane: Lane, slots: u32) {
        self.slots[lane.index()] = slots;
    }

    /// Queues a request, or refuses it at once.
    pub fn enqueue(&mut self, now: Time, request: QueueRequest<T>) -> Result<(), Refusal> {
        let class = self.class(&request.key, request.policy);
        self.classes[class].last_offer = Some(now);
        self.check(now, class, &request)?;
        self.catch_up_virtual_time(class);
        if self.classes.iter().all(|class| class.waiting_in(request.lane) == 0) {
            self.calm_at[request.lane.index()] = now;
        }
        let waiting =
            Waiting { item: request.item, since: request.since, deadline: request.deadline };
        self.classes[class].push(request.lane, waiting);
        Ok(())
    }

    /// Takes the request of `lane` that should run now, given `free` free slots.
    pub fn pick(&mut self, now: Time, lane: Lane, free: u32) -> Option<Picked<T>> {
        if free == 0 {
            return None;
        }
        if !self.classes.iter().any(|class| class.has_one_in_time(now, lane)) {
            self.calm_at[lane.index()] = now;
        }
        let by_floor = self.floor_class(now, lane);
        let class = by_floor.or_else(|| self.urgent_class(now, lane, free))?;
        let late_last = self.discipline == Discipline::DeferLate;
        let waiting = self.classes[class].start(now, lane, late_last)?;
        let cost = self.classes[class].cost();
        for other in &mut self.classes {
            other.accrue(lane, cost);
        }
        Some(Picked {
            item: waiting.item,
            key: self.classes[class].key.clone(),
            waited: now.since(waiting.since),
            deadline: waiting.deadline,
            by_floor: by_floor.is_some(),
        })
    }

    /// Returns a request that was picked but finds no member, as if it had not
    /// been picked.
    pub fn requeue(&mut self, now: Time, lane: Lane, picked: &Picked<T>) {
        let Some(&class) = self.index.get(&picked.key) else { return };
        let since = now.before(picked.waited);
        self.classes[class].unstart(lane, picked.item, since, picked.deadline);
    }

    /// Notes that a request that was picked has ended.
    pub fn finish(&mut self, key: &RowKey, service: Span) {
        if let Some(&class) = self.index.get(key) {
            self.classes[class].finish(service);
        }
    }

    /// Removes a waiting request; whether it was there.
    pub fn cancel(&mut self, item: T) -> bool {
        self.classes.iter_mut().any(|class| class.remove(item))
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        for class in &mut self.classes {
            class.expire(now, &mut expired);
        }
        expired
    }

    /// Removes and returns the late requests that will hardly run before their deadline.
    ///
    /// Late ones run when a slot finds no request that can be in time, so what counts is
    /// how long the lane has been without such a moment.
    pub fn shed_late(&mut self, now: Time) -> Vec<T> {
        let mut given_up = Vec::new();
        if self.discipline != Discipline::DeferLate {
            return given_up;
        }
        for lane in Lane::ALL {
            let congested = now.since(self.calm_at[lane.index()]);
            let wait = Span::from_micros(congested.as_micros() / CONGESTION_PER_WAIT);
            for class in &mut self.classes {
                class.shed_late(now, lane, wait, &mut given_up);
            }
        }
        given_up
    }

    /// Moves the requests of the replica lane for which `stays` is false to the
    /// primary lane, ahead of what waits there.
    pub fn move_to_primary(&mut self, stays: impl Fn(T) -> bool) {
        for class in &mut self.classes {
            for waiting in class.drain(Lane::Replica).into_iter().rev() {
                let lane = if stays(waiting.item) { Lane::Replica } else { Lane::Primary };
                class.push_front(lane, waiting);
            }
        }
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(Class::waiting).sum()
    }

    /// Time that a new request of `key` would wait, at the present load.
    pub fn expected_wait(&self, key: &RowKey, lane: Lane) -> Span {
        match self.index.get(key) {
            Some(&class) => self.wait_of(class, lane),
            None => Span::ZERO,
        }
    }

    fn class(&mut self, key: &RowKey, policy: Policy) -> usize {
        if let Some(&class) = self.index.get(key) {
            self.classes[class].policy = policy;
            return class;
        }
        let class = self.classes.len();
        self.classes.push(Class::new(key.clone(), policy));
        self.index.insert(key.clone(), class);
        class
    }

    fn check(&self, now: Time, class: usize, request: &QueueRequest<T>) -> Result<(), Refusal> {
        let policy = &self.classes[class].policy;
        let waiting = self.classes[class].waiting();
        if policy.queue.is_some_and(|limit| waiting >= limit as usize) {
            return Err(Refusal::QueueFull);
        }
        let limit = match self.discipline {
            Discipline::Full => policy.target,
            Discipline::DeferLate => Some(request.deadline.since(now)),
            Discipline::FirstCome | Discipline::StrictPriority => None,
        };
        let Some(target) = limit else { return Ok(()) };
        let expected = self.wait_of(class, request.lane);
        if expected > target {
            return Err(Refusal::WaitTooLong { expected, target });
        }
        Ok(())
    }

    /// A class that was idle must not make up for the time it asked for nothing.
    fn catch_up_virtual_time(&mut self, class: usize) {
        if self.classes[class].waiting() > 0 {
            return;
        }
        let rank = self.classes[class].key.rank;
        let busy = self.classes.iter().filter(|it| it.key.rank == rank && it.waiting() > 0);
        if let Some(least) = busy.map(|it| it.virtual_time).min() {
            let class = &mut self.classes[class];
            class.virtual_time = class.virtual_time.max(least);
        }
    }

    fn wait_of(&self, class: usize, lane: Lane) -> Span {
        let own = &self.classes[class];
        let slots = u64::from(self.slots[lane.index()].max(1));
        let (mut ahead, mut kept_percent) = (0, 0);
        for other in &self.classes {
            if other.key.rank <= own.key.rank {
                ahead += other.backlog(lane).as_micros();
            } else if other.waiting_in(lane) > 0 {
                kept_percent += u64::from(other.policy.floor);
            }
        }
        let by_urgency = ahead * 100 / (slots * 100u64.saturating_sub(kept_percent).max(1));
        let floor = u64::from(own.policy.floor);
        if floor == 0 {
            return Span::from_micros(by_urgency);
        }
        let by_floor = own.backlog(lane).as_micros() * 100 / (slots * floor);
        Span::from_micros(by_urgency.min(by_floor))
    }

    fn runnable(&self, now: Time, lane: Lane) -> impl Iterator<Item = (usize, &Class<T>)> {
        let classes = self.classes.iter().enumerate();
        classes.filter(move |(_, class)| class.waiting_in(lane) > 0 && class.may_start(now))
    }

    fn polices(&self) -> bool {
        matches!(self.discipline, Discipline::Full | Discipline::DeferLate)
    }

    fn floor_class(&self, now: Time, lane: Lane) -> Option<usize> {
        if !self.polices() {
            return None;
        }
        let paid = self.runnable(now, lane).filter(|(_, class)| class.has_credit(lane));
        paid.min_by_key(|(_, class)| class.key.rank).map(|(index, _)| index)
    }

    fn urgent_class(&self, now: Time, lane: Lane, free: u32) -> Option<usize> {
        if self.discipline == Discipline::FirstCome {
            let oldest = self.runnable(now, lane).min_by_key(|(_, class)| class.head_since(lane));
            return oldest.map(|(index, _)| index);
        }
        let best =
            self.runnable(now, lane).min_by_key(|(_, class)| (class.key.rank, class.virtual_time));
        let (index, class) = best?;
        (free > self.reserved(now, lane, class.key.rank)).then_some(index)
    }

    /// Slots that `rank` leaves free for more urgent ranks.
    fn reserved(&self, now: Time, lane: Lane, rank: Rank) -> u32 {
        if !self.polices() || self.slots[lane.index()] < 2 {
            return 0;
        }
        let since = now.before(RESERVE_WINDOW);
        let active = self.classes.iter().any(|class| {
            class.key.rank < rank && class.last_offer.is_some_and(|offer| offer >= since)
        });
        u32::from(active)
    }
}
