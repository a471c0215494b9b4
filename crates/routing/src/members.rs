use base::{MemberId, Position, Span, Term, Time, Zone};

use crate::{
    choice::{Choice, Reason},
    member::Member,
};

/// The members of a group, and which of them is the primary.
#[derive(Debug)]
pub struct Members {
    members: Vec<Member>,
    zone: Zone,
    patience: Span,
    term: Term,
    primary: Option<usize>,
}

impl Members {
    /// Creates the set without a primary. Of equally busy replicas, one in `zone` is
    /// preferred. A replica that has not answered for longer than `patience` gets no
    /// requests.
    pub fn new(members: Vec<Member>, zone: Zone, patience: Span) -> Members {
        Members { members, zone, patience, term: Term::default(), primary: None }
    }

    /// Sets the primary and its term, unless a higher term is known. Returns whether
    /// anything has changed.
    pub fn set_primary(&mut self, term: Term, primary: Option<&MemberId>) -> bool {
        let primary = primary.and_then(|id| self.index(id));
        if term < self.term || (term == self.term && self.primary == primary) {
            return false;
        }
        self.term = term;
        self.primary = primary;
        true
    }

    /// The term that is sent with requests.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Index of the primary; `None` if there is none.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// Index of a member; `None` if it is not in the group.
    pub fn index(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.id == *id)
    }

    /// All members, in the order of their indices.
    pub fn as_slice(&self) -> &[Member] {
        &self.members
    }

    /// The member with an index.
    pub fn get(&self, index: usize) -> &Member {
        &self.members[index]
    }

    /// The member with an index, for changes.
    pub fn get_mut(&mut self, index: usize) -> &mut Member {
        &mut self.members[index]
    }

    /// Number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Chooses the primary if it can take another statement. An ejected primary counts as
    /// busy, so that the waiting requests do not all hit it in a storm of retries.
    pub fn choose_primary(&self, now: Time) -> Choice {
        let Some(index) = self.primary else { return Choice::NoneEligible(Reason::NoPrimary) };
        let primary = &self.members[index];
        if primary.leaving {
            return Choice::NoneEligible(Reason::NoPrimary);
        }
        if primary.has_room() && !primary.health.is_ejected(now) {
            Choice::Member(index, Reason::Primary)
        } else {
            Choice::Busy
        }
    }

    /// Chooses the least busy replica whose position is at least `required`.
    pub fn choose_replica(&self, now: Time, required: Position) -> Choice {
        let fresh_replicas: Vec<usize> = self.fresh_replicas(now, required).collect();
        if fresh_replicas.is_empty() {
            return Choice::NoneEligible(self.ineligibility_reason(now));
        }
        let with_room = fresh_replicas.into_iter().filter(|&index| self.members[index].has_room());
        let best = with_room.min_by_key(|&index| self.preference_key(index));
        best.map_or(Choice::Busy, |index| Choice::Member(index, Reason::FreshReplica))
    }

    /// Whether some replica may serve reads that require the position `required`.
    pub fn has_fresh_replica(&self, now: Time, required: Position) -> bool {
        self.fresh_replicas(now, required).next().is_some()
    }

    /// Number of slots of the primary, and of all usable replicas together.
    pub fn slots(&self, now: Time) -> (u32, u32) {
        let primary = self.primary.map_or(0, |index| self.members[index].capacity.slots);
        let replicas = self.usable_replicas(now).map(|index| self.members[index].capacity.slots);
        (primary, replicas.sum())
    }

    /// Number of free slots of the primary, and of all usable replicas together.
    pub fn free_slots(&self, now: Time) -> (u32, u32) {
        let primary = self.primary.map_or(0, |index| self.members[index].free_slots());
        let replicas = self.usable_replicas(now).map(|index| self.members[index].free_slots());
        (primary, replicas.sum())
    }

    fn usable_replicas(&self, now: Time) -> impl Iterator<Item = usize> {
        (0..self.members.len()).filter(move |&index| {
            let member = &self.members[index];
            Some(index) != self.primary
                && !member.leaving
                && member.health.is_usable(now, self.patience)
        })
    }

    fn fresh_replicas(&self, now: Time, required: Position) -> impl Iterator<Item = usize> {
        self.usable_replicas(now).filter(move |&index| self.members[index].position >= required)
    }

    fn ineligibility_reason(&self, now: Time) -> Reason {
        match self.usable_replicas(now).next() {
            Some(_) => Reason::ReplicasBehind,
            None => Reason::ReplicasUnreachable,
        }
    }

    /// Sort key of a replica: lowest load first, then the own zone.
    fn preference_key(&self, index: usize) -> (u64, bool, usize) {
        let member = &self.members[index];
        (member.load(), member.zone != self.zone, index)
    }
}
