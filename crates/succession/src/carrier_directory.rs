use std::net::SocketAddr;

use base::{FastMap, Span, Time};

use crate::records::CarrierRecord;

/// Connections to each member that a carrier needs to be useful: enough for the
/// transactions that are idle on the primary while others run.
const CONNECTIONS_PER_CARRIER: u32 = 6;
/// Minimum and maximum number of carriers. With fewer, the loss of one would be noticeable;
/// with more, a failover would have to wait for many.
const CARRIER_COUNT: (u32, u32) = (8, 12);
/// Silence after which a carrier gets no new sessions: several heartbeats unanswered.
const SILENT_AFTER: Span = Span::from_millis(1_300);
/// How long a carrier gets no new sessions after one has failed.
const AVOID_AFTER_FAILURE: Span = Span::from_millis(1_000);

/// Number of carrier slots in each availability zone, which limits its carriers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CarrierSlots(u32);

impl CarrierSlots {
    /// Computes the slots in each of `zones` availability zones, given the lowest number of
    /// connections that a member accepts.
    pub fn new(connections: u32, zones: usize) -> CarrierSlots {
        let carriers =
            (connections / CONNECTIONS_PER_CARRIER).clamp(CARRIER_COUNT.0, CARRIER_COUNT.1);
        CarrierSlots(carriers.div_ceil(zones.max(1) as u32))
    }

    /// Indices of the slots in one zone.
    pub fn indices(self) -> impl Iterator<Item = u32> {
        0..self.0
    }
}

/// The carriers that a daemon can relay sessions to if it is not a carrier itself.
#[derive(Debug, Default)]
pub struct CarrierDirectory {
    carriers: FastMap<String, Carrier>,
}

#[derive(Debug)]
struct Carrier {
    record: CarrierRecord,
    last_answer: Option<Time>,
    failed_until: Option<Time>,
}

impl CarrierDirectory {
    /// Replaces the list of carriers; the state of those with an unchanged record is kept.
    pub fn set<'a>(&mut self, now: Time, records: impl Iterator<Item = &'a CarrierRecord>) {
        let mut carriers = FastMap::default();
        for record in records {
            let previous = self.carriers.remove(&record.vm);
            let previous = previous.filter(|previous| previous.record == *record);
            // A new carrier counts as having answered, so that it can get sessions at once.
            let carrier = previous.unwrap_or_else(|| Carrier {
                record: record.clone(),
                last_answer: Some(now),
                failed_until: None,
            });
            carriers.insert(record.vm.clone(), carrier);
        }
        self.carriers = carriers;
    }

    /// Records that a carrier has answered this daemon's heartbeat.
    pub fn record_answer(&mut self, now: Time, vm: &str) {
        if let Some(carrier) = self.carriers.get_mut(vm) {
            carrier.last_answer = Some(now);
        }
    }

    /// Records that a session to this address could not be opened, or broke.
    pub fn record_failure(&mut self, now: Time, sessions: SocketAddr) {
        let mut carriers = self.carriers.values_mut();
        if let Some(carrier) = carriers.find(|carrier| carrier.record.sessions == sessions) {
            carrier.failed_until = Some(now + AVOID_AFTER_FAILURE);
        }
    }

    /// Heartbeat addresses of all carriers.
    pub fn heartbeat_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.carriers.values().map(|carrier| carrier.record.addr)
    }

    /// Addresses for new sessions: the healthy carriers in `zone` if there are any, else all
    /// healthy carriers, and if no carrier is healthy, all carriers.
    pub fn session_addrs(&self, now: Time, zone: &str) -> Vec<SocketAddr> {
        let healthy = |carrier: &&Carrier| {
            let answers = carrier.last_answer.is_some_and(|at| now.since(at) < SILENT_AFTER);
            answers && carrier.failed_until.is_none_or(|until| until <= now)
        };
        let same_zone = |carrier: &&Carrier| carrier.record.zone == zone;
        let sessions = |carrier: &Carrier| carrier.record.sessions;
        let all = || self.carriers.values();
        let best: Vec<_> = all().filter(healthy).filter(same_zone).map(sessions).collect();
        if !best.is_empty() {
            return best;
        }
        let any: Vec<_> = all().filter(healthy).map(sessions).collect();
        if any.is_empty() { all().map(sessions).collect() } else { any }
    }
}
