//! Parts of the organisations' limits that lost carriers leave unused, and who uses them.

use adapter::StoreKey;
use base::{Span, Time};
use quota::{LOAN_DURATION, RECLAIM_DELAY};
use succession::{CarrierState, PartClaim, PartRecord};

use super::{Control, STORE_POLL_INTERVAL};
use crate::control::{
    carrier_roster::CarrierRoster,
    coordination::{CoordinationState, STATE_TABLE},
    coordinator::encode,
    peers::{LOST_AFTER, Peer},
};

/// How long a carrier must have been heard before it gets its part back, so that one that comes and
/// goes does not cause a write each time.
const BACK_AFTER: Span = Span::from_millis(2_000);
/// Age of the process before which it assigns no parts: after a restart of all VMs, carriers start at
/// different times.
const ASSIGNER_AGE: Span = Span::from_millis(3_000);
/// Age up to which the store's clock counts when a record is written.
const STORE_CLOCK_MAX_AGE: Span = Span::from_millis(1_000);

impl Control {
    /// Applies the records of parts to this carrier's shares of the organisations' limits.
    pub(super) fn update_parts(&mut self, now: Time) {
        let (mut is_owner, mut taken) = (false, 0);
        let places = self.coordination.carriers.keys().chain(self.coordination.parts.keys());
        let mut places: Vec<_> = places.cloned().collect();
        places.sort_unstable();
        places.dedup();
        self.part_claims.retain(|place, _| places.contains(place));
        for place in places {
            let may_use = self.may_use_part(now, &place);
            let holder = self.coordination.carriers.get(&place);
            if holder.is_some_and(|(record, _)| record.vm == self.settings.vm) {
                is_owner |= may_use;
            } else if may_use && self.is_slot(&place) {
                taken += 1;
            }
        }
        let used = if is_owner { 1 + taken } else { 0 };
        if used != self.parts_used {
            logs::event(
                "parts of limits",
                &serde_json::json!({"slots": used, "before": self.parts_used}),
            );
            self.parts_used = used;
        }
        let mut shares = self.shared.quota_shares();
        shares.set_slot(now, is_owner);
        // The store's own answers show that it has not come back from an older copy, in which this
        // carrier's records may be missing.
        shares.set_taken(now, taken, self.grant.store_expires_at());
    }

    /// Looks again at parts whose use depends on what other carriers have applied.
    pub(super) fn update_claimed_parts(&mut self, now: Time) {
        let lacks_own = self.carries && self.parts_used == 0;
        if self.parts_used > 1 || lacks_own || !self.part_claims.is_empty() {
            self.update_parts(now);
        }
    }

    /// Whether a place is one of the present slots, whose parts add up to the whole.
    fn is_slot(&self, place: &str) -> bool {
        let Some(config) = &self.config else { return false };
        let number = place.rsplit('/').next().and_then(|it| it.parse().ok());
        number
            .is_some_and(|number: u32| self.carrier_slots(config).indices().any(|it| it == number))
    }

    /// Whether this carrier may use the part of a slot, as far as other carriers are concerned.
    fn may_use_part(&mut self, now: Time, place: &str) -> bool {
        let own = &self.settings.vm;
        let store_ms = if self.store_ms > 0 { self.store_ms(now) } else { 0 };
        let version = match self.coordination.parts.get(place) {
            Some((record, _)) if record.user != *own => None,
            Some((record, _))
                if record.is_settled(store_ms) && self.coordination.is_era_noticed(store_ms) =>
            {
                self.part_claims.remove(place);
                return true;
            }
            Some((_, version)) => Some(*version),
            None => {
                let holder = self.coordination.carriers.get(place);
                if holder.is_none_or(|(record, _)| record.vm != *own) {
                    None
                } else {
                    match self.coordination.lost_parts_version(store_ms) {
                        None => {
                            self.part_claims.remove(place);
                            return true;
                        }
                        Some(0) => return false,
                        version => version,
                    }
                }
            }
        };
        let Some(version) = version else {
            self.part_claims.remove(place);
            return false;
        };
        let Some(config) = &self.config else { return false };
        let roster = CarrierRoster {
            vm: own,
            coordination: &self.coordination,
            peers: &self.peers,
            store_ms,
        };
        let carriers = roster.entries().into_iter().map(|entry| entry.carrier_state(version));
        let carriers: Vec<CarrierState> = carriers.collect();
        let slots = self.carrier_slots(config).total();
        let unlisted = self.coordination.unlisted_carriers(slots, store_ms);
        let new = || PartClaim::new(version, now);
        let claim = self.part_claims.entry(place.to_owned()).or_insert_with(new);
        if claim.version() != version {
            *claim = new();
        }
        claim.observe(now, &carriers, unlisted);
        let margin = Span::from_micros(RECLAIM_DELAY.as_micros() - LOAN_DURATION.as_micros());
        claim.is_free(now, LOAN_DURATION, margin)
    }

    /// As the holder of the failover lease, assigns the part of a lost carrier to this one, or the part
    /// of one that is back to itself.
    pub(super) fn assign_parts(&mut self, now: Time) {
        let recently = self.last_part_write.is_some_and(|at| now.since(at) < STORE_POLL_INTERVAL);
        let knows_store = self.coordination.era == self.store_era
            && self.store_ms > 0
            && now.since(self.store_ms_at) <= STORE_CLOCK_MAX_AGE;
        let may_assign = self.carries
            && self.shares_limits()
            && self.coordinator.is_holder()
            && !self.stopping
            && now < self.shared.grant_expiry()
            && self.standstill.running_for(now) >= ASSIGNER_AGE;
        if recently || !knows_store || !may_assign {
            return;
        }
        let Some((place, user)) = self.part_to_assign(now) else { return };
        self.last_part_write = Some(now);
        let version = self.coordination.parts.get(&place).map_or(0, |(_, version)| *version);
        logs::event(
            "assigning part of limits",
            &serde_json::json!({"slot": place, "user": user, "version": version}),
        );
        let record = PartRecord { user, since_ms: self.store_ms };
        let key = CoordinationState::part_key(&place);
        let row = StoreKey { table: STATE_TABLE, key: &key };
        let change = self.coordination.transaction(self.store_ms(now));
        self.write("part", change.with_expected(row, version).with_put(row, &encode(&record)));
    }

    /// A slot and the carrier that is to use its part, if another one does.
    fn part_to_assign(&self, now: Time) -> Option<(String, String)> {
        let own = &self.settings.vm;
        let peers = &self.peers.peers;
        let is_silent = |vm: &String| {
            let peer = peers.get(vm);
            peer.is_some_and(|peer| now.since(peer.silent_since()) >= LOST_AFTER)
        };
        let is_back = |vm: &String, version: u64| {
            let heard = |peer: &Peer| {
                peer.heard_within(now, LOST_AFTER)
                    && now.since(peer.heard_since) >= BACK_AFTER
                    && peer.knows_parts
                    && peer.version >= version
            };
            vm == own || peers.get(vm).is_some_and(heard)
        };
        // If half of the carriers are silent, they are rather starting.
        let silent = peers.keys().filter(|vm| is_silent(vm)).count();
        let may_take = 2 * silent < peers.len() + 1;
        self.coordination.carriers.iter().find_map(|(place, (holder, _))| {
            let record = self.coordination.parts.get(place);
            let user = record.map_or(&holder.vm, |(record, _)| &record.user);
            let version = record.map_or(0, |(_, version)| *version);
            let knows_parts = peers.get(user).is_some_and(|peer| peer.knows_parts);
            if may_take && is_silent(user) && knows_parts && self.is_slot(place) {
                return Some((place.clone(), own.clone()));
            }
            let returns = *user != holder.vm && is_back(&holder.vm, version);
            returns.then(|| (place.clone(), holder.vm.clone()))
        })
    }
}
