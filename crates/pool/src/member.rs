use base::{Position, Span, Time};
use routing::Health;

use crate::spec::MemberSpec;

/// Weight of the past in the smoothed time of a statement, as 1 - 1/8.
const LATENCY_SMOOTHING: u64 = 8;
/// Time of a statement before any was measured: a short one, so that a member
/// that is new is tried.
const FIRST_LATENCY: Span = Span::from_millis(20);
/// How long a replica that was found behind is left alone by reads that it could
/// not serve; a few times the usual lag.
const BEHIND_FOR: Span = Span::from_millis(150);
/// How long a connection beyond those kept stays open without use: longer than a
/// burst pauses, shorter than what would matter after a loss of power.
const SPARE_FOR: Span = Span::from_millis(1_500);
/// Connections being opened at once: each holds a slot of the member for a while.
const OPENING_AT_ONCE: u32 = 1;

/// A member as this daemon's pool sees it.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) spec: MemberSpec,
    /// Idle connections and since when, the one used last at the end.
    pub(crate) idle: Vec<(u64, Time)>,
    /// Connections open or being opened, idle or not.
    pub(crate) open: u32,
    pub(crate) opening: u32,
    pub(crate) running: u32,
    pub(crate) position: Position,
    pub(crate) latency: Span,
    pub(crate) health: Health,
    /// Connections refused one after the other.
    pub(crate) refusals: u32,
    /// Until when no connection is opened, since it has as many as it accepts.
    pub(crate) full_until: Option<Time>,
    behind: Option<(Position, Time)>,
    unanswered_since: Option<Time>,
}

impl Member {
    pub(crate) fn new(spec: MemberSpec) -> Member {
        Member {
            spec,
            idle: Vec::new(),
            open: 0,
            opening: 0,
            running: 0,
            position: Position::default(),
            latency: FIRST_LATENCY,
            health: Health::default(),
            refusals: 0,
            full_until: None,
            behind: None,
            unanswered_since: None,
        }
    }

    /// Notes that an answer is now waited for.
    pub(crate) fn asked(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes an answer of any kind.
    pub(crate) fn answered(&mut self, now: Time) {
        self.health.record_answer(now);
        self.refusals = 0;
        let waits = self.running + self.opening > 0;
        self.unanswered_since = waits.then_some(now);
    }

    /// Notes that nothing is waited for if nothing runs.
    pub(crate) fn gave_up(&mut self) {
        if self.running + self.opening == 0 {
            self.unanswered_since = None;
        }
    }

    /// How long answers have been waited for without any.
    pub(crate) fn silence(&self, now: Time) -> Span {
        self.unanswered_since.map_or(Span::ZERO, |since| now.since(since))
    }

    pub(crate) fn record_latency(&mut self, service: Span) {
        let old = self.latency.as_micros() * (LATENCY_SMOOTHING - 1);
        self.latency = Span::from_micros((old + service.as_micros()) / LATENCY_SMOOTHING);
    }

    pub(crate) fn record_behind(&mut self, now: Time, required: Position) {
        self.behind = Some((required, now + BEHIND_FOR));
    }

    /// Whether its log may hold `required`, as far as known.
    pub(crate) fn may_hold(&self, now: Time, required: Position) -> bool {
        if self.position >= required {
            return true;
        }
        self.behind.is_none_or(|(missing, until)| now >= until || required < missing)
    }

    /// Requests that could start now.
    pub(crate) fn room(&self, max_running: u32) -> u32 {
        max_running.saturating_sub(self.running).min(self.idle.len() as u32)
    }

    /// Whether new work may go there.
    pub(crate) fn usable(&self, now: Time) -> bool {
        !self.spec.leaving && !self.health.is_ejected(now)
    }

    /// Takes an idle connection that should be closed.
    pub(crate) fn take_spare(&mut self, now: Time, kept: u32, max_open: u32) -> Option<u64> {
        let &(_, since) = self.idle.first()?;
        let unused = self.open > kept && now.since(since) >= SPARE_FOR;
        let close = self.spec.leaving || self.open > max_open || unused;
        close.then(|| self.idle.remove(0).0)
    }

    /// Whether another connection may be opened, given this daemon's share.
    pub(crate) fn may_open(&self, now: Time, share: u32) -> bool {
        let full = self.full_until.is_some_and(|until| now < until);
        self.usable(now) && !full && self.opening < OPENING_AT_ONCE && self.open < share
    }
}
