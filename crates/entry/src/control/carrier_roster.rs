use base::FastMap;
use succession::{CarrierRecord, CarrierState};

use crate::control::{coordination::CoordinationState, peers::Peers};

/// What tells the driver of a change who may still use primaries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CarrierRoster<'a> {
    /// The driver's own VM.
    pub(crate) vm: &'a str,
    pub(crate) coordination: &'a CoordinationState,
    pub(crate) peers: &'a Peers,
    /// The store's clock in its latest answer.
    pub(crate) store_ms: u64,
}

/// A daemon that is a carrier or was one lately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RosterEntry {
    /// Version of the row that lists it.
    listed: u64,
    settled: bool,
    /// Version of the rows that it has in force, as far as known.
    shown: u64,
    /// Whether the row says that it lost its place.
    gone: bool,
}

impl CarrierRoster<'_> {
    /// Every daemon that some list of carriers still gone by may show.
    pub(crate) fn entries(&self) -> Vec<RosterEntry> {
        let gone =
            self.coordination.gone.values().filter(|(record, _)| !record.is_settled(self.store_ms));
        // A daemon that has a place again counts by that one.
        let rows = gone.chain(self.coordination.carriers.values());
        let carriers = rows.map(|(record, version)| (&record.vm, self.carrier(record, *version)));
        carriers.collect::<FastMap<_, _>>().into_values().collect()
    }

    fn carrier(&self, record: &CarrierRecord, listed: u64) -> RosterEntry {
        let shown = match self.peers.peers.get(&record.vm) {
            _ if record.vm == self.vm => u64::MAX,
            Some(peer) => peer.version,
            None => 0,
        };
        let settled = record.is_settled(self.store_ms);
        RosterEntry { listed, settled, shown, gone: record.gone }
    }
}

impl RosterEntry {
    /// How it stands to a change that `version` of the rows began.
    pub(crate) fn carrier_state(self, version: u64) -> CarrierState {
        let RosterEntry { listed, settled, shown, gone } = self;
        // What one that lost its place has in force is not asked any more.
        CarrierState { applied: !gone && shown >= version, listed, settled, shown }
    }
}

#[cfg(test)]
mod tests;
