use base::{FastMap, OrganisationId, Position, Span, Time};
use routing::Health;

use crate::{
    connection::{Busy, Idle},
    full_backoff::FullBackoff,
    spec::MemberSpec,
};

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
/// The same where connections belong to organisations, so that one that cannot be opened soon does
/// not hold up all others. In the replays 1 gives longer waits (99th percentile 140 instead of
/// 119 ms), and 3 hardly shorter ones (114 ms).
const MAX_OPENING_FOR_ORGANISATIONS: u32 = 2;
/// A connection that takes longer to open than this, and than this many times the usual, is no
/// longer waited for if another member can serve the request. A member that has stopped holds up an
/// attempt for much longer.
const OPEN_PATIENCE: Span = Span::from_millis(100);
const OPEN_PATIENCE_FACTOR: u64 = 4;
/// Time that opening a connection takes, until the first one has been opened.
const INITIAL_OPEN_TIME: Span = Span::from_millis(12);

/// State of a member in this daemon's pool.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) spec: MemberSpec,
    /// Idle connections, most recently used last.
    pub(crate) idle: Vec<Idle>,
    /// Connections in use, by number.
    pub(crate) busy: FastMap<u64, Busy>,
    /// Number of connections that are open or being opened, including idle ones.
    pub(crate) open: u32,
    pub(crate) opening: u32,
    /// Organisations that connections are being opened for, and since when.
    opening_for: Vec<(OrganisationId, Time)>,
    /// Smoothed time that opening a connection takes.
    pub(crate) open_time: Span,
    pub(crate) running: u32,
    pub(crate) position: Position,
    pub(crate) latency: Span,
    pub(crate) health: Health,
    /// Number of refused connections since the last answer.
    pub(crate) consecutive_refusals: u32,
    /// State of the attempts to connect while the member has reached its limit.
    pub(crate) full: FullBackoff,
    /// Number of connections that are being opened in place of idle ones.
    pub(crate) replacing: u32,
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
            busy: FastMap::default(),
            open: 0,
            opening: 0,
            opening_for: Vec::new(),
            open_time: INITIAL_OPEN_TIME,
            running: 0,
            position: Position::default(),
            latency: INITIAL_LATENCY,
            health: Health::default(),
            consecutive_refusals: 0,
            full: FullBackoff::default(),
            replacing: 0,
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
        self.latency = smoothed(self.latency, service);
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

    /// Number of statements and new connections that occupy slots of the member.
    pub(crate) fn load(&self) -> u32 {
        self.running + self.opening
    }

    /// Whether the member's log was found to lack some position recently.
    pub(crate) fn is_behind(&self, now: Time) -> bool {
        self.behind.is_some_and(|(_, until)| now < until)
    }

    /// Number of requests without organisation that could start on the member now.
    pub(crate) fn startable(&self, max_running: u32) -> u32 {
        max_running.saturating_sub(self.running).min(self.idle_of(OrganisationId::SHARED))
    }

    /// Whether another connection would let another request start, besides those that the idle
    /// connections and the ones being opened serve.
    pub(crate) fn could_start_another(&self, max_running: u32) -> bool {
        self.running + self.opening + self.idle_of(OrganisationId::SHARED) < max_running
    }

    /// Number of idle connections of an organisation.
    pub(crate) fn idle_of(&self, organisation: OrganisationId) -> u32 {
        self.idle.iter().filter(|idle| idle.organisation == organisation).count() as u32
    }

    /// Number of connections that are being opened for an organisation.
    pub(crate) fn opening_of(&self, organisation: OrganisationId) -> u32 {
        self.opening_for.iter().filter(|(of, _)| *of == organisation).count() as u32
    }

    /// Number of connections that are being opened for an organisation and are expected soon.
    pub(crate) fn opening_soon(&self, now: Time, organisation: OrganisationId) -> u32 {
        let usual = self.open_time.as_micros() * OPEN_PATIENCE_FACTOR;
        let patience = OPEN_PATIENCE.max(Span::from_micros(usual));
        let soon =
            |(of, at): &&(OrganisationId, Time)| *of == organisation && now.since(*at) <= patience;
        self.opening_for.iter().filter(soon).count() as u32
    }

    /// Number of connections of an organisation that are open or being opened.
    pub(crate) fn connections_of(&self, organisation: OrganisationId) -> u32 {
        let busy = self.busy.values().filter(|busy| busy.organisation == organisation).count();
        busy as u32 + self.idle_of(organisation) + self.opening_of(organisation)
    }

    /// Takes the most recently used idle connection of an organisation into use.
    pub(crate) fn take_idle(&mut self, now: Time, organisation: OrganisationId) -> Option<u64> {
        let place = self.idle.iter().rposition(|idle| idle.organisation == organisation)?;
        let conn = self.idle.remove(place).conn;
        let born = self.spec.born;
        self.busy.insert(conn, Busy { organisation, since: now, born, ended: false, held: false });
        Some(conn)
    }

    /// Records that a connection is being opened for an organisation.
    pub(crate) fn start_opening(&mut self, now: Time, organisation: OrganisationId) {
        self.open += 1;
        self.opening += 1;
        self.opening_for.push((organisation, now));
        self.record_request(now);
    }

    /// Records the end of an attempt to open a connection. Returns how long it took.
    pub(crate) fn end_opening(&mut self, now: Time, organisation: OrganisationId) -> Option<Span> {
        self.opening = self.opening.saturating_sub(1);
        self.replacing = self.replacing.saturating_sub(1);
        let place = self.opening_for.iter().position(|(of, _)| *of == organisation)?;
        Some(now.since(self.opening_for.remove(place).1))
    }

    pub(crate) fn record_open_time(&mut self, took: Span) {
        self.open_time = smoothed(self.open_time, took);
    }

    /// Whether a connection that is opened now, after `closed` others were closed, would be within
    /// the limits for organisations.
    pub(crate) fn may_open_for_organisation(
        &self,
        now: Time,
        max_open: u32,
        max_running: u32,
        closed: u32,
    ) -> bool {
        // A connection in place of another one does not exceed the limit that the member has reached.
        let full = if closed > 0 { self.full.blocks_replacing(now) } else { self.full.blocks(now) };
        self.is_usable(now)
            && !full
            && self.opening < MAX_OPENING_FOR_ORGANISATIONS
            && self.running + self.opening < max_running
            && self.open < max_open + closed
    }

    /// Whether the member may get new requests.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        !self.spec.leaving && !self.health.is_ejected(now)
    }

    /// Removes and returns an idle connection that should be closed.
    pub(crate) fn take_spare(&mut self, now: Time, kept: u32, max_open: u32) -> Option<u64> {
        let close_any = self.spec.leaving || self.open > max_open;
        let spare = self.open > kept;
        let place = self
            .idle
            .iter()
            .position(|idle| close_any || (spare && now.since(idle.since) >= SPARE_IDLE_TIMEOUT))?;
        Some(self.idle.remove(place).conn)
    }

    /// Whether another connection may be opened while fewer than `share` are open.
    pub(crate) fn may_open(&self, now: Time, share: u32) -> bool {
        let full = self.full.blocks(now);
        self.is_usable(now) && !full && self.opening < MAX_OPENING && self.open < share
    }
}

fn smoothed(mean: Span, sample: Span) -> Span {
    let old = mean.as_micros() * (LATENCY_SMOOTHING_DIVISOR - 1);
    Span::from_micros((old + sample.as_micros()) / LATENCY_SMOOTHING_DIVISOR)
}
