use base::{Span, Time};

use crate::WHOLE;

/// Time after which all carriers use a changed number of slots. A carrier that does not learn of a
/// new configuration stops earlier.
const SLOTS_SETTLE: Span = Span::from_millis(8_000);

/// How long after the own share becomes usable the loans of the other carriers are still to come.
const SETTLE_AFTER_START: Span = Span::from_millis(1_000);

/// The part of every limit that this carrier's slot owns, and when it may be used.
#[derive(Clone, Debug)]
pub(crate) struct OwnShare {
    parts: u32,
    /// Larger share that applies once no carrier uses the former number of slots.
    pending: Option<(Time, u32)>,
    /// Before this, loans that a predecessor has made may be in use.
    started_at: Time,
    /// Before this, other carriers may still use larger shares, which leave nothing for a slot that
    /// was added.
    slots_settle_at: Time,
    /// The same for the slot that this carrier holds.
    slot_ready_at: Time,
    is_owner: bool,
    /// Number of parts of other slots that this carrier may use too.
    taken: u32,
    taken_until: Time,
    /// Whether this VM has held the slot since before the start of the process, and has not used the
    /// share in it.
    was_owner: bool,
    /// Whether there has been a time with a slot and a grant.
    was_usable: bool,
    /// Time since which nobody has used the share, if this VM has held the slot all the time.
    unused_since: Time,
    grant_until: Time,
    /// The share has been usable without interruption since `from`, and is until `until`.
    from: Time,
    until: Time,
    /// Time since which the share has been unused or usable without interruption.
    filled_since: Time,
}

impl OwnShare {
    pub(crate) fn new(started_at: Time, slots: usize) -> OwnShare {
        OwnShare {
            parts: parts(slots),
            pending: None,
            started_at,
            slots_settle_at: Time::default(),
            slot_ready_at: Time::default(),
            is_owner: false,
            taken: 0,
            taken_until: Time::default(),
            was_owner: false,
            was_usable: false,
            unused_since: started_at,
            grant_until: Time::default(),
            from: started_at,
            until: Time::default(),
            filled_since: started_at,
        }
    }

    /// Applies a number of slots; a smaller one only after a while, because it makes shares larger.
    pub(crate) fn set_slots(&mut self, now: Time, slots: usize) {
        let parts = parts(slots);
        if parts < self.parts {
            self.slots_settle_at = now + SLOTS_SETTLE;
        }
        if parts <= self.parts {
            (self.parts, self.pending) = (parts, None);
        } else if self.pending.is_none_or(|(_, pending)| pending != parts) {
            self.pending = Some((now + SLOTS_SETTLE, parts));
        }
    }

    /// Whether a larger share can be applied by [`OwnShare::apply_pending`].
    pub(crate) fn has_due(&self, now: Time) -> bool {
        self.pending.is_some_and(|(at, _)| at <= now)
    }

    pub(crate) fn apply_pending(&mut self) {
        if let Some((_, parts)) = self.pending.take() {
            self.parts = parts;
        }
    }

    /// Sets whether this carrier holds a slot.
    pub(crate) fn set_owner(&mut self, now: Time, is_owner: bool) {
        if is_owner && !self.is_owner {
            self.slot_ready_at = self.slot_ready_at.max(self.slots_settle_at);
        }
        self.is_owner = is_owner;
        self.was_owner &= is_owner;
        self.update(now);
    }

    /// Number of parts of other slots that this carrier may use too at `at`.
    pub(crate) fn taken_at(&self, at: Time) -> u32 {
        if at < self.taken_until { self.taken } else { 0 }
    }

    /// Sets the number of parts of other slots that this carrier may use too, until a time. Tokens of
    /// the time before do not count for them.
    pub(crate) fn set_taken(&mut self, now: Time, taken: u32, until: Time) {
        if taken > self.taken_at(now) {
            self.from = self.from.max(now);
            self.filled_since = self.from;
        }
        (self.taken, self.taken_until) = (taken, until);
    }

    /// Records that the list of carriers, which is known for the first time, is the one from before
    /// the start of the process.
    pub(crate) fn set_listed(&mut self) {
        self.was_owner = self.is_owner && !self.was_usable;
    }

    /// Sets the time until which this carrier holds a grant.
    pub(crate) fn set_grant(&mut self, now: Time, until: Time) {
        self.grant_until = until;
        self.update(now);
    }

    /// Whether loans that a predecessor has made may be in use.
    pub(crate) fn is_starting(&self, now: Time) -> bool {
        now < self.started_at
    }

    /// Records that no loan of a predecessor is in use any more, and none was after `unused_since`.
    pub(crate) fn start(&mut self, now: Time, unused_since: Time) {
        if !self.is_starting(now) {
            return;
        }
        self.started_at = now;
        self.unused_since = unused_since.min(now);
        if now < self.from {
            self.from = now.max(self.slot_ready_at);
            self.filled_since = self.filled_from_start();
        }
    }

    /// Parts of every limit that the slot owns, whether or not they may be used at present.
    pub(crate) fn parts(&self) -> u32 {
        self.parts
    }

    /// Parts of every limit that this carrier may use or lend at `at`.
    pub(crate) fn parts_at(&self, at: Time) -> u32 {
        if self.from <= at && at < self.until { self.parts * (1 + self.taken_at(at)) } else { 0 }
    }

    /// Time since which tokens of the share have not been used: it has been usable since then, or
    /// since a start for which the time from then on counts.
    pub(crate) fn filled_since(&self) -> Time {
        self.filled_since
    }

    /// Whether the share is not usable yet, or has been for less than a moment.
    pub(crate) fn has_begun_at(&self, now: Time) -> bool {
        now < self.from + SETTLE_AFTER_START
    }

    /// Time for whose tokens a bucket that was empty at the start is credited, once the share is
    /// usable.
    pub(crate) fn credit(&self) -> Span {
        self.from.since(self.filled_since)
    }

    /// Times at which [`OwnShare::parts_at`] changes.
    pub(crate) fn changes(&self) -> [Time; 3] {
        [self.from, self.until, self.taken_until]
    }

    /// [`OwnShare::filled_since`] when the share becomes usable.
    fn filled_from_start(&self) -> Time {
        let is_unused = self.was_owner && self.slot_ready_at <= self.unused_since;
        if is_unused { self.unused_since.min(self.from) } else { self.from }
    }

    fn update(&mut self, now: Time) {
        if now >= self.until {
            self.was_owner &= !self.was_usable;
            self.from = now.max(self.started_at).max(self.slot_ready_at);
            self.filled_since = self.filled_from_start();
        }
        self.until = if self.is_owner { self.grant_until } else { Time::default() };
        self.was_usable |= now < self.until;
    }
}

fn parts(slots: usize) -> u32 {
    WHOLE / u32::try_from(slots).unwrap_or(u32::MAX).max(1)
}
