use base::{Position, Span, Time};
use routing::Health;

use crate::spec::MemberSpec;

/// A new sample has the weight 1/8 in the smoothed latency of statements.
const LATENCY_SMOOTHING_DIVISOR: u64 = 8;
/// Latency that is assumed before the first measurement. It is short, so that a new
/// member gets requests.
const INITIAL_LATENCY: Span = Span::from_millis(20);
/// How long a replica that was found behind a position gets no reads that require this
/// position. A few times the usual replication lag.
const BEHIND_RETRY_AFTER: Span = Span::from_millis(150);
/// How long a connection beyond the number to keep may be idle before it is closed. It
/// is longer than the pauses within a burst. It is short because a member still holds
/// these connections for some seconds if this VM loses power.
const SPARE_IDLE_TIMEOUT: Span = Span::from_millis(1_500);
/// Limit of connections that are being opened to a member concurrently. Opening one occupies
/// one of the member's slots for a while.
const MAX_OPENING: u32 = 1;

/// State of a member in this daemon's pool.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) spec: MemberSpec,
    /// Idle connections and the time since which they are idle, most recently used last.
    pub(crate) idle: Vec<(u64, Time)>,
    /// Number of connections that are open or being opened, including idle ones.
    pub(crate) open: u32,
    pub(crate) opening: u32,
    pub(crate) running: u32,
    pub(crate) position: Position,
    pub(crate) latency: Span,
    pub(crate) health: Health,
    /// Number of refused connections since the last answer.
    pub(crate) consecutive_refusals: u32,
    /// Time until which no connection is opened, because the member has reached its limit.
    pub(crate) full_until: Option<Time>,
    /// Position that the member's log lacked, and until when this is taken to hold.
    behind: Option<(Position, Time)>,
    /// Time since which an answer has been outstanding without any answer coming in.
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
            latency: INITIAL_LATENCY,
            health: Health::default(),
            consecutive_refusals: 0,
            full_until: None,
            behind: None,
            unanswered_since: None,
        }
    }

    /// Records that an answer is outstanding from now on.
    pub(crate) fn record_request(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer of any kind.
    pub(crate) fn record_answer(&mut self, now: Time) {
        self.health.record_answer(now);
        self.consecutive_refusals = 0;
        let waits = self.running + self.opening > 0;
        self.unanswered_since = waits.then_some(now);
    }

    /// Records that an answer is no longer awaited.
    pub(crate) fn record_abandoned(&mut self) {
        if self.running + self.opening == 0 {
            self.unanswered_since = None;
        }
    }

    /// How long an answer has been outstanding without any answer coming in.
    pub(crate) fn unanswered_for(&self, now: Time) -> Span {
        self.unanswered_since.map_or(Span::ZERO, |since| now.since(since))
    }

    pub(crate) fn record_latency(&mut self, service: Span) {
        let old = self.latency.as_micros() * (LATENCY_SMOOTHING_DIVISOR - 1);
        self.latency = Span::from_micros((old + service.as_micros()) / LATENCY_SMOOTHING_DIVISOR);
    }

    pub(crate) fn record_behind(&mut self, now: Time, required: Position) {
        self.behind = Some((required, now + BEHIND_RETRY_AFTER));
    }

    /// Whether the member's log may contain `required`, as far as known.
    pub(crate) fn may_hold(&self, now: Time, required: Position) -> bool {
        if self.position >= required {
            return true;
        }
        self.behind.is_none_or(|(missing, until)| now >= until || required < missing)
    }

    /// Number of requests that could start on the member now.
    pub(crate) fn startable(&self, max_running: u32) -> u32 {
        max_running.saturating_sub(self.running).min(self.idle.len() as u32)
    }

    /// Whether another connection would let another request start, besides those that the idle
    /// connections and the ones being opened serve.
    pub(crate) fn could_start_another(&self, max_running: u32) -> bool {
        self.running + self.opening + (self.idle.len() as u32) < max_running
    }

    /// Whether the member may get new requests.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        !self.spec.leaving && !self.health.is_ejected(now)
    }

    /// Removes and returns an idle connection that should be closed.
    pub(crate) fn take_spare(&mut self, now: Time, kept: u32, max_open: u32) -> Option<u64> {
        let &(_, since) = self.idle.first()?;
        let unused = self.open > kept && now.since(since) >= SPARE_IDLE_TIMEOUT;
        let close = self.spec.leaving || self.open > max_open || unused;
        close.then(|| self.idle.remove(0).0)
    }

    /// Whether another connection may be opened while fewer than `share` are open.
    pub(crate) fn may_open(&self, now: Time, share: u32) -> bool {
        let full = self.full_until.is_some_and(|until| now < until);
        self.is_usable(now) && !full && self.opening < MAX_OPENING && self.open < share
    }
}
