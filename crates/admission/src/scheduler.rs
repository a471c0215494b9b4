use base::{FastMap, OrganisationId, Rank, Span, Time};
use table::{Policy, RowKey};

use crate::{
    account::{Account, Contention, VirtualClock},
    candidate::Candidate,
    class::{Class, INITIAL_COST, smoothed_cost},
    lane::Lane,
    picked::Picked,
    queue_request::QueueRequest,
    refusal::Refusal,
    waiting::Waiting,
};

/// Ratio of the congestion so far to the further wait that a late request may face. If its
/// total duration is unknown, congestion that has lasted four times a request's remaining
/// time ends within that remaining time in one case of five.
const CONGESTION_TO_WAIT_RATIO: u64 = 4;
/// A slot stays reserved for a more urgent rank for this long after its last request.
const RESERVE_WINDOW: Span = Span::from_millis(1_000);
/// Shortest time between two searches for classes to drop.
const DROP_INTERVAL: Span = Span::from_millis(250);
/// Shortest time between two checks of waiting requests. It bounds the cost of the estimates, and is
/// short compared with the time that a refused caller needs to retry.
const CHECK_INTERVAL: Span = Span::from_millis(20);

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
///
/// Within a rank, organisations share the slots by start-time fair queueing: the one with the least
/// virtual time goes first, and one that had been idle starts at the virtual time of the last request
/// that was started. Ranks come first, except that an organisation far ahead of its share yields to
/// all requests of others: an overload of urgent requests by one must not starve the others' less
/// urgent ones. Classes of organisations are dropped when they have been idle for some time, so that
/// the cost of an event is proportional to the number of active ones.
#[derive(Debug)]
pub struct Scheduler<T> {
    discipline: Discipline,
    classes: Vec<Class<T>>,
    index: FastMap<(usize, OrganisationId), usize>,
    rows: FastMap<RowKey, usize>,
    /// Smoothed slot time of a request, by row.
    costs: Vec<Span>,
    /// Number of classes that belong to organisations.
    organisation_classes: usize,
    /// Accounts of the organisations that have classes.
    accounts: Vec<Account>,
    clock: VirtualClock,
    /// Number of slots of each lane, and of those that requests of each rank may take.
    slots: [u32; Lane::COUNT],
    rank_slots: [[u32; Rank::COUNT]; Lane::COUNT],
    /// When each lane last had a free slot and no waiting request that could meet its target.
    last_uncongested: [Time; Lane::COUNT],
    /// The same for the requests of a rank and of more urgent ones.
    ranks_last_uncongested: [[Time; Rank::COUNT]; Lane::COUNT],
    next_drop: Time,
    /// When waiting requests are next checked in [`Scheduler::shed_hopeless`].
    next_check: Time,
}

impl<T: Copy + Eq> Scheduler<T> {
    /// Creates a scheduler with empty queues and one slot per lane.
    pub fn new(discipline: Discipline) -> Scheduler<T> {
        Scheduler {
            discipline,
            classes: Vec::new(),
            index: FastMap::default(),
            rows: FastMap::default(),
            costs: Vec::new(),
            organisation_classes: 0,
            accounts: Vec::new(),
            clock: VirtualClock::default(),
            slots: [1; Lane::COUNT],
            rank_slots: [[1; Rank::COUNT]; Lane::COUNT],
            last_uncongested: [Time::default(); Lane::COUNT],
            ranks_last_uncongested: [[Time::default(); Rank::COUNT]; Lane::COUNT],
            next_drop: Time::default(),
            next_check: Time::default(),
        }
    }

    /// Sets the number of slots that serve a lane, from which expected waits are computed.
    pub fn set_slots(&mut self, lane: Lane, slots: u32) {
        self.slots[lane.index()] = slots;
        self.rank_slots[lane.index()] = [slots; Rank::COUNT];
    }

    /// Sets the number of slots of a lane that requests of a rank may take, if it is lower.
    pub fn set_rank_slots(&mut self, lane: Lane, rank: Rank, slots: u32) {
        self.rank_slots[lane.index()][rank.index()] = slots;
    }

    /// Queues a request, or refuses it by the limits and the target of its policy.
    pub fn enqueue(&mut self, now: Time, request: QueueRequest<T>) -> Result<(), Refusal> {
        self.drop_disused(now);
        let class = self.class(&request.key, request.organisation, request.policy);
        self.classes[class].last_arrival = Some(now);
        self.catch_up_with_clock(class);
        self.check(now, class, &request)?;
        self.catch_up_virtual_time(class);
        if self.classes.iter().all(|class| class.waiting_in(request.lane) == 0) {
            self.last_uncongested[request.lane.index()] = now;
            self.ranks_last_uncongested[request.lane.index()] = [now; Rank::COUNT];
        }
        let waiting =
            Waiting { item: request.item, since: request.since, deadline: request.deadline };
        self.accounts[self.classes[class].account].waiting += 1;
        self.classes[class].push(request.lane, waiting);
        Ok(())
    }

    /// Starts the next request of `lane`, given the number of free slots. Returns `None` if
    /// no request may start, for instance because the last free slot is reserved.
    pub fn pick(&mut self, now: Time, lane: Lane, free: u32) -> Option<Picked<T>> {
        if free == 0 {
            return None;
        }
        self.record_free_slot(now, lane);
        let next = self.next(now, lane, free, |_| true)?;
        self.start(now, lane, &next)
    }

    /// Records that a slot of `lane` is free. The time for which this was not so while requests in
    /// time waited is the measure of congestion in [`Scheduler::shed_late`].
    pub fn record_free_slot(&mut self, now: Time, lane: Lane) {
        if !self.has_organisations() {
            if !self.classes.iter().any(|class| class.has_on_time(now, lane)) {
                self.last_uncongested[lane.index()] = now;
            }
            return;
        }
        let on_time = self.classes.iter().filter(|class| class.has_on_time(now, lane));
        let most_urgent = on_time.map(|class| class.key.rank.index()).min();
        let uncongested = most_urgent.unwrap_or(Rank::COUNT);
        self.ranks_last_uncongested[lane.index()][..uncongested].fill(now);
        if most_urgent.is_none() {
            self.last_uncongested[lane.index()] = now;
        }
    }

    /// The next request of `lane` in the order of the discipline, given the number of free slots,
    /// among the classes whose next request is `eligible`. `None` if no request may start.
    ///
    /// `eligible` is called for some of the classes, in any order. A caller that has a free slot
    /// also calls [`Scheduler::record_free_slot`].
    pub fn next(
        &self,
        now: Time,
        lane: Lane,
        free: u32,
        eligible: impl Fn(&Candidate<T>) -> bool,
    ) -> Option<Candidate<T>> {
        if free == 0 {
            return None;
        }
        self.next_by_floor(now, lane, &eligible)
            .or_else(|| self.next_by_urgency(now, lane, free, &eligible))
    }

    /// Starts the request that [`Scheduler::next`] has returned last.
    pub fn start(&mut self, now: Time, lane: Lane, next: &Candidate<T>) -> Option<Picked<T>> {
        let active = self.active(lane);
        let class = &mut self.classes[next.class];
        let waiting = class.start(now, lane, next.place)?;
        let cost = class.cost;
        let account = &mut self.accounts[class.account];
        self.clock.now = self.clock.now.max(account.virtual_time);
        account.charge(now, lane, cost, active);
        account.waiting -= 1;
        self.clock.latest = self.clock.latest.max(account.virtual_time);
        let (key, organisation) = (class.key.clone(), class.organisation);
        for other in &mut self.classes {
            other.accrue(lane, cost);
        }
        Some(Picked {
            item: waiting.item,
            key,
            organisation,
            waited: now.since(waiting.since),
            deadline: waiting.deadline,
            by_floor: next.by_floor,
        })
    }

    /// Returns a picked request to its place in the queue because no member can run it.
    pub fn requeue(&mut self, now: Time, lane: Lane, picked: &Picked<T>) {
        let Some(class) = self.index_of(&picked.key, picked.organisation) else { return };
        let since = now.before(picked.waited);
        let waiting = Waiting { item: picked.item, since, deadline: picked.deadline };
        let class = &mut self.classes[class];
        class.undo_start(lane, waiting);
        let account = &mut self.accounts[class.account];
        account.waiting += 1;
        account.virtual_time =
            account.virtual_time.saturating_sub(account.virtual_cost(class.cost));
    }

    /// Records the end of a picked request without organisation that held its slot for `service`.
    pub fn finish(&mut self, key: &RowKey, service: Span) {
        self.finish_for(OrganisationId::SHARED, key, service);
    }

    /// Records the end of a picked request of an organisation that held its slot for `service`.
    pub fn finish_for(&mut self, organisation: OrganisationId, key: &RowKey, service: Span) {
        let Some(&row) = self.rows.get(key) else { return };
        let cost = smoothed_cost(self.costs[row], service);
        self.costs[row] = cost;
        for class in self.classes.iter_mut().filter(|class| class.row == row) {
            class.cost = cost;
            if class.organisation == organisation {
                class.finish();
            }
        }
    }

    /// Records that a picked request no longer holds its slot, for which time is unknown.
    pub fn abandon(&mut self, organisation: OrganisationId, key: &RowKey) {
        if let Some(class) = self.index_of(key, organisation) {
            self.classes[class].finish();
        }
    }

    /// Removes a waiting request. Returns whether it was queued.
    pub fn cancel(&mut self, item: T) -> bool {
        let Some(class) =
            self.classes.iter_mut().find_map(|class| class.remove(item).then_some(class.account))
        else {
            return false;
        };
        self.accounts[class].waiting -= 1;
        true
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        for class in &mut self.classes {
            let before = expired.len();
            class.expire(now, &mut expired);
            self.accounts[class.account].waiting -= expired.len() - before;
        }
        expired
    }

    /// Removes and returns the late requests that are unlikely to run before their deadline.
    ///
    /// A late request runs only when a slot is free and no request that can meet its target
    /// waits, so the estimate depends on how long ago that was last the case. With organisations,
    /// only requests of its rank and of more urgent ones matter.
    pub fn shed_late(&mut self, now: Time) -> Vec<T> {
        let mut shed = Vec::new();
        if self.discipline != Discipline::DeferLate {
            return shed;
        }
        let has_organisations = self.has_organisations();
        for lane in Lane::ALL {
            for class in &mut self.classes {
                let since = if has_organisations {
                    self.ranks_last_uncongested[lane.index()][class.key.rank.index()]
                } else {
                    self.last_uncongested[lane.index()]
                };
                let congested = now.since(since).as_micros();
                let wait = Span::from_micros(congested / CONGESTION_TO_WAIT_RATIO);
                let before = shed.len();
                class.shed_late(now, lane, wait, &mut shed);
                self.accounts[class.account].waiting -= shed.len() - before;
            }
        }
        shed
    }

    /// Removes and returns the waiting requests that are expected to wait beyond their deadline, by the
    /// estimate for which [`Scheduler::enqueue`] refuses a new one. Queues become slower after a
    /// request has been queued, for instance when reads move to the primary. Late requests are left to
    /// [`Scheduler::shed_late`], and those without organisation to their deadline.
    pub fn shed_hopeless(&mut self, now: Time) -> Vec<T> {
        let mut shed = Vec::new();
        if self.discipline != Discipline::DeferLate
            || !self.has_organisations()
            || now < self.next_check
        {
            return shed;
        }
        self.next_check = now + CHECK_INTERVAL;
        for lane in Lane::ALL {
            let backlog: u64 = self.classes.iter().map(|it| it.backlog(lane).as_micros()).sum();
            // No estimate is longer than this.
            let longest = Span::from_micros(backlog / self.least_slots(lane));
            for class in 0..self.classes.len() {
                // The last one is expected to wait longest, and has usually arrived last.
                while let Some(last) = self.classes[class].last_on_time(now, lane)
                    && last.deadline < now + longest
                    && now + self.estimate_wait_by_share(class, lane, true) > last.deadline
                {
                    self.classes[class].remove(last.item);
                    self.accounts[self.classes[class].account].waiting -= 1;
                    shed.push(last.item);
                }
            }
        }
        shed
    }

    /// Moves the requests of the replica lane for which `stay_on_replica` is false to the
    /// primary lane, ahead of those that wait there already.
    pub fn move_to_primary(&mut self, stay_on_replica: impl Fn(T) -> bool) {
        for class in &mut self.classes {
            class.move_to_primary(&stay_on_replica);
        }
    }

    /// Number of waiting requests in all lanes.
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(Class::waiting).sum()
    }

    /// Number of classes that are kept, at most one for each name, rank and organisation.
    pub fn classes(&self) -> usize {
        self.classes.len()
    }

    /// Whether requests of organisations wait or have waited recently.
    pub fn has_organisations(&self) -> bool {
        self.organisation_classes > 0
    }

    /// Estimated wait of a new request of an organisation at the present load.
    pub fn expected_wait(&self, organisation: OrganisationId, key: &RowKey, lane: Lane) -> Span {
        match self.index_of(key, organisation) {
            Some(class) => self.estimate_wait(class, lane),
            None => Span::ZERO,
        }
    }

    /// Estimated time from the arrival of a new request to its end, for organisations, ranks and lanes
    /// in which requests wait.
    pub fn expected_ends(&self) -> impl Iterator<Item = (OrganisationId, Rank, Lane, Span)> {
        let classes = self.classes.iter().enumerate();
        let classes = classes.filter(|(_, class)| !class.organisation.is_shared());
        classes.flat_map(move |(index, class)| {
            let waiting = Lane::ALL.into_iter().filter(|lane| class.waiting_in(*lane) > 0);
            waiting.map(move |lane| {
                let end = self.estimate_wait(index, lane) + class.cost;
                (class.organisation, class.key.rank, lane, end)
            })
        })
    }

    fn index_of(&self, key: &RowKey, organisation: OrganisationId) -> Option<usize> {
        let row = *self.rows.get(key)?;
        self.index.get(&(row, organisation)).copied()
    }

    fn class(&mut self, key: &RowKey, organisation: OrganisationId, policy: Policy) -> usize {
        let row = match self.rows.get(key) {
            Some(&row) => row,
            None => {
                self.costs.push(INITIAL_COST);
                self.rows.insert(key.clone(), self.costs.len() - 1);
                self.costs.len() - 1
            }
        };
        if let Some(&class) = self.index.get(&(row, organisation)) {
            self.accounts[self.classes[class].account].weight = policy.weight;
            self.classes[class].policy = policy;
            return class;
        }
        let account = self.account(organisation, policy.weight);
        let class = self.classes.len();
        let cost = self.costs[row];
        let owner = (organisation, account);
        self.classes.push(Class::new(key.clone(), row, owner, policy, cost));
        self.index.insert((row, organisation), class);
        self.organisation_classes += usize::from(!organisation.is_shared());
        class
    }

    fn account(&mut self, organisation: OrganisationId, weight: u32) -> usize {
        let known = self.accounts.iter().position(|it| it.organisation == organisation);
        known.unwrap_or_else(|| {
            self.accounts.push(Account::new(organisation, weight, self.clock.now));
            self.accounts.len() - 1
        })
    }

    /// Drops the classes of organisations that have been idle for some time.
    fn drop_disused(&mut self, now: Time) {
        if !self.has_organisations() || now < self.next_drop {
            return;
        }
        self.next_drop = now + DROP_INTERVAL;
        let since = now.before(RESERVE_WINDOW);
        let is_used =
            |class: &Class<T>| class.organisation.is_shared() || !class.is_disused(now, since);
        let before = self.classes.len();
        self.classes.retain(is_used);
        self.organisation_classes -= before - self.classes.len();
        if self.classes.len() < before {
            let classes = self.classes.iter().enumerate();
            let indices = classes.map(|(index, class)| ((class.row, class.organisation), index));
            self.index = indices.collect();
            self.drop_accounts();
        }
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

    /// Drops the accounts of organisations without classes.
    fn drop_accounts(&mut self) {
        let mut kept = Vec::with_capacity(self.accounts.len());
        let mut indices: Vec<Option<usize>> = vec![None; self.accounts.len()];
        for class in &mut self.classes {
            let account = class.account;
            class.account = *indices[account].get_or_insert_with(|| {
                kept.push(self.accounts[account]);
                kept.len() - 1
            });
        }
        self.accounts = kept;
    }

    /// Advances the virtual time of an idle organisation to that of the last request that was
    /// started. When no request waits, a new busy period begins, in which nobody is charged for
    /// slots that nobody else wanted.
    fn catch_up_with_clock(&mut self, class: usize) {
        if !self.has_organisations() {
            return;
        }
        if self.accounts.iter().all(|account| account.waiting == 0) {
            self.clock.now = self.clock.latest;
        }
        let account = &mut self.accounts[self.classes[class].account];
        if account.waiting == 0 {
            account.virtual_time = account.virtual_time.max(self.clock.now);
        }
    }

    /// All organisations that have been active recently.
    fn active(&self, lane: Lane) -> Contention {
        let weights = self.accounts.iter().map(|account| u64::from(account.weight)).sum();
        Contention { weights, slots: self.slots[lane.index()] }
    }

    /// The organisations with waiting requests, and `own`.
    fn contention(&self, lane: Lane, own: usize) -> Contention {
        let accounts = self.accounts.iter().enumerate();
        let waiting = accounts.filter(|(index, it)| it.waiting > 0 || own == *index);
        let weights = waiting.map(|(_, account)| u64::from(account.weight)).sum();
        Contention { weights, slots: self.slots[lane.index()] }
    }

    /// Advances the virtual time of an idle class to that of the busy classes of its rank,
    /// so that it gets no extra share for the time when it had no requests.
    fn catch_up_virtual_time(&mut self, class: usize) {
        if self.has_organisations() || self.classes[class].waiting() > 0 {
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
        if self.has_organisations() {
            return self.estimate_wait_by_share(class, lane, false);
        }
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

    /// Estimate for a class of an organisation: its own requests are served with its share of the
    /// slots, whatever the backlog of the others is. `is_last` is whether the estimate is for the last
    /// request of the class rather than for another one.
    fn estimate_wait_by_share(&self, class: usize, lane: Lane, is_last: bool) -> Span {
        let own = &self.classes[class];
        let account = &self.accounts[own.account];
        let (mut ahead, mut own_ahead) = (0, 0);
        for other in self.classes.iter().filter(|other| other.key.rank <= own.key.rank) {
            ahead += other.backlog(lane).as_micros();
            if other.account == own.account {
                own_ahead += other.backlog(lane).as_micros();
            }
        }
        if is_last {
            ahead -= own.cost.as_micros();
            own_ahead -= own.cost.as_micros();
        }
        let slots = self.rank_slots[lane.index()][own.key.rank.index()].max(1);
        let lead = account.virtual_time.saturating_sub(self.clock.now);
        let until_served = lead + account.virtual_cost(Span::from_micros(own_ahead));
        let contention = Contention { slots, ..self.contention(lane, own.account) };
        let by_share = contention.time_for(until_served);
        by_share.min(Span::from_micros(ahead / u64::from(slots)))
    }

    /// The fewest slots of a lane that requests of any rank may take, at least 1.
    fn least_slots(&self, lane: Lane) -> u64 {
        let slots = self.rank_slots[lane.index()].iter().copied().min().unwrap_or(1);
        u64::from(slots.max(1))
    }

    /// What the class would start next, if it may start a request.
    fn candidate(
        &self,
        now: Time,
        lane: Lane,
        class: usize,
        by_floor: bool,
    ) -> Option<Candidate<T>> {
        let it = &self.classes[class];
        let defer_late = self.discipline == Discipline::DeferLate;
        let (place, item) = it.next(now, lane, defer_late)?;
        Some(Candidate {
            item,
            organisation: it.organisation,
            rank: it.key.rank,
            waiting: it.waiting_in(lane) as u32,
            class,
            place,
            by_floor,
        })
    }

    /// The eligible candidate of the class with the least `order`, the first one of equals.
    fn first_eligible<K: Ord>(
        &self,
        now: Time,
        lane: Lane,
        by_floor: bool,
        order: impl Fn(&Class<T>) -> Option<K>,
        eligible: &impl Fn(&Candidate<T>) -> bool,
    ) -> Option<Candidate<T>> {
        let mut first: Option<(K, Candidate<T>)> = None;
        for (index, class) in self.runnable(now, lane) {
            let Some(key) = order(class) else { continue };
            if first.as_ref().is_some_and(|(least, _)| *least <= key) {
                continue;
            }
            if let Some(candidate) = self.candidate(now, lane, index, by_floor)
                && eligible(&candidate)
            {
                first = Some((key, candidate));
            }
        }
        first.map(|(_, candidate)| candidate)
    }

    fn runnable(&self, now: Time, lane: Lane) -> impl Iterator<Item = (usize, &Class<T>)> {
        let classes = self.classes.iter().enumerate();
        classes.filter(move |(_, class)| class.waiting_in(lane) > 0 && class.may_start(now))
    }

    fn enforces_guarantees(&self) -> bool {
        matches!(self.discipline, Discipline::Full | Discipline::DeferLate)
    }

    fn next_by_floor(
        &self,
        now: Time,
        lane: Lane,
        eligible: &impl Fn(&Candidate<T>) -> bool,
    ) -> Option<Candidate<T>> {
        if !self.enforces_guarantees() {
            return None;
        }
        let order = |class: &Class<T>| class.has_credit(lane).then_some(class.key.rank);
        self.first_eligible(now, lane, true, order, eligible)
    }

    fn next_by_urgency(
        &self,
        now: Time,
        lane: Lane,
        free: u32,
        eligible: &impl Fn(&Candidate<T>) -> bool,
    ) -> Option<Candidate<T>> {
        if self.discipline == Discipline::FirstCome {
            let order = |class: &Class<T>| class.oldest_arrival(lane);
            return self.first_eligible(now, lane, false, order, eligible);
        }
        let defers_late = self.discipline == Discipline::DeferLate && self.has_organisations();
        if defers_late {
            let active = self.active(lane);
            let order = |class: &Class<T>| {
                let account = &self.accounts[class.account];
                let is_over_share = account.is_over_share(now, lane, class.cost, active);
                let is_late = !class.has_on_time(now, lane);
                // Among organisations that have become active at the same virtual time, the one
                // whose request is oldest goes first.
                let oldest = class.oldest_arrival(lane);
                Some((is_over_share, class.key.rank, is_late, account.virtual_time, oldest))
            };
            let best = self.first_eligible(now, lane, false, order, eligible)?;
            return (free > self.reserved(now, lane, best.rank)).then_some(best);
        }
        let order = |class: &Class<T>| Some((class.key.rank, class.virtual_time));
        let best = self.first_eligible(now, lane, false, order, eligible)?;
        (free > self.reserved(now, lane, best.rank)).then_some(best)
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
