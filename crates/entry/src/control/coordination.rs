use adapter::{Row, StoreKey, StoreTransaction};
use base::{FastMap, FastSet};
use serde::de::DeserializeOwned;
use succession::{
    CarrierRecord, EraRecord, LeaseRecord, PartRecord, PrimaryRecord, ReplicaSetRecord,
};

use crate::control::coordinator::encode;

/// Table in the store in which the daemons coordinate.
pub(crate) const STATE_TABLE: &str = "corianderwharf";
const LEASE_KEY: &str = "duty";
const PRIMARY_KEY_PREFIX: &str = "lead/";
const REPLICA_SET_KEY_PREFIX: &str = "replicas/";
const CARRIER_KEY_PREFIX: &str = "carrier/";
const PART_KEY_PREFIX: &str = "part/";
const ERA_KEY_PREFIX: &str = "era/";
/// Time after the store came back from an older copy at which no carrier uses parts of other ones by
/// records that were lost: 1.5 s after an answer of the store, 0.5 s for loans, and margins.
const TAKEN_PARTS_EXPIRED_AFTER_MS: u64 = 3_500;
/// Longer than the loans of quota that a carrier has made under its last grant.
const LOANS_EXPIRED_AFTER_MS: u64 = 2_000;
/// Limit of records that one transaction writes again: the store accepts 100 entries, and each takes
/// two.
const MAX_RECORDS_PER_WRITE: usize = 40;

/// Rows of the state table as last read from the store or from another daemon.
#[derive(Debug, Default)]
pub(crate) struct CoordinationState {
    /// Version of the newest row; 0 before any row has been read.
    pub(crate) version: u64,
    /// Version of the newest row of a carrier slot; 0 if there is none.
    pub(crate) carriers_version: u64,
    /// Whether all rows have been read at least once.
    pub(crate) loaded: bool,
    /// Era of the store in which the rows were read.
    pub(crate) era: u64,
    /// Record of that era, and the version of its row.
    era_record: Option<(EraRecord, u64)>,
    /// Keys of the records of other eras.
    other_eras: FastSet<String>,
    /// The failover lease, the duty to make failover calls, and the version of its row. It may
    /// have ended with an earlier era ([`CoordinationState::lease`]).
    duty: Option<(LeaseRecord, u64)>,
    /// Primaries by group, each with the version of its row.
    primary_records: FastMap<String, (PrimaryRecord, u64)>,
    /// Records of an earlier era that still hold, although the store has lost some.
    inherited: FastMap<String, PrimaryRecord>,
    /// Replica sets by group, each with the version of its row.
    replica_sets: FastMap<String, (ReplicaSetRecord, u64)>,
    /// Replica sets of an earlier era that are still complete, although the store has lost some.
    inherited_replica_sets: FastMap<String, ReplicaSetRecord>,
    /// Carriers by carrier slot, each with the version of its row.
    pub(crate) carriers: FastMap<String, (CarrierRecord, u64)>,
    /// Carriers that have lost their carrier slot, by that slot.
    pub(crate) gone: FastMap<String, (CarrierRecord, u64)>,
    /// Carriers that use the part of a carrier slot of the organisations' limits, by that slot, each with
    /// the version of its row. Without a record, the holder of the slot does.
    pub(crate) parts: FastMap<String, (PartRecord, u64)>,
}

/// What is known of a group's primary.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownPrimary<'a> {
    /// The record; `None` if there is none.
    pub(crate) record: Option<&'a PrimaryRecord>,
    /// Version of the row; 0 if there is none.
    pub(crate) version: u64,
    /// Where the record comes from.
    pub(crate) origin: RecordOrigin,
}

/// What is known of the members of a group whose logs may hold acknowledged commits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownReplicaSet<'a> {
    /// The record; `None` if there is none.
    pub(crate) record: Option<&'a ReplicaSetRecord>,
    /// Version of the row; 0 if there is none.
    pub(crate) version: u64,
    /// Whether the record names all such members that are not listed.
    pub(crate) is_complete: bool,
    /// Whether the store has the record in the present era.
    is_stored: bool,
}

/// Where a group's primary record comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RecordOrigin {
    /// It was written in the present era of the store, or no era has ended yet.
    Stored,
    /// This daemon knows it from an earlier era. The store has another one, or none.
    Inherited,
    /// It was written in an earlier era, and the store may have lost a later one.
    Outdated,
}

/// Which part of the state a row has changed.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum StateChange {
    Lease,
    Primary(String),
    ReplicaSet,
    Carriers,
}

impl CoordinationState {
    /// Key of the row that holds the failover lease.
    pub(crate) fn lease_key() -> StoreKey<'static> {
        StoreKey { table: STATE_TABLE, key: LEASE_KEY }
    }

    /// Begins an era of the store, whose rows follow. `is_granted` is whether this daemon may use
    /// the primaries that it knows.
    ///
    /// If it may, no failover that it does not know of can have been carried out, nor can one be
    /// carried out any more that was started in the earlier era. The records then hold until they
    /// are replaced in the new era.
    pub(crate) fn begin_era(&mut self, era: u64, is_granted: bool) {
        (self.inherited, self.inherited_replica_sets) = match is_granted {
            true => (self.valid_records(), self.complete_replica_sets()),
            false => Default::default(),
        };
        self.era = era;
        self.era_record = None;
    }

    fn valid_records(&self) -> FastMap<String, PrimaryRecord> {
        let groups = self.primary_records.keys().chain(self.inherited.keys());
        let known = groups.map(|group| (group, self.primary(group)));
        let valid = known.filter(|(_, known)| known.origin != RecordOrigin::Outdated);
        valid.filter_map(|(group, known)| Some((group.clone(), known.record?.clone()))).collect()
    }

    fn complete_replica_sets(&self) -> FastMap<String, ReplicaSetRecord> {
        let groups = self.replica_sets.keys().chain(self.inherited_replica_sets.keys());
        let known = groups.map(|group| (group, self.replica_set(group)));
        let complete = known.filter(|(_, known)| known.is_complete);
        complete.filter_map(|(group, known)| Some((group.clone(), known.record?.clone()))).collect()
    }

    /// What is known of the replica set of a group. Without a record, nothing is: the members that are
    /// listed now need not be the only ones that have confirmed commits.
    pub(crate) fn replica_set(&self, group: &str) -> KnownReplicaSet<'_> {
        let (stored, version) = match self.replica_sets.get(group) {
            Some((record, version)) => (Some(record), *version),
            None => (None, 0),
        };
        let is_stored = stored.is_some_and(|record| record.era == self.era);
        let inherited = self.inherited_replica_sets.get(group).filter(|_| !is_stored);
        KnownReplicaSet {
            record: inherited.or(stored),
            version,
            is_complete: is_stored || inherited.is_some(),
            is_stored,
        }
    }

    /// What is known of the primary of a group.
    pub(crate) fn primary(&self, group: &str) -> KnownPrimary<'_> {
        let (stored, version) = match self.primary_records.get(group) {
            Some((record, version)) => (Some(record), *version),
            None => (None, 0),
        };
        if let Some(record) = stored.filter(|record| record.era == self.era) {
            return KnownPrimary { record: Some(record), version, origin: RecordOrigin::Stored };
        }
        if let Some(record) = self.inherited.get(group) {
            return KnownPrimary { record: Some(record), version, origin: RecordOrigin::Inherited };
        }
        let is_first_era =
            self.era_record.as_ref().is_some_and(|(it, _)| it.restored_at_ms.is_none());
        let origin = match stored {
            None if is_first_era => RecordOrigin::Stored,
            _ => RecordOrigin::Outdated,
        };
        KnownPrimary { record: stored, version, origin }
    }

    /// Whether records of an earlier era have to be written again.
    pub(crate) fn lacks_records(&self) -> bool {
        self.lost_records().next().is_some()
    }

    /// A transaction that writes records of an earlier era again which the store may have lost, as many
    /// as fit.
    pub(crate) fn write_again(&self, store_ms: u64) -> StoreTransaction {
        let lost = self.lost_records().take(MAX_RECORDS_PER_WRITE);
        lost.fold(self.transaction(store_ms), |change, (key, version, value)| {
            let place = StoreKey { table: STATE_TABLE, key: &key };
            change.with_expected(place, version).with_put(place, &value)
        })
    }

    /// Records of an earlier era that the store may have lost: key, version and new value of each row.
    fn lost_records(&self) -> impl Iterator<Item = (String, u64, Vec<u8>)> {
        let primaries = self.inherited.keys().filter_map(|group| {
            let known = self.primary(group);
            let lost = known.record.filter(|_| known.origin == RecordOrigin::Inherited)?;
            let record = PrimaryRecord { era: self.era, ..lost.clone() };
            Some((CoordinationState::primary_record_key(group), known.version, encode(&record)))
        });
        let replica_sets = self.inherited_replica_sets.keys().filter_map(|group| {
            let known = self.replica_set(group);
            let lost = known.record.filter(|_| !known.is_stored)?;
            let record = ReplicaSetRecord { era: self.era, ..lost.clone() };
            Some((CoordinationState::replica_set_key(group), known.version, encode(&record)))
        });
        primaries.chain(replica_sets)
    }

    /// Whether the store, as of an answer in `era` at `store_ms` of its clock, has all that the
    /// operator and the members have written. Without a record of the era this is so only if no
    /// daemon has ever written to the store.
    pub(crate) fn is_settled(&self, era: u64, store_ms: u64) -> bool {
        let is_settled = match &self.era_record {
            Some((record, _)) => record.is_settled(store_ms),
            None => self.loaded && self.version == 0,
        };
        era == self.era && is_settled
    }

    /// Number of carriers that may exist beyond the listed ones at `store_ms` of the store's clock:
    /// the store may have lost the rows of carriers that do not know it. `slots` is the number of
    /// carrier slots.
    pub(crate) fn unlisted_carriers(&self, slots: usize, store_ms: u64) -> usize {
        let record = self.era_record.as_ref().map(|(record, _)| record);
        let may_exist = record.is_none_or(|record| record.may_be_unnoticed(store_ms));
        if may_exist { slots.saturating_sub(self.carriers.len()) } else { 0 }
    }

    /// The failover lease, if it is one of the present era, and the version of its row.
    pub(crate) fn lease(&self) -> Option<(&LeaseRecord, u64)> {
        let (lease, version) = self.duty.as_ref()?;
        (lease.era == self.era).then_some((lease, *version))
    }

    /// A transaction that claims the failover lease, after the one in the store, and the lease.
    pub(crate) fn claim_lease(
        &self,
        holder: &str,
        run: u64,
        store_ms: u64,
    ) -> (StoreTransaction, LeaseRecord) {
        let (previous, version) = match &self.duty {
            Some((lease, version)) => (Some(lease), *version),
            None => (None, 0),
        };
        let lease = LeaseRecord::new(previous, self.era, holder.to_owned(), run);
        let key = CoordinationState::lease_key();
        let change = self.transaction(store_ms);
        (change.with_expected(key, version).with_put(key, &encode(&lease)), lease)
    }

    /// A transaction that has no effect in another era of the store: it depends on the record of
    /// the present one, or creates it and deletes the others. `store_ms` is the store's clock.
    ///
    /// The versions of other rows do not suffice as conditions, since they are given out again.
    /// Before the record exists, no daemon has written to the copy that the store came back from,
    /// and afterwards none can write that depends on an earlier record.
    pub(crate) fn transaction(&self, store_ms: u64) -> StoreTransaction {
        let key = format!("{ERA_KEY_PREFIX}{}", self.era);
        let place = StoreKey { table: STATE_TABLE, key: &key };
        let change = StoreTransaction::new(self.era);
        if let Some((_, version)) = &self.era_record {
            return change.with_expected(place, *version);
        }
        let is_first_write = self.version == 0;
        let record = EraRecord { restored_at_ms: (!is_first_write).then_some(store_ms) };
        let change = change.with_expected(place, 0).with_put(place, &encode(&record));
        self.other_eras
            .iter()
            .fold(change, |change, key| change.with_delete(StoreKey { table: STATE_TABLE, key }))
    }

    /// Key of the row that names the primary of a group.
    pub(crate) fn primary_record_key(group: &str) -> String {
        format!("{PRIMARY_KEY_PREFIX}{group}")
    }

    /// Key of the row that names the members of a group whose logs may hold acknowledged commits.
    pub(crate) fn replica_set_key(group: &str) -> String {
        format!("{REPLICA_SET_KEY_PREFIX}{group}")
    }

    /// Name of a carrier slot in an availability zone.
    pub(crate) fn carrier_slot(zone: &str, number: u32) -> String {
        format!("{zone}/{number}")
    }

    /// Key of the row that says which carrier has a carrier slot.
    pub(crate) fn carrier_key(place: &str) -> String {
        format!("{CARRIER_KEY_PREFIX}{place}")
    }

    /// The carrier slot that the daemon of `vm` has, with the slot's record and the version of
    /// its row; `None` if the daemon is no carrier.
    pub(crate) fn carrier(&self, vm: &str) -> Option<(&str, &CarrierRecord, u64)> {
        let mut carriers = self.carriers.iter();
        let (place, (record, version)) = carriers.find(|(_, (record, _))| record.vm == vm)?;
        Some((place, record, *version))
    }

    /// Version that the row of a carrier slot must have for `vm` to claim it, 0 if there is no
    /// row; `None` if the slot is not free. `store_ms` is the store's clock.
    pub(crate) fn claimable_version(&self, place: &str, vm: &str, store_ms: u64) -> Option<u64> {
        match self.gone.get(place) {
            // The previous holder need not wait: failover counts it as a carrier either way.
            Some((record, version)) if record.vm == vm => Some(*version),
            Some((record, version)) => record.is_settled(store_ms).then_some(*version),
            None => (!self.carriers.contains_key(place)).then_some(0),
        }
    }

    /// Record of a carrier slot, whether its carrier has lost it or not, and the version of its row.
    pub(crate) fn slot(&self, place: &str) -> Option<&(CarrierRecord, u64)> {
        self.carriers.get(place).or_else(|| self.gone.get(place))
    }

    /// Key of the row that says which carrier uses the part of a carrier slot.
    pub(crate) fn part_key(place: &str) -> String {
        format!("{PART_KEY_PREFIX}{place}")
    }

    /// Version of the era's record, if at `store_ms` of the store's clock a carrier may still use the
    /// part of another one by a record that the store has lost. 0 if the era has no record yet.
    pub(crate) fn lost_parts_version(&self, store_ms: u64) -> Option<u64> {
        let Some((record, version)) = &self.era_record else {
            return (self.version > 0).then_some(0);
        };
        let may_be_used = |at| store_ms.saturating_sub(at) < TAKEN_PARTS_EXPIRED_AFTER_MS;
        record.restored_at_ms.is_some_and(may_be_used).then_some(*version)
    }

    /// Whether no carrier goes by records of an earlier era any more, and what it has lent by them has
    /// expired.
    pub(crate) fn is_era_noticed(&self, store_ms: u64) -> bool {
        let store_ms = store_ms.saturating_sub(LOANS_EXPIRED_AFTER_MS);
        self.era_record.as_ref().is_some_and(|(record, _)| !record.may_be_unnoticed(store_ms))
    }

    /// Whether a carrier is listed in an availability zone.
    pub(crate) fn has_carrier_in(&self, zone: &str) -> bool {
        self.carriers.values().any(|(record, _)| record.zone == zone)
    }

    /// Number of VMs whose daemon is a carrier. A daemon with two carrier slots counts once.
    pub(crate) fn carrier_count(&self) -> u32 {
        let mut vms: Vec<_> = self.carriers.values().map(|(record, _)| &record.vm).collect();
        vms.sort_unstable();
        vms.dedup();
        vms.len() as u32
    }

    /// Applies changed rows and returns what each of them changed.
    pub(crate) fn apply_rows(&mut self, updates: &[Row]) -> Vec<StateChange> {
        let mut changed = Vec::new();
        for row in updates {
            self.apply_row(row, &mut changed);
        }
        changed
    }

    fn apply_row(&mut self, row: &Row, changed: &mut Vec<StateChange>) {
        let (value, version) = (row.value.as_deref(), row.version);
        // The version of a row that is only missing from a list says when the list was read.
        if value.is_some() {
            self.version = self.version.max(version);
        }
        if let Some(era) = row.key.strip_prefix(ERA_KEY_PREFIX) {
            if era == self.era.to_string() {
                self.era_record = decode(&row.key, value).map(|record| (record, version));
            } else if value.is_some() {
                self.other_eras.insert(row.key.clone());
            } else {
                self.other_eras.remove(&row.key);
            }
        } else if row.key == LEASE_KEY {
            self.duty = decode(&row.key, value).map(|duty| (duty, version));
            changed.push(StateChange::Lease);
        } else if let Some(group) = row.key.strip_prefix(PRIMARY_KEY_PREFIX) {
            put(&mut self.primary_records, group, decode(&row.key, value), version);
            changed.push(StateChange::Primary(group.to_owned()));
        } else if let Some(group) = row.key.strip_prefix(REPLICA_SET_KEY_PREFIX) {
            put(&mut self.replica_sets, group, decode(&row.key, value), version);
            changed.push(StateChange::ReplicaSet);
        } else if let Some(place) = row.key.strip_prefix(PART_KEY_PREFIX) {
            put(&mut self.parts, place, decode(&row.key, value), version);
            changed.push(StateChange::Carriers);
        } else if let Some(place) = row.key.strip_prefix(CARRIER_KEY_PREFIX) {
            self.carriers_version = self.carriers_version.max(version);
            let record: Option<CarrierRecord> = decode(&row.key, value);
            let (gone, present) = match record {
                Some(record) if record.gone => (Some(record), None),
                record => (None, record),
            };
            put(&mut self.carriers, place, present, version);
            put(&mut self.gone, place, gone, version);
            changed.push(StateChange::Carriers);
        }
    }
}

fn put<T>(map: &mut FastMap<String, (T, u64)>, key: &str, value: Option<T>, version: u64) {
    match value {
        Some(value) => map.insert(key.to_owned(), (value, version)),
        None => map.remove(key),
    };
}

fn decode<T: DeserializeOwned>(key: &str, value: Option<&[u8]>) -> Option<T> {
    match serde_json::from_slice(value?) {
        Ok(record) => Some(record),
        Err(error) => {
            logs::error(&format!("cannot decode row {key:?} of table {STATE_TABLE}: {error}"));
            None
        }
    }
}

#[cfg(test)]
mod tests;
