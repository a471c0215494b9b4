use std::{collections::BTreeMap, net::SocketAddr};

use base::Span;

use crate::grants::{LONGEST_GRANT, SETTLED_AFTER};

/// Time within which the operator and the members write again what the store has lost: the users
/// state two seconds for members' entries.
const REWRITTEN_AFTER: Span = Span::from_millis(2_300);
/// Longer than the loans of quota that a carrier has made under its last grant.
const LOANS_EXPIRED_AFTER: Span = Span::from_millis(2_000);
/// Limit of the earlier carriers in the record of a slot. More than can lose it within
/// [`SETTLED_AFTER`], as each is silent for some seconds before.
const MAX_REPLACED: usize = 8;
/// Bits of a fencing token that count the holders within an era of the store; the era is above
/// them.
const TOKEN_ERA_SHIFT: u32 = 32;

/// Record of an era of the store, which begins when the store comes back from an older copy. All
/// writes of the daemons depend on the record of the era in which they read the rows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EraRecord {
    /// When a daemon first noticed the era, in ms of the store's clock; `None` if no daemon has
    /// written to the store before, so that nothing can be lost.
    pub restored_at_ms: Option<u64>,
}

impl EraRecord {
    /// Whether at `store_ms`, a time of the store's clock, the store has again what the operator
    /// and the members wrote before it came back from an older copy.
    pub fn is_settled(&self, store_ms: u64) -> bool {
        let rewritten = |at| store_ms.saturating_sub(at) >= REWRITTEN_AFTER.as_millis();
        self.restored_at_ms.is_none_or(rewritten)
    }

    /// Whether at `store_ms`, a time of the store's clock, a carrier may still use primaries that
    /// has not noticed the era. It goes by lists and records that the store may have lost.
    pub fn may_be_unnoticed(&self, store_ms: u64) -> bool {
        self.restored_at_ms
            .is_some_and(|at| store_ms.saturating_sub(at) < LONGEST_GRANT.as_millis())
    }
}

/// The failover lease, which entitles one daemon at a time to make failover calls.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LeaseRecord {
    /// VM of the daemon that holds the lease.
    pub holder: String,
    /// Run of that daemon; a restarted daemon has to acquire the lease again.
    pub run: u64,
    /// Fencing token: increases with each new holder, also if the records of some are lost.
    pub token: u64,
    /// Counter that the holder increases each time it confirms the lease.
    pub confirmed: u64,
    /// Era of the store in which the lease was acquired. It ends with the era.
    #[serde(default)]
    pub era: u64,
    /// For each group, the member of the last failover call, whoever made it, until the member is
    /// recorded as primary. The call may take effect after its caller has lost the lease.
    #[serde(default)]
    pub calls: BTreeMap<String, String>,
}

impl LeaseRecord {
    /// The lease of a new holder, after that in the store.
    ///
    /// An older copy of the store lacks the latest leases, whose tokens must not be used again: the
    /// first token of an era is above all tokens of earlier ones.
    pub fn new(previous: Option<&LeaseRecord>, era: u64, holder: String, run: u64) -> LeaseRecord {
        let last_token = previous.map_or(0, |lease| lease.token).max(era << TOKEN_ERA_SHIFT);
        let calls = previous.map_or_else(BTreeMap::new, |lease| lease.calls.clone());
        LeaseRecord { holder, run, token: last_token + 1, confirmed: 0, era, calls }
    }

    /// The lease as its holder confirms it immediately before a failover call.
    pub fn with_call(&self, group: &str, member: &str) -> LeaseRecord {
        let mut lease = LeaseRecord { confirmed: self.confirmed + 1, ..self.clone() };
        lease.calls.insert(group.to_owned(), member.to_owned());
        lease
    }

    /// The lease after a group's new primary has been recorded.
    pub fn without_call(&self, group: &str) -> LeaseRecord {
        let mut lease = self.clone();
        lease.calls.remove(group);
        lease
    }
}

/// The stored record of a group's primary, for groups whose members the platform promotes. The
/// daemons themselves write it. Groups whose primary the daemons elect have another record, in
/// the crates `leadership` and `platform`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PrimaryRecord {
    /// The primary, or the last one while a failover is in progress.
    pub primary: String,
    /// Whether a failover is in progress; no daemon uses the group's primary meanwhile.
    pub changing: bool,
    /// Whether the last primary is healthy, so that its transactions may finish first.
    pub planned: bool,
    /// Whether another member may be the present primary: the failover was started because the
    /// store has lost writes and a later record may be among them.
    #[serde(default)]
    pub in_doubt: bool,
    /// Era of the store in which the record was written.
    #[serde(default)]
    pub era: u64,
}

/// The stored record of a carrier: a daemon that has connections to members and may use
/// primaries. Other daemons relay their sessions' statements to carriers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CarrierRecord {
    /// VM of the daemon.
    pub vm: String,
    /// Address that receives the other daemons' heartbeats.
    pub addr: SocketAddr,
    /// Address that accepts sessions.
    pub sessions: SocketAddr,
    /// Availability zone of the VM.
    pub zone: String,
    /// Cores that the VM may use, in thousandths; 0 if the record was written by a version that
    /// does not state them.
    #[serde(default)]
    pub millicores: u32,
    /// Time at which the record was written, in ms of the store's clock as its writer last
    /// read it.
    #[serde(default)]
    pub since_ms: u64,
    /// Whether the carrier has lost its slot. The record stays until no list of carriers
    /// that a daemon may still use can contain the carrier.
    #[serde(default)]
    pub gone: bool,
    /// Whether a daemon of the zone hears no carrier and asks this one, by the store, whether it runs. A
    /// carrier that reads this writes its record again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub doubted: bool,
    /// Earlier carriers in the slot that lists of carriers still in use may contain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaced: Vec<ReplacedCarrier>,
}

/// A carrier whose slot another one has taken over.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReplacedCarrier {
    /// VM of the daemon.
    pub vm: String,
    /// Time at which it lost the slot, in ms of the store's clock.
    pub since_ms: u64,
}

/// The stored record of the part of the organisations' limits that a carrier slot owns, if it is not, or
/// was once not, the holder of the slot that uses it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct PartRecord {
    /// VM of the carrier that uses the part.
    pub user: String,
    /// Time at which the record was written, in ms of the store's clock as its writer last read it.
    #[serde(default)]
    pub since_ms: u64,
}

impl PartRecord {
    /// Whether the record is so old at `store_ms`, a time of the store's clock, that no carrier that
    /// has not applied it has a grant, or has lent anything.
    pub fn is_settled(&self, store_ms: u64) -> bool {
        store_ms.saturating_sub(self.since_ms)
            >= SETTLED_AFTER.as_millis() + LOANS_EXPIRED_AFTER.as_millis()
    }
}

impl ReplacedCarrier {
    /// Whether the carrier lost the slot so long before `store_ms`, a time of the store's clock, that no
    /// list of carriers still in use contains it.
    pub fn is_settled(&self, store_ms: u64) -> bool {
        store_ms.saturating_sub(self.since_ms) >= SETTLED_AFTER.as_millis()
    }
}

impl CarrierRecord {
    /// This record as that of the slot's next carrier, which takes the slot over from `previous`. Earlier
    /// carriers stay in the record until they are settled at `store_ms`, a time of the store's clock, so
    /// that a failover waits for them. `None` while the slot has changed hands too often.
    pub fn taking_over(self, previous: &CarrierRecord, store_ms: u64) -> Option<CarrierRecord> {
        let since_ms = if previous.gone { previous.since_ms } else { self.since_ms };
        let last = ReplacedCarrier { vm: previous.vm.clone(), since_ms };
        let replaced = previous.replaced.iter().cloned().chain([last]);
        let replaced = replaced.filter(|it| it.vm != self.vm && !it.is_settled(store_ms));
        let replaced: Vec<_> = replaced.collect();
        (replaced.len() <= MAX_REPLACED).then_some(CarrierRecord { replaced, ..self })
    }

    /// Whether both records describe the same VM with the same zone and addresses. Its cores may
    /// differ: they only affect which carrier is preferred.
    pub fn is_same(&self, other: &CarrierRecord) -> bool {
        let addrs = |record: &CarrierRecord| (record.addr, record.sessions);
        self.vm == other.vm && self.zone == other.zone && addrs(self) == addrs(other)
    }

    /// Whether the record is so old at `store_ms`, a time of the store's clock, that every
    /// list of carriers still in use reflects it ([`SETTLED_AFTER`]).
    pub fn is_settled(&self, store_ms: u64) -> bool {
        store_ms.saturating_sub(self.since_ms) >= SETTLED_AFTER.as_millis()
    }
}
