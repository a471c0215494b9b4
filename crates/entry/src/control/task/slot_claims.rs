//! Claims of carrier slots: free ones, and those of carriers that a zone has lost.

use std::net::SocketAddr;

use adapter::{Config, StoreKey};
use base::{Span, Time};
use succession::{CarrierRecord, PartRecord};

use super::{Control, STORE_POLL_INTERVAL, carrier_role::LARGE_VM_CORES};
use crate::control::{
    coordination::{CoordinationState, STATE_TABLE},
    coordinator::encode,
};

/// Age up to which the store's clock counts when a carrier slot is claimed: the time written into
/// the slot's row must not be older than the row.
const STORE_CLOCK_MAX_AGE: Span = Span::from_millis(1_000);
/// How long smaller VMs leave a free carrier slot to larger ones that are still starting.
const SMALL_VM_DELAY: Span = Span::from_millis(1_500);
/// Time without an answer of any carrier of a zone after which daemons of the zone replace carriers:
/// longer than a process takes to restart, since a carrier that returns would find its slot taken.
const ZONE_LOST_AFTER: Span = Span::from_millis(4_000);
/// Range over which these daemons spread, so that one is a carrier and answers before others act.
const ZONE_LOST_SPREAD: Span = Span::from_millis(1_000);
/// How long the store must have been answering before: carriers that have waited for it answer first.
const STORE_RETURN_DELAY: Span = Span::from_millis(1_000);
/// Time that a carrier has to answer a doubt by the store: to read it, wait for its next attempt to
/// register ([`STORE_POLL_INTERVAL`]), and write.
const DOUBT_TIMEOUT: Span = Span::from_millis(1_500);
/// Minimum interval between two doubts of one daemon. A carrier that it alone cannot hear answers each.
const DOUBT_INTERVAL: Span = Span::from_millis(5_000);

/// A claim of a carrier slot.
struct SlotClaim {
    place: String,
    /// Version that the row of the slot must have.
    version: u64,
    record: CarrierRecord,
    /// Version that the row of the slot's part of the organisations' limits must have, if this daemon is
    /// recorded as its user, too.
    part_version: Option<u64>,
}

impl Control {
    /// Claims a carrier slot in this availability zone, or updates this daemon's record. Small VMs
    /// wait, so that large ones can claim the slot first.
    pub(super) fn register_carrier(&mut self, now: Time) {
        let Some(config) = self.config.clone() else { return };
        let recently = self.last_registration.is_some_and(|at| now.since(at) < STORE_POLL_INTERVAL);
        let may_claim = self.carries || self.knows_slots(now);
        if !self.coordination.loaded
            || self.store_ms == 0
            || recently
            || self.stopping
            || !may_claim
        {
            return;
        }
        let own = self.own_record();
        let claim = match self.coordination.carrier(&self.settings.vm) {
            Some((place, known, version)) => {
                let mut record = CarrierRecord { replaced: known.replaced.clone(), ..own };
                if known.is_same(&record) {
                    if known.millicores == record.millicores && !known.doubted {
                        return;
                    }
                    // The lists in use show this carrier, whatever its record says of its cores.
                    record.since_ms = known.since_ms;
                }
                SlotClaim { place: place.to_owned(), version, record, part_version: None }
            }
            None => {
                let Some(claim) = self.claimable_slot(now, &config, &own) else {
                    self.vacant_since = None;
                    return;
                };
                let since = *self.vacant_since.get_or_insert(now);
                let is_small = self.settings.cores < LARGE_VM_CORES;
                if is_small && now.since(since) < SMALL_VM_DELAY {
                    return;
                }
                claim
            }
        };
        self.last_registration = Some(now);
        let is_dated_now = claim.record.since_ms == self.store_ms;
        if is_dated_now && now.since(self.store_ms_at) > STORE_CLOCK_MAX_AGE {
            // The claim follows when the store has answered with its clock and the current rows.
            self.last_registration = None;
            let recently =
                self.last_store_poll.is_some_and(|at| now.since(at) < STORE_POLL_INTERVAL);
            if !recently {
                self.read_state_table(now);
            }
            return;
        }
        if claim.record.doubted {
            self.last_doubt = Some(now);
        }
        self.write_claim(now, &claim);
    }

    /// The record of this daemon as a carrier from now on.
    fn own_record(&self) -> CarrierRecord {
        CarrierRecord {
            vm: self.settings.vm.clone(),
            addr: SocketAddr::new(self.settings.callers.ip(), self.settings.ports.0),
            sessions: self.settings.callers,
            zone: self.settings.zone.clone(),
            millicores: (self.settings.cores * 1_000.0).round() as u32,
            since_ms: self.store_ms,
            gone: false,
            doubted: false,
            replaced: Vec::new(),
        }
    }

    /// A slot of this zone that is free, or else one whose carrier this daemon may replace.
    fn claimable_slot(
        &mut self,
        now: Time,
        config: &Config,
        own: &CarrierRecord,
    ) -> Option<SlotClaim> {
        let (coordination, store_ms) = (&self.coordination, self.store_ms(now));
        let places: Vec<_> = self
            .carrier_slots(config)
            .indices()
            .map(|number| CoordinationState::carrier_slot(&own.zone, number))
            .collect();
        let free = places.iter().find_map(|place| {
            let version = coordination.claimable_version(place, &own.vm, store_ms)?;
            let record = match coordination.slot(place) {
                Some((previous, _)) => own.clone().taking_over(previous, store_ms)?,
                None => own.clone(),
            };
            Some(SlotClaim { place: place.clone(), version, record, part_version: None })
        });
        if free.is_some() || !self.is_zone_lost(now) {
            self.doubts.clear();
            return free;
        }
        places.iter().find_map(|place| self.takeover(now, place, own))
    }

    /// The claim by which this daemon replaces the carrier of a slot, or by which it doubts that the
    /// carrier runs: one that the store still reaches keeps its slot, whoever else cannot hear it.
    ///
    /// Lists that contain the replaced carrier may still be in use, and it may use its part of the
    /// organisations' limits until its grant ends.
    fn takeover(&mut self, now: Time, place: &str, own: &CarrierRecord) -> Option<SlotClaim> {
        let store_ms = self.store_ms(now);
        let (previous, version) = self.coordination.slot(place)?;
        let claim = |record| SlotClaim {
            place: place.to_owned(),
            version: *version,
            record,
            part_version: None,
        };
        if !previous.gone && !previous.doubted {
            if self.last_doubt.is_some_and(|at| now.since(at) < DOUBT_INTERVAL) {
                return None;
            }
            return Some(claim(CarrierRecord { doubted: true, ..previous.clone() }));
        }
        let (doubted_version, since) =
            self.doubts.entry(place.to_owned()).or_insert((*version, now));
        if doubted_version != version {
            (*doubted_version, *since) = (*version, now);
        }
        if !previous.gone && now.since(*since) < DOUBT_TIMEOUT {
            return None;
        }
        let record = own.clone().taking_over(previous, store_ms)?;
        let part_version = match self.coordination.parts.get(place) {
            _ if !self.has_organisations() => None,
            None => Some(0),
            Some((part, version)) => (part.user == previous.vm).then_some(*version),
        };
        Some(SlotClaim { part_version, ..claim(record) })
    }

    fn write_claim(&self, now: Time, claim: &SlotClaim) {
        let SlotClaim { place, version, record, part_version } = claim;
        logs::event(
            "writing carrier slot",
            &serde_json::json!({"slot": place, "vm": record.vm, "doubted": record.doubted,
                "replaced": record.replaced}),
        );
        let key = CoordinationState::carrier_key(place);
        let row = StoreKey { table: STATE_TABLE, key: &key };
        let change = self.coordination.transaction(self.store_ms(now));
        let change = change.with_expected(row, *version).with_put(row, &encode(record));
        let key = CoordinationState::part_key(place);
        let row = StoreKey { table: STATE_TABLE, key: &key };
        let change = match part_version {
            Some(version) => {
                let part = PartRecord { user: record.vm.clone(), since_ms: record.since_ms };
                change.with_expected(row, *version).with_put(row, &encode(&part))
            }
            None => change,
        };
        self.write("carrier", change);
    }

    /// Whether the carriers of this zone have been silent for so long that this daemon may replace one,
    /// or the store lists none. Nobody else may be left who could free their slots.
    ///
    /// The silence counts from the time at which this daemon first read that they are carriers, and
    /// only while it runs. Carriers learn their role from the store, so that they can answer only
    /// once it has answered for a while.
    pub(super) fn is_zone_lost(&self, now: Time) -> bool {
        let spread = Span::from_micros(self.run % ZONE_LOST_SPREAD.as_micros());
        let silence = self.carrier_directory.zone_silence(now, &self.settings.zone);
        let is_silent = silence.is_none_or(|silence| silence >= ZONE_LOST_AFTER + spread);
        let store_answers =
            self.store_answers_since.is_some_and(|at| now.since(at) >= STORE_RETURN_DELAY);
        self.coordination.loaded && !self.carries && is_silent && store_answers
    }
}
