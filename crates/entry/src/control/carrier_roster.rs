use base::FastMap;
use succession::{CarrierRecord, CarrierState, ReplacedCarrier};

use crate::control::{coordination::CoordinationState, peers::Peers};

/// Inputs from which the holder of the failover lease determines which daemons may still use
/// primaries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CarrierRoster<'a> {
    /// This daemon's VM.
    pub(crate) vm: &'a str,
    pub(crate) coordination: &'a CoordinationState,
    pub(crate) peers: &'a Peers,
    /// The store's clock, in milliseconds.
    pub(crate) store_ms: u64,
}

/// A daemon that is a carrier, or was one recently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RosterEntry {
    /// Version of the row that lists the daemon.
    listed: u64,
    /// Whether the row is so old that every list of carriers still in use reflects it.
    settled: bool,
    /// Version up to which the daemon is known to apply rows.
    shown: u64,
    /// Whether the row says that the daemon has lost its carrier slot.
    gone: bool,
}

impl CarrierRoster<'_> {
    /// All daemons that may be in a list of carriers that some daemon still uses.
    pub(crate) fn entries(&self) -> Vec<RosterEntry> {
        let gone =
            self.coordination.gone.values().filter(|(record, _)| !record.is_settled(self.store_ms));
        let slots = self.coordination.gone.values().chain(self.coordination.carriers.values());
        let replaced = slots.flat_map(|(record, version)| {
            let unsettled = record.replaced.iter().filter(|it| !it.is_settled(self.store_ms));
            unsettled.map(|it| (&it.vm, self.replaced(it, *version)))
        });
        // A daemon that has a new carrier slot is represented by the row of that slot: the
        // later row replaces the earlier in the map.
        let rows = gone.chain(self.coordination.carriers.values());
        let carriers = rows.map(|(record, version)| (&record.vm, self.carrier(record, *version)));
        replaced.chain(carriers).collect::<FastMap<_, _>>().into_values().collect()
    }

    fn carrier(&self, record: &CarrierRecord, listed: u64) -> RosterEntry {
        let settled = record.is_settled(self.store_ms);
        RosterEntry { listed, settled, shown: self.shown(&record.vm), gone: record.gone }
    }

    fn replaced(&self, replaced: &ReplacedCarrier, listed: u64) -> RosterEntry {
        let settled = replaced.is_settled(self.store_ms);
        RosterEntry { listed, settled, shown: self.shown(&replaced.vm), gone: true }
    }

    /// Version up to which a daemon is known to apply rows; 0 if it has reported none.
    fn shown(&self, vm: &str) -> u64 {
        match self.peers.peers.get(vm) {
            _ if vm == self.vm => u64::MAX,
            Some(peer) => peer.version,
            None => 0,
        }
    }
}

impl RosterEntry {
    /// State of the daemon with regard to a failover that began with `version`.
    pub(crate) fn carrier_state(self, version: u64) -> CarrierState {
        let RosterEntry { listed, settled, shown, gone } = self;
        // What a daemon applies is not considered any more once it has lost its carrier slot.
        CarrierState { applied: !gone && shown >= version, listed, settled, shown }
    }
}

#[cfg(test)]
mod tests;
