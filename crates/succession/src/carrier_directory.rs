use std::net::SocketAddr;

use base::{FastMap, Span, Time};

use crate::records::CarrierRecord;

/// Connections to each member that make a carrier worthwhile: enough for the
/// transactions that rest on the primary while others run.
const CONNECTIONS_EACH: u32 = 6;
/// Fewest and most carriers. Fewer would make the loss of one felt; more would be many
/// to ask before a change of primary.
const CARRIERS: (u32, u32) = (8, 12);
/// Silence after which a carrier gets no new sessions: several questions.
const SILENT_AFTER: Span = Span::from_millis(1_300);
/// How long a carrier that failed a session is left alone.
const FAILED_FOR: Span = Span::from_millis(1_000);

/// How many carriers there may be in each availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CarrierSlots(u32);

impl CarrierSlots {
    /// Places in each of `zones`, where members accept `connections` at least.
    pub fn new(connections: u32, zones: usize) -> CarrierSlots {
        let carriers = (connections / CONNECTIONS_EACH).clamp(CARRIERS.0, CARRIERS.1);
        CarrierSlots(carriers.div_ceil(zones.max(1) as u32))
    }

    /// Numbers of the places in one zone.
    pub fn indices(self) -> impl Iterator<Item = u32> {
        0..self.0
    }
}

/// The carriers as a daemon sees them that is none itself.
#[derive(Debug, Default)]
pub struct CarrierDirectory {
    carriers: FastMap<String, Carrier>,
}

#[derive(Debug)]
struct Carrier {
    record: CarrierRecord,
    heard: Option<Time>,
    failed_until: Option<Time>,
}

impl CarrierDirectory {
    /// Takes in the list of carriers.
    pub fn set<'a>(&mut self, now: Time, records: impl Iterator<Item = &'a CarrierRecord>) {
        let mut carriers = FastMap::default();
        for record in records {
            let known = self.carriers.remove(&record.vm);
            let known = known.filter(|known| known.record == *record);
            // One that is new counts as heard, until it turns out to be silent.
            let carrier = known.unwrap_or_else(|| Carrier {
                record: record.clone(),
                heard: Some(now),
                failed_until: None,
            });
            carriers.insert(record.vm.clone(), carrier);
        }
        self.carriers = carriers;
    }

    /// Notes an answer of a carrier to this daemon's question.
    pub fn record_answer(&mut self, now: Time, vm: &str) {
        if let Some(carrier) = self.carriers.get_mut(vm) {
            carrier.heard = Some(now);
        }
    }

    /// Notes that a session could not be had at an address, or broke.
    pub fn record_failure(&mut self, now: Time, sessions: SocketAddr) {
        let mut carriers = self.carriers.values_mut();
        if let Some(carrier) = carriers.find(|carrier| carrier.record.sessions == sessions) {
            carrier.failed_until = Some(now + FAILED_FOR);
        }
    }

    /// Every carrier that should be asked whether it is there.
    pub fn heartbeat_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.carriers.values().map(|carrier| carrier.record.addr)
    }

    /// Where sessions may go, the best ones only: in `zone` if any carrier answers
    /// there, else anywhere, and if none answers, all of them.
    pub fn session_addrs(&self, now: Time, zone: &str) -> Vec<SocketAddr> {
        let good = |carrier: &&Carrier| {
            let heard = carrier.heard.is_some_and(|at| now.since(at) < SILENT_AFTER);
            heard && carrier.failed_until.is_none_or(|until| until <= now)
        };
        let near = |carrier: &&Carrier| carrier.record.zone == zone;
        let sessions = |carrier: &Carrier| carrier.record.sessions;
        let all = || self.carriers.values();
        let best: Vec<_> = all().filter(good).filter(near).map(sessions).collect();
        if !best.is_empty() {
            return best;
        }
        let any: Vec<_> = all().filter(good).map(sessions).collect();
        if any.is_empty() { all().map(sessions).collect() } else { any }
    }
}
