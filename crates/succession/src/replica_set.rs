use std::{collections::BTreeMap, net::SocketAddr};

use base::{Position, Span, Time};

use crate::failover::{Candidate, CandidateStatus};

/// Minimum time between two status queries by which a record is completed.
const QUERY_INTERVAL: Span = Span::from_millis(500);
/// Number of members that are assumed to have joined, confirmed commits and disappeared again within the
/// writes that a store has lost.
const MAX_LOST_MEMBERS: usize = 1;
/// Limit of the members in a record, which keeps its row far below the size that the store accepts.
const MAX_MEMBERS: usize = 64;

/// The stored record of the members of a group whose logs may hold acknowledged commits, whether they
/// are listed at present or not.
///
/// A record of the present era of the store is *complete*: it names every such member that is not
/// listed. One of an earlier era may lack members, since the store has lost its latest writes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReplicaSetRecord {
    /// Members by identifier.
    pub members: BTreeMap<String, Replica>,
    /// Number of further members, for which the record had no room.
    #[serde(default)]
    pub omitted: u32,
    /// Era of the store in which the record was written.
    #[serde(default)]
    pub era: u64,
}

/// A member as it was last listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Replica {
    /// Address at which it accepted connections.
    pub addr: SocketAddr,
    /// Whether it was draining.
    #[serde(default)]
    pub leaving: bool,
}

/// Maintains the [`ReplicaSetRecord`] of a group at the daemon that holds the failover lease.
///
/// A member that is not listed any more stays in the record: it may come back with its log, or may go
/// on confirming commits without reaching the store. It is removed once it has ended for good and the
/// listed members hold everything that it can have confirmed.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    proof: Option<Proof>,
    last_query: Option<Time>,
}

/// Evidence that the listed members hold all commits that were acknowledged before `since`.
#[derive(Debug)]
struct Proof {
    /// Members that had ended at `since`.
    ended: Vec<String>,
    primary: String,
    since: Time,
    /// End of the primary's log at a time after `since`.
    target: Option<Position>,
}

/// What the holder of the failover lease knows of a group's members.
#[derive(Debug)]
pub struct ReplicaSetView<'a> {
    /// The record, of whichever era; `None` if there is none.
    pub record: Option<&'a ReplicaSetRecord>,
    /// Whether the record is complete.
    pub is_complete: bool,
    /// The listed members.
    pub members: &'a [Candidate],
    /// The recorded primary; `None` during a failover.
    pub primary: Option<&'a str>,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Next action for a record, which the caller carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaSetAction {
    /// Write the record, if neither it nor the lease has changed.
    Write(ReplicaSetRecord),
    /// Ask every member for its status.
    QueryStatus,
}

impl ReplicaSetRecord {
    /// A record of the listed members only.
    pub fn of_listed(listed: &[Candidate], era: u64) -> ReplicaSetRecord {
        let members = listed.iter().map(|member| (member.id.clone(), Replica::new(member)));
        ReplicaSetRecord { members: members.collect(), omitted: 0, era }
    }

    /// The members that are not among the listed ones.
    pub fn unlisted<'a>(
        &'a self,
        listed: &'a [Candidate],
    ) -> impl Iterator<Item = (&'a String, &'a Replica)> {
        self.members.iter().filter(move |(id, _)| listed.iter().all(|it| it.id != **id))
    }

    /// Number of members that the record does not name. `is_complete` is whether it is complete.
    pub fn unnamed(&self, is_complete: bool) -> usize {
        self.omitted as usize + if is_complete { 0 } else { MAX_LOST_MEMBERS }
    }

    /// Removes unlisted members that the record has no room for. They are still counted.
    fn limit(&mut self, listed: &[Candidate]) {
        let excess = self.members.len().saturating_sub(MAX_MEMBERS);
        let unlisted: Vec<_> = self.unlisted(listed).map(|(id, _)| id.clone()).collect();
        for id in unlisted.iter().rev().take(excess) {
            self.members.remove(id);
            self.omitted += 1;
        }
    }
}

impl Replica {
    fn new(member: &Candidate) -> Replica {
        Replica { addr: member.addr, leaving: member.leaving }
    }
}

impl ReplicaSet {
    /// Returns the next action, or `None` if the record is up to date.
    pub fn tick(&mut self, now: Time, view: &ReplicaSetView<'_>) -> Option<ReplicaSetAction> {
        let known = view.record.cloned().unwrap_or_default();
        let ended: Vec<_> = known
            .unlisted(view.members)
            .filter(|(_, replica)| has_ended(replica, view.members))
            .map(|(id, _)| id.clone())
            .collect();
        let mut wanted = known.clone();
        for member in view.members {
            wanted.members.insert(member.id.clone(), Replica::new(member));
        }
        wanted.limit(view.members);
        let lacks_proof = !view.is_complete || !ended.is_empty();
        let is_proven = lacks_proof && self.is_proven(now, &ended, view);
        if is_proven {
            wanted.members.retain(|id, _| !ended.contains(id));
        }
        if !lacks_proof || is_proven {
            self.proof = None;
        }
        let is_writable = view.is_complete || is_proven;
        if is_writable && !(view.is_complete && wanted == known) {
            return Some(ReplicaSetAction::Write(wanted));
        }
        lacks_proof.then(|| self.query(now)).flatten()
    }

    fn query(&mut self, now: Time) -> Option<ReplicaSetAction> {
        if self.last_query.is_some_and(|at| now.since(at) < QUERY_INTERVAL) {
            return None;
        }
        self.last_query = Some(now);
        Some(ReplicaSetAction::QueryStatus)
    }

    /// Whether the listed members hold all commits that the `ended` ones can have confirmed: as many
    /// replicas as an acknowledgement needs have reached a position at which the primary was later.
    fn is_proven(&mut self, now: Time, ended: &[String], view: &ReplicaSetView<'_>) -> bool {
        let Some(primary) = view.primary else {
            self.proof = None;
            return false;
        };
        let is_current = |proof: &Proof| {
            proof.primary == primary && ended.iter().all(|id| proof.ended.contains(id))
        };
        if !self.proof.as_ref().is_some_and(is_current) {
            let (ended, primary) = (ended.to_vec(), primary.to_owned());
            self.proof = Some(Proof { ended, primary, since: now, target: None });
        }
        let Some(proof) = &mut self.proof else { return false };
        let since = proof.since;
        let status = |member: &Candidate| -> Option<CandidateStatus> {
            member.status.filter(|status| status.asked_at >= since)
        };
        let shown = view.members.iter().find(|member| member.id == primary).and_then(status);
        let shown = shown.filter(|status| status.primary).map(|status| status.received);
        let Some(target) = proof.target.or(shown) else { return false };
        proof.target = Some(target);
        let replicas = view.members.iter().filter(|member| member.id != primary && !member.leaving);
        let reached = replicas.filter_map(status).filter(|status| status.received >= target);
        reached.count() >= view.sync_replicas as usize
    }
}

/// Whether an unlisted member receives nothing any more. The log of one that has drained is at another
/// member; one whose address another member has taken does not run. Silence alone shows neither.
fn has_ended(replica: &Replica, listed: &[Candidate]) -> bool {
    replica.leaving || listed.iter().any(|member| member.addr == replica.addr)
}
