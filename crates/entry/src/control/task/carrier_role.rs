//! The role of this daemon as a carrier, its grant and its readiness.

use std::net::SocketAddr;

use adapter::{CallError, Config, StoreKey, StoreTransaction};
use base::{Span, Time};
use succession::{CarrierRecord, CarrierSlots, Copied, Feed, FollowedTables, FollowerView};

use super::Control;
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
pub(super) const LARGE_VM_CORES: f64 = 0.25;
/// Silence of all carriers after which a daemon that follows no table asks the store who the
/// carriers are.
const CARRIERS_SILENT_AFTER: Span = Span::from_millis(3_000);
/// Range over which these daemons spread their questions, so that a fleet that has lost its
/// carriers does not ask the store all at once.
const CARRIERS_SILENT_SPREAD: Span = Span::from_millis(2_000);

impl Control {
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
