//! Applies rows of the store and sends the resulting orders to the data thread.

use std::{net::SocketAddr, sync::Arc};

use adapter::{
    CONFIG_KEY, Config, Group, MEMBERS_TABLE, MemberEntry, MemberState, OPERATOR_TABLE, Revision,
    Row,
};
use base::{FastMap, MemberId, Span, Time, store_version};
use pool::{MemberSpec, Shares};
use quota::QuotaShares;
use succession::Copied;

use super::{Control, Member};
use crate::{
    clock,
    control::{
        coordination::{RecordOrigin, STATE_TABLE, StateChange},
        tables::{ReceivedRows, TableSnapshot},
    },
    messages::Order,
    shared::Counter,
    start_up::StartStep,
};

/// How long a member is kept after its entry has disappeared. Entries that expire during an
/// outage of the store are written again within two seconds after its end.
const MEMBER_ENTRY_EXPIRY: Span = Span::from_millis(2_300);
/// Minimum interval between calls that ask the store whether members' entries are still missing.
const MISSING_CHECK_INTERVAL: Span = Span::from_millis(1_000);
/// Time between the turns of two carriers to write records again: the other learns by then that the
/// first has done so.
const REWRITE_STAGGER: Span = Span::from_millis(100);
/// Minimum interval between two attempts of a carrier.
const REWRITE_RETRY_INTERVAL: Span = Span::from_millis(500);
/// Minimum number of carriers among which connections are divided, so that the first to
/// start does not open connections that the others need a moment later. Lower than the number
/// of carrier slots (`succession::CarrierSlots`), not all of which need be taken.
const MIN_SHARING_CARRIERS: u32 = 4;

impl Control {
    pub(super) fn apply_snapshots(&mut self, snapshots: Vec<TableSnapshot>) {
        for snapshot in snapshots {
            let known = [OPERATOR_TABLE, MEMBERS_TABLE, STATE_TABLE]
                .into_iter()
                .find(|table| *table == snapshot.table);
            if let Some(table) = known {
                self.apply_rows(table, ReceivedRows::from(snapshot), true);
            }
        }
    }

    pub(super) fn apply_rows(
        &mut self,
        table: &'static str,
        received: ReceivedRows,
        complete: bool,
    ) {
        let rows = &received.rows;
        let era = store_version::era(rows.version);
        if table == STATE_TABLE && era > self.coordination.era {
            self.begin_era(era);
        }
        let outdated = self.tables.outdated(table, rows);
        if outdated > 0 {
            self.shared.count(Counter::OutdatedRows);
            logs::event(
                "outdated rows",
                &serde_json::json!({"table": table, "rows": outdated, "era": era,
                    "version": rows.version, "newest": self.tables.newest(table)}),
            );
        }
        let config = self.config.clone();
        let revision_of = |row: &Row| match table {
            OPERATOR_TABLE => Revision::of_config(row),
            MEMBERS_TABLE => {
                let entry = MemberEntry::decode(&row.key, row.value.as_deref()?)?;
                names_group(config.as_deref(), &entry).then(|| Revision::of_entry(&entry))
            }
            _ => None,
        };
        let updates = self.tables.merge(table, received, complete, revision_of);
        if !updates.is_empty() {
            self.behind_since = None;
        }
        match table {
            OPERATOR_TABLE => self.apply_config(&updates),
            MEMBERS_TABLE => {
                self.copies.rows_applied(Copied::Members, self.tables.newest(table));
                self.members_known |= complete;
                self.apply_members(&updates);
            }
            _ => {
                self.coordination.loaded |= complete;
                self.apply_state_rows(&updates);
            }
        }
    }

    /// Records that the store, asked at `asked_at`, has confirmed a copy. A configuration counts
    /// only once the data thread runs statements by it.
    pub(super) fn confirm(&mut self, copied: Copied, asked_at: Time) {
        if copied == Copied::Config && self.applied_config < self.config_version() {
            self.pending_confirmation = self.pending_confirmation.max(Some(asked_at));
        } else {
            self.copies.store_answered(copied, asked_at);
        }
    }

    /// Handles that a configuration is in force in the data thread.
    pub(super) fn config_applied(&mut self, version: u64) {
        self.applied_config = version;
        self.copies.rows_applied(Copied::Config, version);
        if version == self.config_version()
            && let Some(asked_at) = self.pending_confirmation.take()
        {
            self.copies.store_answered(Copied::Config, asked_at);
        }
        // A carrier that the store does not reach learns of the configuration by it.
        if self.carries {
            self.send_heartbeats(clock::now());
        }
    }

    /// Version of the newest configuration that this daemon has received; 0 if there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    pub(super) fn apply_config(&mut self, updates: &[Row]) {
        let newest =
            updates.iter().filter(|row| row.key == CONFIG_KEY).max_by_key(|row| row.version);
        let Some(bytes) = newest.and_then(|row| row.value.as_deref()) else { return };
        let config = match Config::decode(bytes) {
            Ok(config) => config,
            Err(error) => return logs::error(&format!("cannot decode configuration: {error}")),
        };
        if self.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return;
        }
        logs::event(
            "configuration in force",
            &serde_json::json!({"version": config.version, "routes": config.routes.len()}),
        );
        self.shared.record_start_step(StartStep::Configuration);
        self.shared.set_config_version(config.version);
        let config = Arc::new(config);
        let is_first = self.config.is_none();
        self.config = Some(Arc::clone(&config));
        let slots = self.carrier_slots(&config).total();
        if is_first {
            self.begin_quota(slots);
        } else {
            self.shared.quota_shares().set_slots(clock::now(), slots);
        }
        self.send_order(Order::Config(config));
        self.send_shares();
        self.announce_config(clock::now());
    }

    /// Begins to share the organisations' limits, once the number of carrier slots is known.
    fn begin_quota(&mut self, slots: usize) {
        let now = clock::now();
        let mut shares = self.shared.quota_shares();
        *shares = QuotaShares::new(self.shared.started_at(), slots);
        drop(shares);
        self.update_parts(now);
        if self.coordination.loaded {
            let mut shares = self.shared.quota_shares();
            shares.set_peers(now, self.peers.peers.keys().map(String::as_str));
        }
    }

    pub(super) fn apply_members(&mut self, updates: &[Row]) {
        if updates.is_empty() {
            return;
        }
        let now = clock::now();
        for row in updates {
            let Some(bytes) = &row.value else {
                self.mark_missing(&row.key, now);
                continue;
            };
            let entry = MemberEntry::decode(&row.key, bytes);
            // An entry that comes before the configuration with its group is kept for it.
            let entry = entry.filter(|entry| {
                names_group(self.config.as_deref(), entry) || !self.members.contains_key(&row.key)
            });
            match entry {
                Some(entry) => {
                    self.members.insert(row.key.clone(), Member { entry, missing_since: None });
                }
                // The member, if it lives, soon writes its own entry again.
                None => {
                    logs::event(
                        "entry of another writer",
                        &serde_json::json!({"key": row.key, "version": row.version,
                            "known_member": self.members.contains_key(&row.key)}),
                    );
                    self.mark_missing(&row.key, now);
                }
            }
        }
        self.send_members();
    }

    /// Records that the entry of a member has disappeared.
    pub(super) fn mark_missing(&mut self, id: &str, now: Time) {
        if let Some(member) = self.members.get_mut(id) {
            member.missing_since.get_or_insert(now);
        }
    }

    pub(super) fn expire_members(&mut self, now: Time) {
        let expires_at = |member: &Member| Some(member.missing_since? + MEMBER_ENTRY_EXPIRY);
        let Some(next) = self.members.values().filter_map(expires_at).min() else { return };
        // Only a copy that is complete after this time shows that the entry is still missing.
        let confirmed_at = self.copies.confirmed_at(Copied::Members).unwrap_or_default();
        if next > confirmed_at {
            if next <= now {
                self.confirm_copy(now, MEMBERS_TABLE, MISSING_CHECK_INTERVAL);
            }
            return;
        }
        let is_expired =
            |member: &mut Member| expires_at(member).is_some_and(|at| at <= confirmed_at);
        let expired = self.members.extract_if(|_, member| is_expired(member)).count();
        if expired > 0 {
            self.send_members();
        }
    }

    /// As the holder of the failover lease, asks the store again for the entries while that of a
    /// primary is missing. A list that was read earlier does not show that it stays away.
    pub(super) fn confirm_missing_primaries(&mut self, now: Time, config: &Config) {
        let is_missing = |group: &Group| {
            let primary = self.coordination.primary(&group.name);
            primary.record.is_some_and(|record| !self.members.contains_key(&record.primary))
        };
        if self.coordinator.is_holder() && config.groups.iter().any(is_missing) {
            self.confirm_copy(now, MEMBERS_TABLE, MISSING_CHECK_INTERVAL);
        }
    }

    /// Sends the members of each group to the data thread, and their connection shares.
    pub(super) fn send_members(&mut self) {
        let mut groups: FastMap<&str, Vec<(MemberSpec, SocketAddr)>> = FastMap::default();
        for member in self.members.values() {
            let entry = &member.entry;
            let spec = MemberSpec {
                id: MemberId::new(entry.id.clone()),
                born: entry.born,
                same_zone: entry.zone == self.settings.zone,
                slots: entry.slots,
                leaving: entry.state == MemberState::Draining,
            };
            groups.entry(&entry.group).or_default().push((spec, entry.addr));
        }
        for (group, members) in groups {
            self.send_order(Order::Members { group: group.to_owned(), members });
        }
        self.send_shares();
    }

    /// Divides the members' connections among the carriers and sends this daemon's share of
    /// each group to the data thread; none if it is no carrier.
    pub(super) fn send_shares(&mut self) {
        let Some(config) = self.config.clone() else { return };
        let now = clock::now();
        let carrier_count = self.coordination.carrier_count().max(MIN_SHARING_CARRIERS);
        for group in &config.groups {
            let slots = self.members.values().filter(|member| member.entry.group == group.name);
            let slots = slots.map(|member| member.entry.slots).max().unwrap_or(1);
            let shares = if self.carries && self.has_organisations() {
                let own = self.loads.get(&group.name).copied().unwrap_or_default();
                let all = own + self.peers.load(now, &group.name);
                let age = now.since(self.shared.started_at());
                Shares::new(group.connections, slots, carrier_count)
                    .for_organisations(self.inherits_slot.then_some(age), own)
                    .with_load(slots, own, all)
            } else if self.carries {
                Shares::new(group.connections, slots, carrier_count)
            } else {
                Shares::NONE
            };
            if self.sent_shares.insert(group.name.clone(), shares) == Some(shares) {
                continue;
            }
            self.send_order(Order::Shares { group: group.name.clone(), shares });
        }
    }

    pub(super) fn apply_state_rows(&mut self, updates: &[Row]) {
        for changed in self.coordination.apply_rows(updates) {
            match changed {
                StateChange::Lease => {
                    self.coordinator
                        .lease_changed(self.coordination.lease().map(|(lease, _)| lease));
                }
                StateChange::Primary(group) => self.primary_changed(&group),
                StateChange::ReplicaSet => self.coordinator.replica_set_changed(),
                StateChange::Carriers => self.carriers_changed(),
            }
        }
        self.update_applied_version();
    }

    /// Begins an era of the store, whose rows of the state table follow.
    fn begin_era(&mut self, era: u64) {
        let now = clock::now();
        let is_granted = self.carries && now < self.grant.expires_at();
        logs::event(
            "store era begins",
            &serde_json::json!({"era": era, "previous": self.coordination.era,
                "granted": is_granted}),
        );
        self.coordination.begin_era(era, is_granted);
        self.coordinator.era_changed();
        self.era_began_at = now;
        self.last_rewrite = None;
    }

    /// Writes records of an earlier era again that the store may have lost. Carriers take
    /// turns in the order of their names.
    pub(super) fn write_primaries_again(&mut self, now: Time) {
        let is_current = self.coordination.era == self.store_era && self.store_ms > 0;
        if !self.carries || !is_current || !self.coordination.lacks_records() {
            return;
        }
        let own = &self.settings.vm;
        let peers = self.peers.peers.iter();
        let preceding = peers
            .filter(|(name, peer)| *name < own && peer.heard_within(now, REWRITE_RETRY_INTERVAL))
            .count() as u64;
        let turn = Span::from_micros(REWRITE_STAGGER.as_micros() * preceding);
        let recently = self.last_rewrite.is_some_and(|at| now.since(at) < REWRITE_RETRY_INTERVAL);
        if now.since(self.era_began_at) < turn || recently {
            return;
        }
        self.last_rewrite = Some(now);
        logs::event("writing records again", &serde_json::json!({"era": self.store_era}));
        self.write("lead", self.coordination.write_again(self.store_ms(now)));
    }

    pub(super) fn primary_changed(&mut self, group: &str) {
        self.coordinator.primary_changed(group);
        let known = self.coordination.primary(group);
        let usable =
            known.record.filter(|it| !it.changing && known.origin != RecordOrigin::Outdated);
        let lead = usable.map(|record| MemberId::new(record.primary.clone()));
        logs::event(
            "primary",
            &serde_json::json!({"group": group, "record": known.record,
                "origin": format!("{:?}", known.origin), "version": known.version}),
        );
        if self.sent_primaries.get(group) == Some(&lead) {
            return;
        }
        self.sent_primaries.insert(group.to_owned(), lead.clone());
        // A row that the store has lost has no version; the order follows from the newest row.
        let version = if known.version == 0 { self.coordination.version } else { known.version };
        let planned = known.record.is_some_and(|record| record.planned);
        self.pending_orders.add(group, version);
        self.send_order(Order::SetPrimary { group: group.to_owned(), lead, planned, version });
    }

    pub(super) fn carriers_changed(&mut self) {
        let own = self.settings.vm.as_str();
        let records = self.coordination.carriers.values().map(|(record, _)| record);
        let others = records.clone().filter(|record| record.vm != own);
        self.peers.set_peers(clock::now(), others.map(|record| (record.vm.clone(), record.addr)));
        self.grant.set_peers(self.peers.peers.keys().map(String::as_str));
        self.copies.set_peers(self.peers.peers.keys().map(String::as_str));
        self.carrier_directory.set(clock::now(), records);
        let carries = self.coordination.carrier(own).is_some();
        let mut announce = false;
        if carries != self.carries {
            self.carries = carries;
            self.inherits_slot |= carries && self.last_registration.is_none();
            announce = carries;
            if carries {
                self.shared.record_start_step(StartStep::Carrier);
            }
            logs::event("role", &serde_json::json!({"carrier": carries}));
        }
        self.update_parts(clock::now());
        {
            let mut shares = self.shared.quota_shares();
            shares.set_peers(clock::now(), self.peers.peers.keys().map(String::as_str));
        }
        if announce && self.has_organisations() {
            // The other carriers' answers are evidence that no loan of a predecessor is in use.
            self.send_heartbeats(clock::now());
        }
        self.send_shares();
    }

    /// Updates the applied version, up to which this daemon applies the rows of the state
    /// table: the data thread has confirmed all orders that result from them. Sends a heartbeat
    /// at once if the version has grown, since a failover waits for it.
    pub(super) fn update_applied_version(&mut self) {
        let applied = self.pending_orders.applied_version(self.coordination.version);
        if applied > self.applied_version {
            self.applied_version = applied;
            self.grant.rows_applied(applied);
            self.send_heartbeats(clock::now());
        }
    }
}

/// Whether an entry belongs to a group of the configuration, as far as it is known.
fn names_group(config: Option<&Config>, entry: &MemberEntry) -> bool {
    config.is_none_or(|config| config.groups.iter().any(|group| group.name == entry.group))
}

/// The copy that a table of the store is kept in; `None` for the state table, whose rows are
/// relied on only under a grant.
pub(super) fn copied(table: &str) -> Option<Copied> {
    match table {
        OPERATOR_TABLE => Some(Copied::Config),
        MEMBERS_TABLE => Some(Copied::Members),
        _ => None,
    }
}
