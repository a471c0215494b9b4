use std::collections::VecDeque;

use base::{Span, Time};

use crate::{
    eviction::Eviction,
    holder::{Holder, HolderId, Phase, charge},
    limits::{Limits, MAX_STORED_BYTES},
    reason::Reason,
    slots::Slots,
};

/// Time within which a message must be complete once its first byte was received, unless it
/// arrives fast.
const MESSAGE_TIME: Span = Span::from_millis(10_000);
/// Bytes per second at which a message may take longer.
const MIN_MESSAGE_RATE: u64 = 64 * 1024;
/// Time without progress after which an answer that a caller does not read is abandoned.
const ANSWER_TIME: Span = Span::from_millis(20_000);
/// Time without progress after which a session may be closed if others need its memory.
const STALL_TIME: Span = Span::from_millis(500);
/// Time that a session waits for memory before the largest holder is closed for it. Shorter than
/// [`Budget::MAX_WAIT`], so that the freed memory still serves it.
const RECLAIM_WAIT: Span = Span::from_millis(1_000);

/// Part of the memory for messages up to which sessions get their first memory for a message.
const FIRST_PART: u64 = 2;

/// What the callers' sessions hold. `T` is what a daemon needs to close a session.
#[derive(Debug)]
pub struct Budget<T> {
    limits: Limits,
    holders: Slots<T>,
    descriptors: u64,
    /// Sum of the charges of all sessions.
    charged: u64,
    /// The part of it that belongs to messages.
    admitted: u64,
    /// Sessions in the order in which they were opened, at least those that have not sent their
    /// start-up message.
    starting: VecDeque<HolderId>,
    /// Sessions that wait for their first memory for a message, in the order in which they are
    /// served.
    waiting: VecDeque<HolderId>,
    /// Sessions that wait for more memory for a message. They have a queue of their own, and memory
    /// that first ones cannot take, so that those who have begun can finish.
    growing: VecDeque<HolderId>,
    /// Sessions with something unfinished, and some that have finished since the last sweep.
    unfinished: Vec<HolderId>,
}

impl<T> Budget<T> {
    /// Longest time that a message or statement waits for memory before it is refused.
    pub const MAX_WAIT: Span = Span::from_millis(2_000);

    /// Creates the budget of a process without sessions.
    pub fn new(limits: Limits) -> Budget<T> {
        Budget {
            limits,
            holders: Slots::new(),
            descriptors: 0,
            charged: 0,
            admitted: 0,
            starting: VecDeque::new(),
            waiting: VecDeque::new(),
            growing: VecDeque::new(),
            unfinished: Vec::new(),
        }
    }

    /// Number of open sessions.
    pub fn sessions(&self) -> usize {
        self.holders.len()
    }

    /// Bytes that sessions hold beyond what each may hold without a charge.
    pub fn charged(&self) -> u64 {
        self.charged
    }

    /// Opens a session that uses this number of descriptors; `Err` returns the handle if none are
    /// left. If only sessions stand in the way that have not sent their start-up message, the
    /// oldest of them are closed for it.
    pub fn open(
        &mut self,
        now: Time,
        descriptors: u64,
        handle: T,
    ) -> Result<(HolderId, Vec<Eviction<T>>), T> {
        let mut evicted = Vec::new();
        while self.descriptors + descriptors > self.limits.descriptors {
            let Some(oldest) = self.oldest_starting() else { return Err(handle) };
            evicted.extend(self.evict(now, oldest, Reason::Startup));
        }
        self.descriptors += descriptors;
        let id = self.holders.insert(Holder {
            handle,
            phase: Phase::Startup,
            opened_at: now,
            progress_at: now,
            transient: 0,
            admitted: 0,
            answer: 0,
            stored: 0,
            waiting: None,
            descriptors,
            listed: false,
        });
        self.starting.push_back(id);
        Ok((id, evicted))
    }

    /// Ends a session and frees what it holds.
    pub fn close(&mut self, id: HolderId) {
        if self.remove(id).is_some() {
            self.serve_waiting();
        }
    }

    /// Records that a session waits for its next message, and holds nothing of the last one.
    pub fn idle(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        if holder.phase == Phase::Startup {
            return;
        }
        holder.phase = Phase::Idle;
        if holder.answer > 0 {
            self.release_answer(id);
        }
        if self.transient(id) > 0 {
            self.set_transient(id, 0, 0);
        }
    }

    /// Records that a complete message of a session has been received, the start-up message in
    /// particular. What it holds changes to the size of the message.
    pub fn running(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        holder.phase = Phase::Running;
        if holder.transient != bytes {
            self.set_transient(id, bytes, charge(bytes));
        }
    }

    /// Records that the part of a message that has been received is this long.
    pub fn receiving(&mut self, now: Time, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        holder.progress_at = now;
        match &mut holder.phase {
            Phase::Startup => {}
            Phase::Receiving { bytes: received, .. } => *received = bytes,
            phase => {
                *phase = Phase::Receiving { since: now, bytes };
                self.list(id);
            }
        }
    }

    /// Records that a part of an answer has been sent, or that the first part cannot be sent.
    pub fn sending(&mut self, now: Time, id: HolderId) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        holder.progress_at = now;
        if holder.phase != Phase::Sending {
            holder.phase = Phase::Sending;
            self.list(id);
        }
    }

    /// Whether a session has an answer, or a part of one, that the socket does not take at once.
    pub fn is_sending(&self, id: HolderId) -> bool {
        self.holders.get(id).is_some_and(|holder| holder.phase == Phase::Sending)
    }

    /// Records that all that was to be sent has been sent, of an answer or of a part of one.
    pub fn sent(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(id)
            && holder.phase == Phase::Sending
        {
            holder.phase = Phase::Running;
        }
    }

    /// Asks for the bytes of a session's message and answer to be this many in all. If `false` is
    /// returned, the session must wait until [`Budget::is_waiting`] no longer holds, or call
    /// [`Budget::stop_waiting`].
    #[must_use]
    pub fn reserve(&mut self, now: Time, id: HolderId, bytes: u64) -> bool {
        let Some(holder) = self.holders.get_mut(id) else { return true };
        let grows = charge(bytes + holder.answer + holder.stored) > holder.charge();
        let more = holder.admitted > 0;
        if !grows || (self.first_waiting(more).is_none() && self.fits(id, bytes)) {
            let bytes = bytes.max(self.transient(id));
            self.set_transient(id, bytes, charge(bytes));
            return true;
        }
        let Some(holder) = self.holders.get_mut(id) else { return true };
        if holder.waiting.replace((bytes, now)).is_none() {
            if more { self.growing.push_back(id) } else { self.waiting.push_back(id) }
        }
        false
    }

    /// Whether a session waits for memory.
    pub fn is_waiting(&self, id: HolderId) -> bool {
        self.holders.get(id).is_some_and(|holder| holder.waiting.is_some())
    }

    /// Records that a session no longer waits for memory.
    pub fn stop_waiting(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(id)
            && holder.waiting.take().is_some()
        {
            self.serve_waiting();
        }
    }

    /// Sets the bytes of a session's message and answer to what they are already, also if that
    /// exceeds the budget. Sessions to close so that it does not are returned.
    #[must_use]
    pub fn set_held(&mut self, now: Time, id: HolderId, bytes: u64) -> Vec<Eviction<T>> {
        self.set_transient(id, bytes, 0);
        self.reclaim(now, None)
    }

    /// Asks for the bytes of the answer that is being read for a session to be this many. If there
    /// are none, the largest holders without progress are closed for it at once: a member's slot
    /// is in use meanwhile. Returns whether it may have them, and the sessions to close. Unlike a
    /// message, an answer never exceeds the budget, not even alone.
    #[must_use]
    pub fn reserve_answer(
        &mut self,
        now: Time,
        id: HolderId,
        bytes: u64,
    ) -> (bool, Vec<Eviction<T>>) {
        let mut evicted = Vec::new();
        loop {
            let Some(holder) = self.holders.get(id) else { return (true, evicted) };
            let before = holder.charge();
            let after = charge(holder.bytes() - holder.answer + bytes);
            let limit = self.limits.chargeable_bytes(self.holders.len());
            if after <= before || self.charged - before + after <= limit {
                self.set_answer(id, bytes);
                return (true, evicted);
            }
            let Some(largest) = self.largest_stalled(now, false, Some(id)) else {
                return (false, evicted);
            };
            evicted.extend(self.evict(now, largest, Reason::LargestHolder));
        }
    }

    /// Frees what [`Budget::reserve_answer`] has reserved: the answer has been sent, or counts as
    /// held by [`Budget::set_held`].
    pub fn release_answer(&mut self, id: HolderId) {
        self.set_answer(id, 0);
    }

    /// Sets the bytes of a session's prepared statements and values. If it returns `false`, the
    /// session may not hold that many, and nothing has changed.
    #[must_use]
    pub fn store(&mut self, id: HolderId, bytes: u64) -> bool {
        let Some(holder) = self.holders.get_mut(id) else { return true };
        let before = holder.charge();
        let grows = bytes > holder.stored;
        let after = charge(holder.transient + holder.answer + bytes);
        let limit = self.limits.chargeable_bytes(self.holders.len());
        if grows
            && (bytes > MAX_STORED_BYTES
                || (after > before && self.charged + after - before > limit))
        {
            return false;
        }
        if let Some(holder) = self.holders.get_mut(id) {
            holder.stored = bytes;
        }
        self.charged = self.charged - before + after;
        if !grows {
            self.serve_waiting();
        }
        true
    }

    /// Sessions that must be closed because of a time limit, or because others need their memory.
    /// To be called about once a second.
    pub fn sweep(&mut self, now: Time) -> Vec<Eviction<T>> {
        while let Some(first) = self.starting.front()
            && !self.is_starting(*first)
        {
            self.starting.pop_front();
        }
        let mut evicted = Vec::new();
        for id in std::mem::take(&mut self.unfinished) {
            let Some(holder) = self.holders.get_mut(id) else { continue };
            if !holder.is_unfinished() {
                holder.listed = false;
            } else if let Some(reason) = overdue(now, holder) {
                evicted.extend(self.evict(now, id, reason));
            } else {
                self.unfinished.push(id);
            }
        }
        let first = self.first_waiting(true).or_else(|| self.first_waiting(false));
        let first = first.and_then(|id| {
            let (bytes, since) = self.holders.get(id)?.waiting?;
            (now.since(since) >= RECLAIM_WAIT).then_some((id, bytes))
        });
        evicted.extend(self.reclaim(now, first));
        self.serve_waiting();
        evicted
    }

    /// Closes the largest holders without progress until the budget is kept and the session that
    /// waits for so many bytes can have them.
    fn reclaim(&mut self, now: Time, first: Option<(HolderId, u64)>) -> Vec<Eviction<T>> {
        let mut evicted = Vec::new();
        loop {
            let exceeded = self.charged > self.limits.chargeable_bytes(self.holders.len());
            let messages_only = match first {
                _ if exceeded => false,
                Some((id, bytes)) if !self.fits(id, bytes) => self.fits_in_all(id, bytes),
                _ => break,
            };
            let Some(largest) = self.largest_stalled(now, messages_only, None) else { break };
            evicted.extend(self.evict(now, largest, Reason::LargestHolder));
        }
        evicted
    }

    /// The largest holder without progress, of those whose messages count if `messages_only`.
    fn largest_stalled(
        &self,
        now: Time,
        messages_only: bool,
        except: Option<HolderId>,
    ) -> Option<HolderId> {
        let stalled = self.holders.iter().filter(|(id, holder)| {
            let waits = match holder.phase {
                Phase::Idle => true,
                Phase::Receiving { .. } | Phase::Sending => {
                    holder.waiting.is_none() && now.since(holder.progress_at) >= STALL_TIME
                }
                Phase::Startup | Phase::Running => false,
            };
            let counts = holder.charge() > 0 && (holder.admitted > 0 || !messages_only);
            waits && counts && Some(*id) != except
        });
        stalled.max_by_key(|(_, holder)| holder.charge()).map(|(id, _)| id)
    }

    fn set_answer(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        let before = holder.charge();
        holder.answer = bytes;
        let after = holder.charge();
        self.charged = self.charged - before + after;
        if after < before {
            self.serve_waiting();
        }
    }

    /// Bytes of a session's message and answer.
    #[cfg(test)]
    pub(crate) fn transient_bytes(&self, id: HolderId) -> u64 {
        self.transient(id)
    }

    fn transient(&self, id: HolderId) -> u64 {
        self.holders.get(id).map_or(0, |holder| holder.transient)
    }

    /// Sets a session's transient bytes, and the part of their charge that belongs to a message.
    fn set_transient(&mut self, id: HolderId, bytes: u64, admitted: u64) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        let before = (holder.charge(), holder.admitted);
        (holder.transient, holder.admitted) = (bytes, admitted);
        let after = holder.charge();
        self.charged = self.charged - before.0 + after;
        self.admitted = self.admitted - before.1 + admitted;
        if after < before.0 || admitted < before.1 {
            self.serve_waiting();
        }
    }

    /// Whether the budget allows a session's message and answer to be this long.
    fn fits(&self, id: HolderId, bytes: u64) -> bool {
        let Some(holder) = self.holders.get(id) else { return true };
        let others = self.admitted - holder.admitted;
        let part = if holder.admitted > 0 { 1 } else { FIRST_PART };
        let limit = self.limits.message_bytes / part;
        let fits_messages = others == 0 || others + charge(bytes) <= limit;
        fits_messages && self.fits_in_all(id, bytes)
    }

    /// Whether the memory of all sessions allows it, whatever messages may hold.
    fn fits_in_all(&self, id: HolderId, bytes: u64) -> bool {
        let Some(holder) = self.holders.get(id) else { return true };
        let others = self.charged - holder.charge();
        let wanted = charge(bytes + holder.answer + holder.stored);
        // A message within the limits is served if nothing else needs the memory.
        others == 0 || others + wanted <= self.limits.chargeable_bytes(self.holders.len())
    }

    /// The session that is the next to get memory, its first or more of it.
    fn first_waiting(&mut self, more: bool) -> Option<HolderId> {
        while let Some(first) = self.queue(more).front().copied() {
            if self.is_waiting(first) {
                return Some(first);
            }
            self.queue(more).pop_front();
        }
        None
    }

    fn queue(&mut self, more: bool) -> &mut VecDeque<HolderId> {
        if more { &mut self.growing } else { &mut self.waiting }
    }

    fn serve_waiting(&mut self) {
        for more in [true, false] {
            while let Some(id) = self.first_waiting(more) {
                let Some(holder) = self.holders.get(id) else { break };
                let Some((bytes, _)) = holder.waiting else { break };
                if !self.fits(id, bytes) {
                    break;
                }
                self.queue(more).pop_front();
                let Some(holder) = self.holders.get_mut(id) else { break };
                let before = (holder.charge(), holder.admitted);
                holder.waiting = None;
                holder.transient = holder.transient.max(bytes);
                holder.admitted = charge(holder.transient);
                self.charged = self.charged - before.0 + holder.charge();
                self.admitted = self.admitted - before.1 + holder.admitted;
            }
        }
    }

    fn oldest_starting(&mut self) -> Option<HolderId> {
        while let Some(id) = self.starting.pop_front() {
            if self.is_starting(id) {
                return Some(id);
            }
        }
        None
    }

    fn is_starting(&self, id: HolderId) -> bool {
        self.holders.get(id).is_some_and(|holder| holder.phase == Phase::Startup)
    }

    fn list(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(id)
            && !std::mem::replace(&mut holder.listed, true)
        {
            self.unfinished.push(id);
        }
    }

    fn evict(&mut self, now: Time, id: HolderId, reason: Reason) -> Option<Eviction<T>> {
        let holder = self.remove(id)?;
        let (bytes, age) = (holder.bytes(), now.since(holder.opened_at));
        Some(Eviction { handle: holder.handle, reason, bytes, age })
    }

    fn remove(&mut self, id: HolderId) -> Option<Holder<T>> {
        let holder = self.holders.remove(id)?;
        self.charged -= holder.charge();
        self.admitted -= holder.admitted;
        self.descriptors -= holder.descriptors;
        Some(holder)
    }
}

/// The time limit that a session has exceeded.
fn overdue<T>(now: Time, holder: &Holder<T>) -> Option<Reason> {
    match holder.phase {
        Phase::Receiving { since, bytes } => {
            let age = now.since(since);
            let expected = age.as_micros().saturating_mul(MIN_MESSAGE_RATE) / 1_000_000;
            (age > MESSAGE_TIME && bytes < expected).then_some(Reason::SlowMessage)
        }
        Phase::Sending => {
            (now.since(holder.progress_at) > ANSWER_TIME).then_some(Reason::UnreadAnswer)
        }
        Phase::Startup | Phase::Idle | Phase::Running => None,
    }
}
