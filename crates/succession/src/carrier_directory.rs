use std::net::SocketAddr;

use base::{FastMap, Span, Time};

use crate::{
    placement::{CarrierHealth, PlacementCarrier},
    records::CarrierRecord,
};

/// Connections to each member that a carrier needs to be useful: enough for the
/// transactions that are idle on the primary while others run.
const CONNECTIONS_PER_CARRIER: u32 = 6;
/// Minimum and maximum number of carriers. With fewer, the loss of one would be noticeable;
/// with more, a failover would have to wait for many.
const CARRIER_COUNT: (u32, u32) = (8, 12);
/// How long a heartbeat may go unanswered before its carrier gets no new sessions, statements
/// go elsewhere and reads are repeated elsewhere: short of the targets of most callers, and long
/// compared with the pauses of a VM that has used up its share of a core.
const SILENT_AFTER: Span = Span::from_millis(450);
/// How long a heartbeat may go unanswered before writes and transactions at its carrier are given
/// up. They cannot be repeated, so a carrier that was only slow gets the time to answer.
const LOST_AFTER: Span = Span::from_millis(1_300);
/// How long a heartbeat may go unanswered before the carrier is doubted. The carriers of the
/// other availability zones are then asked as well, so that it is known which of them answer by
/// the time that sessions have to move.
const DOUBTED_AFTER: Span = Span::from_millis(200);
/// Interval at which carriers send heartbeats. One carrier's are no replies to another's, but come at
/// any time within the interval.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(250);
/// How long a carrier gets no new sessions after one has failed.
const AVOID_AFTER_FAILURE: Span = Span::from_millis(1_000);

/// Number of carrier slots in each availability zone, which limits its carriers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CarrierSlots {
    per_zone: u32,
    zones: u32,
}

impl CarrierSlots {
    /// Computes the slots in each of `zones` availability zones, given the lowest number of
    /// connections that a member accepts.
    pub fn new(connections: u32, zones: usize) -> CarrierSlots {
        let carriers =
            (connections / CONNECTIONS_PER_CARRIER).clamp(CARRIER_COUNT.0, CARRIER_COUNT.1);
        let zones = zones.max(1) as u32;
        CarrierSlots { per_zone: carriers.div_ceil(zones), zones }
    }

    /// As [`CarrierSlots::new`], but rounded down in each zone: where a connection belongs to one
    /// organisation, fewer carriers with more connections each reuse them more often.
    pub fn with_organisations(connections: u32, zones: usize) -> CarrierSlots {
        let slots = CarrierSlots::new(connections, zones);
        let fewest = CARRIER_COUNT.0.div_ceil(slots.zones);
        CarrierSlots { per_zone: fewest.min(slots.per_zone), ..slots }
    }

    /// Indices of the slots in one zone.
    pub fn indices(self) -> impl Iterator<Item = u32> {
        0..self.per_zone
    }

    /// Number of slots in all zones.
    pub fn total(self) -> usize {
        (self.per_zone * self.zones) as usize
    }
}

/// The carriers that a daemon can relay sessions to.
#[derive(Debug, Default)]
pub struct CarrierDirectory {
    carriers: FastMap<String, Carrier>,
}

#[derive(Debug)]
struct Carrier {
    record: CarrierRecord,
    /// When it last answered, or was first listed.
    last_answer: Time,
    /// When it was first asked after its last answer; `None` if it was not asked since.
    unanswered_since: Option<Time>,
    /// Whether it accepts sessions, as it said last.
    accepts: bool,
    failed_until: Option<Time>,
    /// When its health last began, unless something not recorded here has ended it since.
    healthy_since: Time,
}

impl CarrierDirectory {
    /// Replaces the list of carriers; the state of those with an unchanged record is kept.
    pub fn set<'a>(&mut self, now: Time, records: impl Iterator<Item = &'a CarrierRecord>) {
        let mut carriers = FastMap::default();
        // A daemon that has just started takes the carriers for healthy, as the others do.
        let healthy_since = if self.carriers.is_empty() { Time::default() } else { now };
        for record in records {
            let previous = self.carriers.remove(&record.vm);
            let previous = previous.filter(|previous| {
                previous.record.is_same(record) && previous.record.since_ms == record.since_ms
            });
            // A new carrier counts as having answered, so that it can get sessions at once.
            let carrier = previous.unwrap_or_else(|| Carrier {
                record: record.clone(),
                last_answer: now,
                unanswered_since: None,
                accepts: true,
                failed_until: None,
                healthy_since,
            });
            carriers.insert(record.vm.clone(), Carrier { record: record.clone(), ..carrier });
        }
        self.carriers = carriers;
    }

    /// Records that a carrier has answered this daemon's heartbeat; `accepts` is whether it may
    /// use primaries and is not stopping.
    pub fn record_answer(&mut self, now: Time, vm: &str, accepts: bool) {
        if let Some(carrier) = self.carriers.get_mut(vm) {
            if !carrier.accepts || !carrier.answers(now, SILENT_AFTER) {
                carrier.healthy_since = carrier.healthy_since.max(now);
            }
            carrier.accepts = accepts;
            carrier.last_answer = now;
            carrier.unanswered_since = None;
        }
    }

    /// Records that this daemon runs again after it has stood still: the answers of the meantime
    /// are still on their way, so no carrier counts as silent yet.
    pub fn resume(&mut self, now: Time) {
        for carrier in self.carriers.values_mut() {
            carrier.last_answer = now;
            carrier.unanswered_since = carrier.unanswered_since.map(|_| now);
        }
    }

    /// Records that a session to this address could not be opened, or broke.
    pub fn record_failure(&mut self, now: Time, sessions: SocketAddr) {
        let mut carriers = self.carriers.values_mut();
        if let Some(carrier) = carriers.find(|carrier| carrier.record.sessions == sessions) {
            carrier.failed_until = Some(now + AVOID_AFTER_FAILURE);
            carrier.healthy_since = now + AVOID_AFTER_FAILURE;
        }
    }

    /// Records that a round of heartbeats is sent, and returns the addresses to send them to:
    /// the carriers in `zone` while all of them answer, otherwise all carriers. In a large fleet,
    /// asking all of them each time would be most of the traffic between zones.
    pub fn ask(&mut self, now: Time, zone: &str) -> Vec<SocketAddr> {
        let doubted = self.is_zone_doubted(now, zone);
        let carriers = self.carriers.values_mut();
        let asked = carriers.filter(|carrier| doubted || carrier.record.zone == zone);
        let addrs = asked.map(|carrier| {
            carrier.unanswered_since.get_or_insert(now);
            carrier.record.addr
        });
        addrs.collect()
    }

    /// Records that a round of heartbeats is sent, and returns the addresses to send them to, where
    /// sessions may be placed on any carrier: in every other round only the carriers in `zone`, while
    /// all the others answer, since most of the traffic between zones would be heartbeats.
    pub fn ask_for_placement(&mut self, now: Time, zone: &str, round: u64) -> Vec<SocketAddr> {
        if round.is_multiple_of(2) {
            return self.ask_all(now);
        }
        let asked = self.carriers.values_mut().filter(|carrier| {
            carrier.record.zone == zone || !carrier.is_healthy(now, DOUBTED_AFTER)
        });
        let addrs = asked.map(|carrier| {
            carrier.unanswered_since.get_or_insert(now);
            carrier.record.addr
        });
        addrs.collect()
    }

    /// Records that a heartbeat is sent to every carrier, and returns the addresses.
    ///
    /// It counts as unanswered only when the next heartbeat of the carrier is due. Otherwise a
    /// carrier, to which the others send heartbeats but no replies, would take one of them for silent
    /// when a single datagram is lost.
    pub fn ask_all(&mut self, now: Time) -> Vec<SocketAddr> {
        let asked = self.carriers.values_mut().map(|carrier| {
            let due = carrier.last_answer + HEARTBEAT_INTERVAL;
            carrier.unanswered_since.get_or_insert(now.max(due));
            carrier.record.addr
        });
        asked.collect()
    }

    /// All carriers in the order of their VMs' names, for the placement of sessions. Their health
    /// is known only if all of them are asked ([`CarrierDirectory::ask_all`]).
    pub fn placement_carriers(&self, now: Time) -> Vec<PlacementCarrier> {
        let mut carriers: Vec<_> =
            self.carriers.values().map(|carrier| carrier.for_placement(now)).collect();
        carriers.sort_unstable_by(|left, right| left.vm.cmp(&right.vm));
        carriers
    }

    /// Time since a carrier last answered; `None` if no carrier is known.
    pub fn silence(&self, now: Time) -> Option<Span> {
        let last = self.carriers.values().map(|carrier| carrier.last_answer).max();
        last.map(|at| now.since(at))
    }

    /// Time since a carrier of `zone` last answered, or was first listed; `None` if none is known.
    pub fn zone_silence(&self, now: Time, zone: &str) -> Option<Span> {
        let carriers = self.carriers.values().filter(|carrier| carrier.record.zone == zone);
        carriers.map(|carrier| carrier.last_answer).max().map(|at| now.since(at))
    }

    /// Whether no carrier of `zone` is known, or not all of them answer.
    fn is_zone_doubted(&self, now: Time, zone: &str) -> bool {
        let own = || self.carriers.values().filter(|carrier| carrier.record.zone == zone);
        own().next().is_none() || !own().all(|carrier| carrier.is_healthy(now, DOUBTED_AFTER))
    }

    /// Session address of the carrier on a VM; `None` if none is listed.
    pub fn session_addr(&self, vm: &str) -> Option<SocketAddr> {
        self.carriers.get(vm).map(|carrier| carrier.record.sessions)
    }

    /// Addresses for new sessions: the healthy carriers in `zone` if there are any, else all
    /// healthy carriers, else all that answer, else all.
    pub fn session_addrs(&self, now: Time, zone: &str) -> Vec<SocketAddr> {
        let healthy = |carrier: &&Carrier| carrier.is_healthy(now, SILENT_AFTER);
        let same_zone = |carrier: &&Carrier| carrier.record.zone == zone;
        let sessions = |carrier: &Carrier| carrier.record.sessions;
        let all = || self.carriers.values();
        let best: Vec<_> = all().filter(healthy).filter(same_zone).map(sessions).collect();
        if !best.is_empty() {
            return best;
        }
        let any: Vec<_> = all().filter(healthy).map(sessions).collect();
        if !any.is_empty() {
            return any;
        }
        let answering = self.answering_addrs(now);
        if answering.is_empty() { all().map(sessions).collect() } else { answering }
    }

    /// Session addresses of all carriers that answer without delay. A read that has been sent to
    /// one of them is still awaited, even if new sessions go elsewhere.
    pub fn answering_addrs(&self, now: Time) -> Vec<SocketAddr> {
        self.addrs_within(now, SILENT_AFTER)
    }

    /// Session addresses of all carriers that are not lost. A write that has been sent to one of
    /// them, or a transaction that is open there, is still awaited.
    pub fn live_addrs(&self, now: Time) -> Vec<SocketAddr> {
        self.addrs_within(now, LOST_AFTER)
    }

    fn addrs_within(&self, now: Time, limit: Span) -> Vec<SocketAddr> {
        let answering = self.carriers.values().filter(|it| it.answers(now, limit));
        answering.map(|carrier| carrier.record.sessions).collect()
    }
}

impl Carrier {
    /// Whether no heartbeat has gone unanswered for `limit`. A carrier that was not asked counts
    /// as answering.
    fn answers(&self, now: Time, limit: Span) -> bool {
        self.unanswered_since.is_none_or(|at| now.since(at) < limit)
    }

    fn for_placement(&self, now: Time) -> PlacementCarrier {
        let healthy_since = self.is_healthy(now, SILENT_AFTER).then_some(self.healthy_since);
        PlacementCarrier {
            vm: self.record.vm.clone(),
            sessions: self.record.sessions,
            millicores: self.record.millicores,
            health: CarrierHealth::new(now, healthy_since),
        }
    }

    /// Whether it answers and accepts sessions, and no session with it has failed lately.
    fn is_healthy(&self, now: Time, limit: Span) -> bool {
        let failed = self.failed_until.is_some_and(|until| now < until);
        self.answers(now, limit) && self.accepts && !failed
    }
}
