use adapter::{StoreKey, StoreTransaction};
use base::{FastMap, Time};
use succession::{Candidate, CandidateStatus, PrimaryHealth, ReplicaSetRecord};

use crate::control::{
    coordination::{CoordinationState, KnownReplicaSet, STATE_TABLE},
    coordinator::encode,
};

/// Inputs for the failover of a group, as known to this daemon.
#[derive(Debug)]
pub(crate) struct GroupView<'a> {
    pub(crate) name: &'a str,
    pub(crate) sync_replicas: u32,
    /// The listed members.
    pub(crate) members: Vec<Candidate>,
    /// Latest time at which the list is known to have been complete.
    pub(crate) members_as_of: Time,
    /// Health of the primary as this daemon observes it; `None` without a recent
    /// observation.
    pub(crate) local_health: Option<PrimaryHealth>,
}

/// A group and its members with their latest statuses.
#[derive(Debug)]
pub(crate) struct GroupState<'a> {
    pub(crate) view: &'a GroupView<'a>,
    pub(crate) listed: Vec<Candidate>,
    /// Members that are not listed, but whose logs may hold acknowledged commits.
    pub(crate) unlisted: Vec<Candidate>,
    /// Number of further such members; `None` if it is not known.
    pub(crate) unnamed: Option<usize>,
    pub(crate) replica_set: KnownReplicaSet<'a>,
}

impl<'a> GroupState<'a> {
    pub(crate) fn new(
        coordination: &'a CoordinationState,
        statuses: &FastMap<String, CandidateStatus>,
        view: &'a GroupView<'a>,
    ) -> GroupState<'a> {
        let listed = view.members.iter().map(|member| {
            let status = statuses.get(&member.id).copied();
            Candidate { status, ..member.clone() }
        });
        let listed: Vec<_> = listed.collect();
        let replica_set = coordination.replica_set(view.name);
        let record = replica_set.record.filter(|_| view.sync_replicas > 0);
        let unlisted = record.into_iter().flat_map(|record| record.unlisted(&listed));
        let unlisted = unlisted.map(|(id, replica)| Candidate {
            id: id.clone(),
            addr: replica.addr,
            leaving: replica.leaving,
            registers_as_primary: false,
            status: statuses.get(id).copied(),
        });
        let unlisted = unlisted.collect();
        let unnamed = match view.sync_replicas {
            0 => Some(0),
            _ => record.map(|record| record.unnamed(replica_set.is_complete)),
        };
        GroupState { view, listed, unlisted, unnamed, replica_set }
    }

    /// Adds the record of the listed members to the transaction that writes the group's first primary
    /// record. No daemon has used the group before, so no other member can hold acknowledged commits.
    pub(crate) fn put_first_replica_set(
        &self,
        coordination: &CoordinationState,
        change: StoreTransaction,
    ) -> StoreTransaction {
        if self.view.sync_replicas == 0 {
            return change;
        }
        let key = CoordinationState::replica_set_key(self.view.name);
        let place = StoreKey { table: STATE_TABLE, key: &key };
        let record = ReplicaSetRecord::of_listed(&self.listed, coordination.era);
        change.with_expected(place, self.replica_set.version).with_put(place, &encode(&record))
    }
}
