use base::{MemberId, Position, Span, Term, Time, Zone};

use crate::{
    choice::{Choice, Reason},
    member::Member,
};

/// The members of a group and who is primary.
#[derive(Debug)]
pub struct Members {
    members: Vec<Member>,
    zone: Zone,
    patience: Span,
    term: Term,
    primary: Option<usize>,
}

impl Members {
    /// Members as seen from `zone`; one that has not answered for `patience`
    /// gets no requests.
    pub fn new(members: Vec<Member>, zone: Zone, patience: Span) -> Members {
        Members { members, zone, patience, term: Term::default(), primary: None }
    }

    /// Adopts a primary and its term; whether that is news.
    pub fn adopt(&mut self, term: Term, primary: Option<&MemberId>) -> bool {
        let primary = primary.and_then(|id| self.index(id));
        if term < self.term || (term == self.term && self.primary == primary) {
            return false;
        }
        self.term = term;
        self.primary = primary;
        true
    }

    /// The term under which requests go out.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Index of the primary, if there is one.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// Index of a member.
    pub fn index(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.id == *id)
    }

    /// Every member.
    pub fn as_slice(&self) -> &[Member] {
        &self.members
    }

    /// A member by index.
    pub fn get(&self, index: usize) -> &Member {
        &self.members[index]
    }

    /// A member by index, to change.
    pub fn get_mut(&mut self, index: usize) -> &mut Member {
        &mut self.members[index]
    }

    /// Members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Looks for room at the primary. One that has just failed several times is
    /// left alone for a while: what waits for it must not become a storm.
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

    /// Looks for the least busy replica at or past `required`.
    pub fn choose_replica(&self, now: Time, required: Position) -> Choice {
        let fresh: Vec<usize> = self.fresh(now, required).collect();
        if fresh.is_empty() {
            return Choice::NoneEligible(self.why_none(now));
        }
        let with_room = fresh.into_iter().filter(|&index| self.members[index].has_room());
        let best = with_room.min_by_key(|&index| self.preference(index));
        best.map_or(Choice::Busy, |index| Choice::Member(index, Reason::FreshReplica))
    }

    /// Whether some replica may serve reads that must see `required`.
    pub fn has_fresh_replica(&self, now: Time, required: Position) -> bool {
        self.fresh(now, required).next().is_some()
    }

    /// Slots of the primary, and slots of the usable replicas.
    pub fn slots(&self, now: Time) -> (u32, u32) {
        let primary = self.primary.map_or(0, |index| self.members[index].capacity.slots);
        let replicas = self.usable_replicas(now).map(|index| self.members[index].capacity.slots);
        (primary, replicas.sum())
    }

    /// Free slots of the primary, and of the usable replicas.
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

    fn fresh(&self, now: Time, required: Position) -> impl Iterator<Item = usize> {
        self.usable_replicas(now).filter(move |&index| self.members[index].position >= required)
    }

    fn why_none(&self, now: Time) -> Reason {
        match self.usable_replicas(now).next() {
            Some(_) => Reason::ReplicasBehind,
            None => Reason::ReplicasUnreachable,
        }
    }

    fn preference(&self, index: usize) -> (u64, bool, usize) {
        let member = &self.members[index];
        (member.load(), member.zone != self.zone, index)
    }
}
