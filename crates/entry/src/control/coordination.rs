use adapter::{Row, StoreKey};
use base::FastMap;
use serde::de::DeserializeOwned;
use succession::{CarrierRecord, LeaseRecord, PrimaryRecord};

/// Table in the store in which the daemons coordinate.
pub(crate) const STATE_TABLE: &str = "corianderwharf";
const LEASE_KEY: &str = "duty";
const PRIMARY_KEY_PREFIX: &str = "lead/";
const CARRIER_KEY_PREFIX: &str = "carrier/";

/// Rows of the state table as last read from the store or from another daemon.
#[derive(Debug, Default)]
pub(crate) struct CoordinationState {
    /// Version of the newest row; 0 before any row has been read.
    pub(crate) version: u64,
    /// Version of the newest row of a carrier slot; 0 if there is none.
    pub(crate) carriers_version: u64,
    /// Whether all rows have been read at least once.
    pub(crate) loaded: bool,
    /// The failover lease, the duty to make failover calls, and the version of its row.
    pub(crate) duty: Option<(LeaseRecord, u64)>,
    /// Primaries by group, each with the version of its row.
    pub(crate) primary_records: FastMap<String, (PrimaryRecord, u64)>,
    /// Carriers by carrier slot, each with the version of its row.
    pub(crate) carriers: FastMap<String, (CarrierRecord, u64)>,
    /// Carriers that have lost their carrier slot, by that slot.
    pub(crate) gone: FastMap<String, (CarrierRecord, u64)>,
}

/// Which part of the state a row has changed.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum StateChange {
    Lease,
    Primary(String),
    Carriers,
}

impl CoordinationState {
    /// Key of the row that holds the failover lease.
    pub(crate) fn lease_key() -> StoreKey<'static> {
        StoreKey { table: STATE_TABLE, key: LEASE_KEY }
    }

    /// Key of the row that names the primary of a group.
    pub(crate) fn primary_record_key(group: &str) -> String {
        format!("{PRIMARY_KEY_PREFIX}{group}")
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
        self.version = self.version.max(row.version);
        let (value, version) = (row.value.as_deref(), row.version);
        if row.key == LEASE_KEY {
            self.duty = decode(&row.key, value).map(|duty| (duty, version));
            changed.push(StateChange::Lease);
        } else if let Some(group) = row.key.strip_prefix(PRIMARY_KEY_PREFIX) {
            put(&mut self.primary_records, group, decode(&row.key, value), version);
            changed.push(StateChange::Primary(group.to_owned()));
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
