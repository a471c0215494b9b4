//! The role of this daemon as a carrier, its grant and its readiness.

use std::net::SocketAddr;

use adapter::{CallError, Config, StoreKey, StoreTransaction};
use base::{Span, Time};
use succession::{
    CarrierRecord, CarrierSlots, Copied, Feed, FollowedTables, FollowerView, PartRecord,
};

use super::{Control, STORE_POLL_INTERVAL};
use crate::{
    clock,
    control::{
        coordination::{CoordinationState, STATE_TABLE},
        coordinator::encode,
        event::Event,
        followed_since::FollowedSince,
    },
    messages::{CarrierChoice, Order},
    start_up::StartStep,
};

/// A carrier is not ready when its grant, or the lease of its copies, expires within this time. The
/// platform takes two failed probes to send callers to other daemons.
const READY_GRANT_MARGIN: Span = Span::from_millis(500);
/// How long a carrier must have been without a sufficient grant before it sends idle
/// sessions to other daemons: earlier, the platform would send them here again.
const EVACUATE_AFTER: Span = Span::from_millis(2_000);
/// Silence after which a carrier loses its carrier slot. It is longer than the carriers' answers
/// can replace those of the store, so that lists of carriers differ little meanwhile.
const CARRIER_EXPIRY: Span = Span::from_millis(14_000);
/// CPU share, in cores, from which a VM claims a carrier slot without delay.
const LARGE_VM_CORES: f64 = 0.25;
/// Age up to which the store's clock counts when a carrier slot is claimed: the time written into
/// the slot's row must not be older than the row.
const STORE_CLOCK_MAX_AGE: Span = Span::from_millis(1_000);
/// Silence of all carriers after which a daemon that follows no table asks the store who the
/// carriers are.
const CARRIERS_SILENT_AFTER: Span = Span::from_millis(3_000);
/// Range over which these daemons spread their questions, so that a fleet that has lost its
/// carriers does not ask the store all at once.
const CARRIERS_SILENT_SPREAD: Span = Span::from_millis(2_000);
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

    /// The carrier slots of all availability zones.
    pub(super) fn carrier_slots(&self, config: &Config) -> CarrierSlots {
        let connections = config.groups.iter().map(|group| group.connections).min();
        let connections = connections.unwrap_or(0);
        if self.has_organisations() || config.requires_keys {
            CarrierSlots::with_organisations(connections, self.settings.zones)
        } else {
            CarrierSlots::new(connections, self.settings.zones)
        }
    }

    /// The store's clock, in ms, extrapolated from its latest answer: a daemon that follows no
    /// table does not hear from the store.
    pub(super) fn store_ms(&self, now: Time) -> u64 {
        self.store_ms + now.since(self.store_ms_at).as_millis()
    }

    pub(super) fn write(&self, what: &'static str, change: StoreTransaction) {
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = store.apply(&change).await;
            // Fails only during shutdown.
            let _ = events.unbounded_send(Event::WriteFinished { what, result });
        });
    }

    pub(super) fn handle_write_result(
        &mut self,
        what: &'static str,
        result: Result<u64, CallError>,
    ) {
        let Err(error) = result else { return };
        logs::event(
            "write failed",
            &serde_json::json!({"what": what, "reason": error.to_string()}),
        );
        self.coordinator.write_failed();
        if matches!(error, CallError::Conflict) {
            // Another daemon has claimed the carrier slot; the next one may be free.
            self.last_registration = None;
        }
        // A poll of the store shows whether the write took effect all the same.
        self.last_store_poll = None;
    }

    /// Marks a carrier that has been silent for [`CARRIER_EXPIRY`] as without a carrier slot.
    pub(super) fn expire_carriers(&mut self, now: Time) {
        // The silence of others counts only while this daemon could hear them.
        let could_hear = self.standstill.running_for(now) >= CARRIER_EXPIRY;
        if !self.coordinator.is_holder() || !could_hear {
            return;
        }
        let mut peers = self.peers.peers.iter();
        let gone = peers.find(|(_, peer)| now.since(peer.silent_since()) >= CARRIER_EXPIRY);
        let Some((vm, _)) = gone else { return };
        let Some((place, record, version)) = self.coordination.carrier(vm) else { return };
        let record = CarrierRecord { since_ms: self.store_ms, gone: true, ..record.clone() };
        let key = CoordinationState::carrier_key(place);
        let row = StoreKey { table: STATE_TABLE, key: &key };
        let change = self.coordination.transaction(self.store_ms(now));
        let change = change.with_expected(row, version).with_put(row, &encode(&record));
        logs::event("carrier expired", &serde_json::json!({"vm": vm}));
        let vm = vm.clone();
        self.peers.peers.remove(&vm);
        self.write("carrier", change);
    }

    pub(super) fn update_grant(&mut self) {
        self.update_claimed_parts(clock::now());
        let until = if self.carries { self.grant.expires_at() } else { Time::default() };
        self.shared.set_grant_expiry(until);
        let now = clock::now();
        let has_share = {
            let mut shares = self.shared.quota_shares();
            shares.set_grant(now, until);
            !shares.is_starting(now)
        };
        if now < until {
            self.shared.record_start_step(StartStep::Grant);
            if has_share && self.shares_limits() {
                self.shared.record_start_step(StartStep::Share);
            }
        }
        self.shared.set_copies_expiry(self.copies.expires_at());
        self.shared.set_config_confirmed_at(self.copies.confirmed_at(Copied::Config));
        self.shared.set_peers_suffice(self.grant.peers_suffice(clock::now(), Span::ZERO));
    }

    /// Time until which this carrier may run requests, writes included.
    pub(super) fn serves_until(&self) -> Time {
        self.shared.grant_expiry().min(self.shared.copies_expiry())
    }

    pub(super) fn update_readiness(&mut self, now: Time) {
        self.update_followed_tables(now);
        self.send_carriers(now);
        let known = self.coordination.loaded
            && if self.carries {
                self.config.is_some() && self.members_known
            } else {
                self.sent_carriers.as_ref().is_some_and(|choice| !choice.preferred.is_empty())
            };
        let granted = !self.carries || now + READY_GRANT_MARGIN < self.serves_until();
        if granted || !known {
            self.granted_at = Some(now);
        }
        let evacuating = self.granted_at.is_some_and(|at| now.since(at) >= EVACUATE_AFTER);
        if evacuating != self.evacuating {
            self.evacuating = evacuating;
            self.send_order(Order::Evacuate(evacuating));
        }
        let ready = known && granted && !self.stopping;
        if ready != self.shared.is_ready() {
            self.shared.set_ready(ready);
            logs::event("readiness", &serde_json::json!({"ready": ready, "granted": granted}));
        }
    }

    /// Decides which tables of the store to follow ([`FollowedTables`]). A table that is followed
    /// again is read before this daemon serves sessions by it.
    pub(super) fn update_followed_tables(&mut self, now: Time) {
        if !self.coordination.loaded {
            return;
        }
        let loaded_at = *self.loaded_at.get_or_insert(now);
        let spread = Span::from_micros(self.run % CARRIERS_SILENT_SPREAD.as_micros());
        let silent_after = CARRIERS_SILENT_AFTER + spread;
        let silence = self.carrier_directory.silence(now);
        let followed = FollowedTables::new(&FollowerView {
            carries: self.carries,
            is_small: self.settings.cores < LARGE_VM_CORES,
            running_for: now.since(loaded_at),
            zone_has_carrier: self.coordination.has_carrier_in(&self.settings.zone),
            zone_is_lost: self.is_zone_lost(now),
            slot_is_free: self.knows_slots(now).then_some(self.vacant_since.is_some()),
            carriers_silent: silence.is_none_or(|silence| silence >= silent_after),
        });
        let previous = *self.followed.borrow();
        if followed == previous {
            return;
        }
        if previous.operator == Feed::Off {
            self.operator_followed = FollowedSince::new(now);
        }
        if previous.members == Feed::Off {
            self.members_followed = FollowedSince::new(now);
        }
        logs::event("followed tables", &serde_json::json!({"tables": format!("{followed:?}")}));
        // Fails only during shutdown, when no receiver is left.
        let _ = self.followed.send(followed);
    }

    pub(super) fn send_carriers(&mut self, now: Time) {
        let sorted = |mut addrs: Vec<SocketAddr>| {
            addrs.sort_unstable();
            addrs
        };
        let current = self.operator_followed.is_current() && self.members_followed.is_current();
        let is_carrier = self.carries && current;
        let placement = self.places_sessions().then(|| {
            let accepts = is_carrier && self.accepts_sessions(now);
            self.carrier_directory.record_answer(now, &self.settings.vm, accepts);
            self.carrier_directory.placement_carriers(now)
        });
        let mut preferred = self.carrier_directory.session_addrs(now, &self.settings.zone);
        if placement.is_some() {
            // A carrier that relays sessions does not relay them to itself.
            preferred.retain(|sessions| *sessions != self.settings.callers);
        }
        let choice = CarrierChoice {
            is_carrier,
            placement,
            preferred: sorted(preferred),
            answering: sorted(self.carrier_directory.answering_addrs(now)),
            live: sorted(self.carrier_directory.live_addrs(now)),
        };
        if self.sent_carriers.as_ref() != Some(&choice) {
            self.sent_carriers = Some(choice.clone());
            self.send_order(Order::Carriers(choice));
        }
    }
}
