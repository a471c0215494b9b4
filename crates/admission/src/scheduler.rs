use base::{FastMap, Rank, Span, Time};
use table::{Policy, RowKey};

use crate::{
    class::{Class, Waiting},
    lane::Lane,
    picked::Picked,
    queue_request::QueueRequest,
    refusal::Refusal,
};

/// Ratio of the congestion so far to the further wait that a late request may face. If its
/// total duration is unknown, congestion that has lasted four times a request's remaining
/// time ends within that remaining time in one case of five.
const CONGESTION_TO_WAIT_RATIO: u64 = 4;
/// A slot stays reserved for a more urgent rank for this long after its last request.
const RESERVE_WINDOW: Span = Span::from_millis(1_000);

/// Queueing discipline: the order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Discipline {
    /// Urgent ranks first, with floors, weights, limits, reserved slots and early refusal.
    #[default]
    Full,
    /// As `Full`, but a request that can no longer meet its target yields to those that
    /// can, and is refused only if it is not expected to run before its deadline. Suits
    /// callers that can still use a late answer.
    DeferLate,
    /// First come, first served. A baseline for experiments.
    FirstCome,
    /// Urgent ranks first, without floors. A baseline for experiments.
    StrictPriority,
}

/// Queues of one group, and the choice of the next request from them.
#[derive(Debug)]
pub struct Scheduler<T> {
    discipline: Discipline,
    classes: Vec<Class<T>>,
    index: FastMap<RowKey, usize>,
    slots: [u32; Lane::COUNT],
    /// When each lane last had a free slot and no waiting request that could meet its target.
    last_uncongested: [Time; Lane::COUNT],
}

impl<T: Copy + Eq> Scheduler<T> {
    /// Creates a scheduler with empty queues and one slot per lane.
    pub fn new(discipline: Discipline) -> Scheduler<T> {
        Scheduler {
            discipline,
            classes: Vec::new(),
            index: FastMap::default(),
            slots: [1; Lane::COUNT],
            last_uncongested: [Time::default(); Lane::COUNT],
        }
    }

    /// Sets the number of slots that serve a lane, from which expected waits are computed.
    pub fn set_slots(&mut self, lane: Lane, slots: u32) {
        self.slots[lane.index()] = slots;
    }

    /// Queues a request, or refuses it by the limits and the target of its policy.
    pub fn enqueue(&mut self, now: Time, request: QueueRequest<T>) -> Result<(), Refusal> {
        let class = self.class(&request.key, request.policy);
        self.classes[class].last_arrival = Some(now);
        self.check(now, class, &request)?;
        self.catch_up_virtual_time(class);
        if self.classes.iter().all(|class| class.waiting_in(request.lane) == 0) {
            self.last_uncongested[request.lane.index()] = now;
        }
        let waiting =
            Waiting { item: request.item, since: request.since, deadline: request.deadline };
        self.classes[class].push(request.lane, waiting);
        Ok(())
    }

    /// Starts the next request of `lane`, given the number of free slots. Returns `None` if
    /// no request may start, for instance because the last free slot is reserved.
    pub fn pick(&mut self, now: Time, lane: Lane, free: u32) -> Option<Picked<T>> {
        if free == 0 {
            return None;
        }
        if !self.classes.iter().any(|class| class.has_on_time(now, lane)) {
            self.last_uncongested[lane.index()] = now;
        }
        let by_floor = self.class_by_floor(now, lane);
        let class = by_floor.or_else(|| self.class_by_urgency(now, lane, free))?;
        let defer_late = self.discipline == Discipline::DeferLate;
        let waiting = self.classes[class].start(now, lane, defer_late)?;
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

    /// Returns a picked request to its place in the queue because no member can run it.
    pub fn requeue(&mut self, now: Time, lane: Lane, picked: &Picked<T>) {
        let Some(&class) = self.index.get(&picked.key) else { return };
        let since = now.before(picked.waited);
        self.classes[class].undo_start(lane, picked.item, since, picked.deadline);
    }

    /// Records the end of a picked request that held its slot for `service`.
    pub fn finish(&mut self, key: &RowKey, service: Span) {
        if let Some(&class) = self.index.get(key) {
            self.classes[class].finish(service);
        }
    }

    /// Removes a waiting request. Returns whether it was queued.
    pub fn cancel(&mut self, item: T) -> bool {
        self.classes.iter_mut().any(|class| class.remove(item))
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        for class in &mut self.classes {
            class.expire(now, &mut expired);
        }
        expired
    }

    /// Removes and returns the late requests that are unlikely to run before their deadline.
    ///
    /// A late request runs only when a slot is free and no request that can meet its target
    /// waits, so the estimate depends on how long ago that was last the case.
    pub fn shed_late(&mut self, now: Time) -> Vec<T> {
        let mut shed = Vec::new();
        if self.discipline != Discipline::DeferLate {
            return shed;
        }
        for lane in Lane::ALL {
            let congested = now.since(self.last_uncongested[lane.index()]);
            let wait = Span::from_micros(congested.as_micros() / CONGESTION_TO_WAIT_RATIO);
            for class in &mut self.classes {
                class.shed_late(now, lane, wait, &mut shed);
            }
        }
        shed
    }

    /// Moves the requests of the replica lane for which `stay_on_replica` is false to the
    /// primary lane, ahead of those that wait there already.
    pub fn move_to_primary(&mut self, stay_on_replica: impl Fn(T) -> bool) {
        for class in &mut self.classes {
            for waiting in class.drain(Lane::Replica).into_iter().rev() {
                let lane =
                    if stay_on_replica(waiting.item) { Lane::Replica } else { Lane::Primary };
                class.push_front(lane, waiting);
            }
        }
    }

    /// Number of waiting requests in all lanes.
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(Class::waiting).sum()
    }

    /// Estimated wait of a new request of `key` at the present load.
    pub fn expected_wait(&self, key: &RowKey, lane: Lane) -> Span {
        match self.index.get(key) {
            Some(&class) => self.estimate_wait(class, lane),
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
        let expected = self.estimate_wait(class, request.lane);
        if expected > target {
            return Err(Refusal::WaitTooLong { expected, target });
        }
        Ok(())
    }

    /// Advances the virtual time of an idle class to that of the busy classes of its rank,
    /// so that it gets no extra share for the time when it had no requests.
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

    fn estimate_wait(&self, class: usize, lane: Lane) -> Span {
        let own = &self.classes[class];
        let slots = u64::from(self.slots[lane.index()].max(1));
        let (mut ahead, mut reserved_percent) = (0, 0);
        for other in &self.classes {
            if other.key.rank <= own.key.rank {
                ahead += other.backlog(lane).as_micros();
            } else if other.waiting_in(lane) > 0 {
                reserved_percent += u64::from(other.policy.floor);
            }
        }
        let by_urgency = ahead * 100 / (slots * 100u64.saturating_sub(reserved_percent).max(1));
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

    fn enforces_guarantees(&self) -> bool {
        matches!(self.discipline, Discipline::Full | Discipline::DeferLate)
    }

    fn class_by_floor(&self, now: Time, lane: Lane) -> Option<usize> {
        if !self.enforces_guarantees() {
            return None;
        }
        let with_credit = self.runnable(now, lane).filter(|(_, class)| class.has_credit(lane));
        with_credit.min_by_key(|(_, class)| class.key.rank).map(|(index, _)| index)
    }

    fn class_by_urgency(&self, now: Time, lane: Lane, free: u32) -> Option<usize> {
        if self.discipline == Discipline::FirstCome {
            let oldest =
                self.runnable(now, lane).min_by_key(|(_, class)| class.oldest_arrival(lane));
            return oldest.map(|(index, _)| index);
        }
        let best =
            self.runnable(now, lane).min_by_key(|(_, class)| (class.key.rank, class.virtual_time));
        let (index, class) = best?;
        (free > self.reserved(now, lane, class.key.rank)).then_some(index)
    }

    /// Slots that requests of `rank` must leave free for more urgent ranks.
    fn reserved(&self, now: Time, lane: Lane, rank: Rank) -> u32 {
        if !self.enforces_guarantees() || self.slots[lane.index()] < 2 {
            return 0;
        }
        let since = now.before(RESERVE_WINDOW);
        let active = self.classes.iter().any(|class| {
            class.key.rank < rank && class.last_arrival.is_some_and(|offer| offer >= since)
        });
        u32::from(active)
    }
}
