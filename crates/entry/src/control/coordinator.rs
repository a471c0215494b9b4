use adapter::{FailoverClient, Promotion, StoreClient, StoreKey, StoreTransaction};
use base::{FastMap, Span, Time};
use futures_channel::mpsc;
use succession::{
    Action, Assessment, Candidate, CandidateStatus, Failover, FailoverView, LeaseRecord,
    PrimaryRecord, PromotionOutcome, ReplicaSet, ReplicaSetAction, ReplicaSetRecord,
    ReplicaSetView, assess, is_majority_of_every_list, is_primary_unused,
};

use crate::{
    clock,
    control::{
        carrier_roster::{CarrierRoster, RosterEntry},
        coordination::{CoordinationState, KnownReplicaSet, RecordOrigin, STATE_TABLE},
        event::Event,
        group_state::{GroupState, GroupView},
        member_calls,
        peers::Peers,
    },
};

/// How long the holder of the failover lease may be silent, or unable to reach the store,
/// before another daemon takes the lease: several heartbeats. A daemon that precedes this one
/// in the order of names counts as alive if it has sent a heartbeat within this time.
const HOLDER_TIMEOUT: Span = Span::from_millis(1_000);
/// Additional time that a daemon waits before it takes the lease, for each live daemon that
/// precedes it in the order of names, so that the first has taken it before the next tries.
const TAKEOVER_STAGGER: Span = Span::from_millis(300);
/// How long a new holder makes no failover calls, so that those of the previous holder have been
/// delivered or discarded. The previous holder sends none later than [`CONFIRMATION_VALID_FOR`]
/// after it began to confirm its lease, and what it sends is discarded after
/// [`adapter::DELIVERY_TIMEOUT`].
const FIRST_CALL_DELAY: Span = Span::from_millis(1_000);
/// How long after it began to confirm its lease in the store the holder may send a failover
/// call.
const CONFIRMATION_VALID_FOR: Span = Span::from_millis(300);
/// Interval between two log lines that name the members which a failover waits for.
const AWAITED_LOG_INTERVAL: Span = Span::from_millis(5_000);
/// Age up to which a member's status shows that it answers: several status queries.
const STATUS_MAX_AGE: Span = Span::from_millis(1_000);
/// Delay after a write to the store before the next one, unless changed rows show the outcome
/// earlier.
const WRITE_RETRY_DELAY: Span = Span::from_millis(400);

/// This daemon's part in failover. Each daemon has one: it takes the failover lease, the
/// duty to make failover calls, when its holder has failed, and while it holds the lease it
/// replaces failed primaries.
#[derive(Debug)]
pub(crate) struct FailoverCoordinator {
    vm: String,
    run: u64,
    store: StoreClient,
    failover_client: FailoverClient,
    events: mpsc::UnboundedSender<Event>,
    /// When this daemon started, or noticed that the store has begun a new era.
    started: Time,
    /// Since when this daemon has held the lease.
    holder_since: Option<Time>,
    /// When the holder of the lease was last known to reach the store, without which it cannot
    /// replace primaries. Starts anew when this daemon starts and when the lease changes.
    holder_store_reachable_at: Time,
    /// Earliest time of the next write, whatever it writes, after one whose outcome is unknown;
    /// `None` once changed rows have shown the outcome.
    write_retry_at: Option<Time>,
    failovers: FastMap<String, Failover>,
    replica_sets: FastMap<String, ReplicaSet>,
    /// Latest status of each member, by its identifier.
    statuses: FastMap<String, CandidateStatus>,
    /// When this daemon learned of the current primary record of each group.
    record_learned_at: FastMap<String, Time>,
    /// Version of each group's primary record, and since when carriers that are a majority of
    /// every list have applied it ([`is_majority_of_every_list`]).
    majority_since: FastMap<String, (u64, Time)>,
    /// When the members that each group's failover waits for were last logged.
    awaited_logged_at: FastMap<String, Time>,
}

/// The carriers that may use a primary.
#[derive(Debug)]
struct Carriers {
    listed: Vec<RosterEntry>,
    /// Number of further carriers that may exist.
    unlisted: usize,
}

impl FailoverCoordinator {
    pub(crate) fn new(
        vm: String,
        run: u64,
        store: StoreClient,
        failover_client: FailoverClient,
        events: mpsc::UnboundedSender<Event>,
    ) -> FailoverCoordinator {
        let now = clock::now();
        FailoverCoordinator {
            vm,
            run,
            store,
            failover_client,
            events,
            started: now,
            holder_since: None,
            holder_store_reachable_at: now,
            write_retry_at: None,
            failovers: FastMap::default(),
            replica_sets: FastMap::default(),
            statuses: FastMap::default(),
            record_learned_at: FastMap::default(),
            majority_since: FastMap::default(),
            awaited_logged_at: FastMap::default(),
        }
    }

    /// Handles a change of a group's primary record.
    pub(crate) fn primary_changed(&mut self, group: &str) {
        self.record_learned_at.insert(group.to_owned(), clock::now());
        self.write_retry_at = None;
    }

    /// Handles a change of a group's replica set.
    pub(crate) fn replica_set_changed(&mut self) {
        self.write_retry_at = None;
    }

    /// Handles a change of the lease's row.
    pub(crate) fn lease_changed(&mut self, duty: Option<&LeaseRecord>) {
        self.write_retry_at = None;
        let now = clock::now();
        self.holder_store_reachable_at = now;
        let is_holder = duty.is_some_and(|duty| duty.holder == self.vm && duty.run == self.run);
        if is_holder && self.holder_since.is_none() {
            logs::event(
                "failover duty acquired",
                &serde_json::json!({"token": duty.map(|duty| duty.token)}),
            );
            self.holder_since = Some(now);
            for (group, member) in duty.into_iter().flat_map(|duty| &duty.calls) {
                self.failovers.entry(group.clone()).or_default().inherit_call(now, member);
            }
        } else if !is_holder && self.holder_since.take().is_some() {
            logs::event(
                "failover duty lost",
                &serde_json::json!({"holder": duty.map(|duty| &duty.holder)}),
            );
            self.failovers.values_mut().for_each(Failover::reset);
            self.replica_sets.clear();
        }
    }

    /// Handles the begin of an era of the store, in which no daemon holds the lease yet.
    pub(crate) fn era_changed(&mut self) {
        self.started = clock::now();
        self.lease_changed(None);
    }

    /// Handles a failed write: delays the next one, so that the rows show first whether the
    /// failed one took effect all the same.
    pub(crate) fn write_failed(&mut self) {
        self.write_retry_at = Some(clock::now() + WRITE_RETRY_DELAY);
    }

    /// Stores the answer of a member to a status query. `None`, for a failed query, leaves the
    /// last answer as it is.
    pub(crate) fn set_status(&mut self, member: String, status: Option<CandidateStatus>) {
        if let Some(status) = status {
            self.statuses.insert(member, status);
        }
    }

    pub(crate) fn record_promotion(
        &mut self,
        group: &str,
        member: &str,
        outcome: PromotionOutcome,
    ) {
        if let Some(failover) = self.failovers.get_mut(group) {
            failover.record_outcome(clock::now(), member, outcome);
        }
    }

    /// Whether this daemon holds the failover lease.
    pub(crate) fn is_holder(&self) -> bool {
        self.holder_since.is_some()
    }

    /// Takes the lease if it is free or its holder has failed. If this daemon holds it,
    /// advances the failover of each group.
    ///
    /// `running_for` is how long this process has been running without a standstill, `store_ms` the
    /// store's clock in milliseconds, `slots` the number of carrier slots.
    pub(crate) fn tick(
        &mut self,
        coordination: &CoordinationState,
        peers: &Peers,
        running_for: Span,
        store_ms: u64,
        slots: usize,
        groups: &[GroupView<'_>],
    ) {
        let now = clock::now();
        if self.holder_since.is_none() {
            self.try_take_over(now, coordination, peers, running_for, store_ms);
            return;
        }
        let carriers = Carriers {
            listed: CarrierRoster { vm: &self.vm, coordination, peers, store_ms }.entries(),
            unlisted: coordination.unlisted_carriers(slots, store_ms),
        };
        for view in groups {
            let group = GroupState::new(coordination, &self.statuses, view);
            self.advance_failover(now, coordination, peers, &carriers, store_ms, &group);
            self.maintain_replica_set(now, coordination, store_ms, &group);
        }
    }

    fn try_take_over(
        &mut self,
        now: Time,
        coordination: &CoordinationState,
        peers: &Peers,
        running_for: Span,
        store_ms: u64,
    ) {
        if !coordination.loaded
            || coordination.carrier(&self.vm).is_none()
            || self.is_write_delayed(now)
        {
            return;
        }
        let mut preceding = 0;
        for (name, peer) in &peers.peers {
            if *name < self.vm && peer.heard_within(now, HOLDER_TIMEOUT) {
                preceding += 1;
            }
        }
        let stagger = Span::from_micros(TAKEOVER_STAGGER.as_micros() * preceding);
        match coordination.lease() {
            Some((duty, _)) => {
                let store_reachable_at = peers.store_reachable_at(&duty.holder, duty.run);
                self.holder_store_reachable_at =
                    self.holder_store_reachable_at.max(store_reachable_at.unwrap_or_default());
                // The wait is the same for a holder that has restarted: the last failover
                // call of its previous process may be in flight.
                let silence = now.since(self.holder_store_reachable_at);
                // The holder may have been heard if this daemon had been running.
                if silence.min(running_for) < HOLDER_TIMEOUT + stagger {
                    return;
                }
            }
            None if now.since(self.started) < stagger + TAKEOVER_STAGGER => return,
            None => {}
        }
        let (change, lease) = coordination.claim_lease(&self.vm, self.run, store_ms);
        logs::event(
            "claiming failover duty",
            &serde_json::json!({"token": lease.token, "reason": "no lease in this era of the store, or its holder restarted, is silent or cannot reach the store"}),
        );
        self.write("duty", change);
    }

    /// Whether the outcome of a write is unknown and the next one is still delayed.
    fn is_write_delayed(&self, now: Time) -> bool {
        self.write_retry_at.is_some_and(|until| now < until)
    }

    /// Carries out the next action of a group's failover, if there is one.
    fn advance_failover(
        &mut self,
        now: Time,
        coordination: &CoordinationState,
        peers: &Peers,
        carriers: &Carriers,
        store_ms: u64,
        group: &GroupState<'_>,
    ) {
        let name = group.view.name;
        let known = coordination.primary(name);
        let held_for = now.since(self.holder_since.unwrap_or(now));
        let may_promote = held_for >= FIRST_CALL_DELAY;
        let is_outdated = known.origin == RecordOrigin::Outdated;
        // Daemons that know the lost records write them again, and members their entries.
        if is_outdated && !(may_promote && coordination.is_settled(coordination.era, store_ms)) {
            return;
        }
        let is_stored_change =
            known.origin == RecordOrigin::Stored && known.record.is_some_and(|it| it.changing);
        let primary_unused =
            is_stored_change && self.no_carrier_uses_primary(now, known.version, name, carriers);
        let assessment = match known.record {
            Some(record) => {
                let mut opinions = peers.opinions(now, name, &record.primary);
                opinions.extend(group.view.local_health);
                assess(&opinions)
            }
            None => Assessment::Keep,
        };
        if primary_unused && may_promote {
            self.log_awaited_members(now, group);
        }
        let view = FailoverView {
            record: known.record,
            is_outdated,
            primary_unused,
            may_promote,
            members: &group.listed,
            members_as_of: group.view.members_as_of,
            assessment,
            sync_replicas: group.view.sync_replicas,
            unlisted: &group.unlisted,
            unnamed: group.unnamed,
        };
        let failover = self.failovers.entry(name.to_owned()).or_default();
        let writing = self.write_retry_at.is_some_and(|until| now < until);
        match failover.tick(now, &view) {
            Some(Action::Write { .. }) if writing => {}
            Some(Action::Write { record: wanted, reason }) => {
                let change = coordination.transaction(store_ms);
                let change = match known.record {
                    Some(_) => change,
                    None => group.put_first_replica_set(coordination, change),
                };
                self.write_primary_record(
                    coordination,
                    change,
                    name,
                    known.version,
                    &wanted,
                    reason,
                );
            }
            Some(Action::QueryStatus) => self.query_members(group, None),
            Some(Action::StepDown { member, term }) => {
                logs::event(
                    "step down",
                    &serde_json::json!({"group": name, "member": member, "term": term}),
                );
                self.query_members(group, Some((&member, term)));
            }
            Some(Action::Promote { member }) => {
                let confirmation = coordination.transaction(store_ms);
                self.promote(coordination, confirmation, name, member);
            }
            None => {}
        }
    }

    /// Logs which members a failover may be waiting for: as long as their logs are not known, none is
    /// promoted that may lack acknowledged commits.
    fn log_awaited_members(&mut self, now: Time, group: &GroupState<'_>) {
        let GroupView { name, sync_replicas, .. } = *group.view;
        let logged_at = self.awaited_logged_at.entry(name.to_owned()).or_insert(now);
        if sync_replicas == 0 || now.since(*logged_at) < AWAITED_LOG_INTERVAL {
            return;
        }
        *logged_at = now;
        let answers = |member: &&Candidate| {
            member.status.is_some_and(|status| now.since(status.asked_at) < STATUS_MAX_AGE)
        };
        let silent = group.listed.iter().chain(&group.unlisted).filter(|member| !answers(member));
        let silent: Vec<_> = silent.map(|member| member.id.as_str()).collect();
        logs::event(
            "failover waits for members",
            &serde_json::json!({"group": name, "silent": silent, "unnamed": group.unnamed}),
        );
    }

    /// Whether no carrier uses the old primary any more. `version` is the version of the
    /// group's primary record that started the failover.
    fn no_carrier_uses_primary(
        &mut self,
        now: Time,
        version: u64,
        group: &str,
        carriers: &Carriers,
    ) -> bool {
        let record_learned_at = self.record_learned_at.get(group).copied().unwrap_or(now);
        let unlisted = carriers.unlisted;
        let carriers = carriers.listed.iter().map(|carrier| carrier.carrier_state(version));
        let carriers: Vec<_> = carriers.collect();
        let since = is_majority_of_every_list(&carriers, unlisted).then(|| {
            let (known, since) =
                self.majority_since.entry(group.to_owned()).or_insert((version, now));
            if *known != version {
                (*known, *since) = (version, now);
            }
            *since
        });
        is_primary_unused(now, &carriers, unlisted, since, record_learned_at)
    }

    /// Writes the group's primary record, logged as the "lead record" after the key of its
    /// row, if neither it nor the lease has changed.
    fn write_primary_record(
        &mut self,
        coordination: &CoordinationState,
        change: StoreTransaction,
        group: &str,
        version: u64,
        record: &PrimaryRecord,
        reason: &str,
    ) {
        let Some((lease, lease_version)) = coordination.lease() else { return };
        logs::event(
            "writing lead record",
            &serde_json::json!({"group": group, "primary": record.primary,
                "changing": record.changing, "planned": record.planned,
                "in_doubt": record.in_doubt,
                "version": version, "reason": reason}),
        );
        let key = CoordinationState::primary_record_key(group);
        let place = StoreKey { table: STATE_TABLE, key: &key };
        let change = change.with_expected(CoordinationState::lease_key(), lease_version);
        let change = if record.changing || !lease.calls.contains_key(group) {
            change
        } else {
            change.with_put(CoordinationState::lease_key(), &encode(&lease.without_call(group)))
        };
        let change = change
            .with_expected(place, version)
            .with_put(place, &encode(&PrimaryRecord { era: coordination.era, ..record.clone() }));
        self.write("lead", change);
    }

    fn write(&mut self, what: &'static str, change: StoreTransaction) {
        self.write_retry_at = Some(clock::now() + WRITE_RETRY_DELAY);
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = store.apply(&change).await;
            // Fails only during shutdown.
            let _ = events.unbounded_send(Event::WriteFinished { what, result });
        });
    }

    /// Keeps the record of the members whose logs may hold acknowledged commits up to date. Without
    /// replicas that confirm commits there is no such record.
    fn maintain_replica_set(
        &mut self,
        now: Time,
        coordination: &CoordinationState,
        store_ms: u64,
        group: &GroupState<'_>,
    ) {
        // Members write their entries again before an era is settled.
        let is_settled = coordination.is_settled(coordination.era, store_ms);
        if !is_settled || self.is_write_delayed(now) {
            return;
        }
        let GroupView { name, sync_replicas, .. } = *group.view;
        let KnownReplicaSet { record, is_complete, .. } = group.replica_set;
        if sync_replicas == 0 {
            if record.is_some() {
                self.write_replica_set(coordination, store_ms, name, None);
            }
            return;
        }
        let known = coordination.primary(name);
        let primary =
            known.record.filter(|it| !it.changing && known.origin == RecordOrigin::Stored);
        let view = ReplicaSetView {
            record,
            is_complete,
            members: &group.listed,
            primary: primary.map(|record| record.primary.as_str()),
            sync_replicas,
        };
        let replica_set = self.replica_sets.entry(name.to_owned()).or_default();
        match replica_set.tick(now, &view) {
            Some(ReplicaSetAction::Write(record)) => {
                self.write_replica_set(coordination, store_ms, name, Some(&record));
            }
            Some(ReplicaSetAction::QueryStatus) => self.query_members(group, None),
            None => {}
        }
    }

    /// Writes the replica set of a group, or deletes it, if neither it nor the lease has changed.
    fn write_replica_set(
        &mut self,
        coordination: &CoordinationState,
        store_ms: u64,
        group: &str,
        record: Option<&ReplicaSetRecord>,
    ) {
        let Some((_, lease_version)) = coordination.lease() else { return };
        logs::event("writing replica set", &serde_json::json!({"group": group, "record": record}));
        let key = CoordinationState::replica_set_key(group);
        let place = StoreKey { table: STATE_TABLE, key: &key };
        let change = coordination
            .transaction(store_ms)
            .with_expected(CoordinationState::lease_key(), lease_version)
            .with_expected(place, coordination.replica_set(group).version);
        let change = match record {
            Some(record) => {
                let record = ReplicaSetRecord { era: coordination.era, ..record.clone() };
                change.with_put(place, &encode(&record))
            }
            None => change.with_delete(place),
        };
        self.write("replicas", change);
    }

    /// Asks every member of the group for its status, also those that are not listed. `step_down` names
    /// a member that is ordered to step down, and the term that supersedes its own.
    fn query_members(&self, group: &GroupState<'_>, step_down: Option<(&str, u64)>) {
        for member in group.listed.iter().chain(&group.unlisted) {
            let (member, addr) = (member.id.clone(), member.addr);
            let term = step_down.filter(|(target, _)| *target == member).map(|(_, term)| term);
            let (vm, events, group) =
                (self.vm.clone(), self.events.clone(), group.view.name.to_owned());
            tokio::spawn(async move {
                let status = member_calls::status(addr, &group, &vm, &member, term).await;
                // Fails only during shutdown.
                let _ = events.unbounded_send(Event::MemberStatus { member, status });
            });
        }
    }

    /// Confirms the lease, then makes the failover call at once.
    fn promote(
        &self,
        coordination: &CoordinationState,
        confirmation: StoreTransaction,
        group: &str,
        member: String,
    ) {
        let Some((lease, version)) = coordination.lease() else { return };
        let confirmed = lease.with_call(group, &member);
        let confirmation = confirmation
            .with_expected(CoordinationState::lease_key(), version)
            .with_put(CoordinationState::lease_key(), &encode(&confirmed));
        let (store, client, events) =
            (self.store.clone(), self.failover_client.clone(), self.events.clone());
        let group = group.to_owned();
        tokio::spawn(async move {
            let (outcome, reason) =
                confirm_and_call(&store, &client, &confirmation, &confirmed, &group, &member).await;
            logs::event(
                "promotion",
                &serde_json::json!({"group": group, "member": member, "token": confirmed.token,
                    "outcome": format!("{outcome:?}"), "reason": reason}),
            );
            // Fails only during shutdown.
            let _ = events.unbounded_send(Event::PromotionFinished { group, member, outcome });
        });
    }
}

/// Makes a failover call on a connection that is open before the lease is confirmed. Also returns
/// the reason for an outcome other than that the platform accepts or declines, for the log.
async fn confirm_and_call(
    store: &StoreClient,
    client: &FailoverClient,
    confirmation: &StoreTransaction,
    lease: &LeaseRecord,
    group: &str,
    member: &str,
) -> (PromotionOutcome, Option<String>) {
    let conn = match client.connect().await {
        Ok(conn) => conn,
        Err(error) => {
            let reason = format!("the failover API cannot be reached: {error}");
            return (PromotionOutcome::NotMade, Some(reason));
        }
    };
    let asked_at = clock::now();
    if let Err(error) = store.apply(confirmation).await {
        let reason = format!("the lease could not be confirmed: {error}");
        return (PromotionOutcome::NotMade, Some(reason));
    }
    if clock::now().since(asked_at) >= CONFIRMATION_VALID_FOR {
        let reason = "the lease was confirmed too late".to_owned();
        return (PromotionOutcome::NotMade, Some(reason));
    }
    match conn.fail_over(group, member, &lease.holder, lease.token).await {
        Ok(Promotion::Accepted) => (PromotionOutcome::Accepted, None),
        Ok(Promotion::Declined) => (PromotionOutcome::Declined, None),
        Ok(Promotion::Refused { status }) => {
            (PromotionOutcome::NotMade, Some(format!("refused with HTTP status {status}")))
        }
        Err(error) => (PromotionOutcome::Unknown, Some(error.to_string())),
    }
}

pub(crate) fn encode(record: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(record).expect("records contain only strings, numbers and booleans")
}

#[cfg(test)]
mod tests;
