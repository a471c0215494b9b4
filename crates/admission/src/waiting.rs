use std::collections::VecDeque;

use base::{Span, Time};

/// Waiting requests of one class and lane, in the order in which they are started.
///
/// Checks that concern every request are skipped by means of bounds, so that an event does not
/// cost a pass over a long queue.
#[derive(Debug)]
pub(crate) struct WaitingQueue<T> {
    entries: VecDeque<Waiting<T>>,
    /// Whether the entries are in the order of arrival. Requests that were moved ahead of others
    /// may have arrived later.
    in_order: bool,
    /// No deadline is earlier.
    earliest_deadline: Time,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting<T> {
    pub(crate) item: T,
    pub(crate) since: Time,
    pub(crate) deadline: Time,
}

/// Later than every deadline.
const NEVER: Time = Time::from_micros(u64::MAX);

impl<T: Copy + Eq> WaitingQueue<T> {
    pub(crate) fn new() -> WaitingQueue<T> {
        WaitingQueue { entries: VecDeque::new(), in_order: true, earliest_deadline: NEVER }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, index: usize) -> Option<&Waiting<T>> {
        self.entries.get(index)
    }

    /// Inserts a request after those that arrived no later.
    pub(crate) fn push(&mut self, waiting: Waiting<T>) {
        let place = self.entries.partition_point(|other| other.since <= waiting.since);
        self.insert(place, waiting);
    }

    /// Inserts a request before those that arrived no earlier.
    pub(crate) fn put_back(&mut self, waiting: Waiting<T>) {
        let place = self.entries.partition_point(|other| other.since < waiting.since);
        self.insert(place, waiting);
    }

    pub(crate) fn push_front(&mut self, waiting: Waiting<T>) {
        self.insert(0, waiting);
    }

    fn insert(&mut self, place: usize, waiting: Waiting<T>) {
        if self.entries.is_empty() {
            self.in_order = true;
            self.earliest_deadline = NEVER;
        }
        let follows = place == 0 || self.entries[place - 1].since <= waiting.since;
        let precedes = self.entries.get(place).is_none_or(|next| waiting.since <= next.since);
        self.in_order &= follows && precedes;
        self.earliest_deadline = self.earliest_deadline.min(waiting.deadline);
        self.entries.insert(place, waiting);
    }

    pub(crate) fn remove(&mut self, index: usize) -> Option<Waiting<T>> {
        self.entries.remove(index)
    }

    /// Removes a request. Returns whether it was queued.
    pub(crate) fn remove_item(&mut self, item: T) -> bool {
        let place = self.entries.iter().position(|waiting| waiting.item == item);
        place.and_then(|place| self.entries.remove(place)).is_some()
    }

    /// Index of the first request that arrived at `since` or later.
    pub(crate) fn first_since(&self, since: Time) -> Option<usize> {
        if !self.in_order {
            return self.entries.iter().position(|waiting| waiting.since >= since);
        }
        let place = self.entries.partition_point(|waiting| waiting.since < since);
        (place < self.entries.len()).then_some(place)
    }

    /// Moves the requests whose deadline is `now` or earlier to `expired`.
    pub(crate) fn expire(&mut self, now: Time, expired: &mut Vec<T>) {
        if now < self.earliest_deadline {
            return;
        }
        self.extract(|waiting| waiting.deadline <= now, expired);
    }

    /// Moves the requests to `shed` that are past their target at `end`, and past their deadline
    /// `wait` later.
    pub(crate) fn shed(&mut self, end: Time, target: Span, wait: Span, shed: &mut Vec<T>) {
        if end + wait <= self.earliest_deadline {
            return;
        }
        let will_expire =
            |waiting: &Waiting<T>| end > waiting.since + target && end + wait > waiting.deadline;
        self.extract(will_expire, shed);
    }

    /// Removes and returns the requests for which `stays` is false, in their order.
    pub(crate) fn take_unless(&mut self, stays: &impl Fn(T) -> bool) -> Vec<Waiting<T>> {
        let mut taken = Vec::new();
        self.entries.retain(|waiting| {
            let stays = stays(waiting.item);
            if !stays {
                taken.push(*waiting);
            }
            stays
        });
        taken
    }

    fn extract(&mut self, matches: impl Fn(&Waiting<T>) -> bool, out: &mut Vec<T>) {
        let mut earliest_deadline = NEVER;
        self.entries.retain(|waiting| {
            let matches = matches(waiting);
            if matches {
                out.push(waiting.item);
            } else {
                earliest_deadline = earliest_deadline.min(waiting.deadline);
            }
            !matches
        });
        self.earliest_deadline = earliest_deadline;
    }
}
