use std::collections::BTreeMap;

use base::{Position, Span, Time};

use super::commit::Commit;

/// How long a replaced primary goes on by itself until it hears of the new one.
const HEARS_AFTER: Span = Span::from_millis(1_000);

/// A group of members, each with a log of its own. No sockets and no clock.
#[derive(Debug)]
pub struct Group {
    members: BTreeMap<String, Member>,
    term: u64,
    lag: Span,
    /// Whether replaced primaries hear of nothing for now.
    parted: bool,
    /// Commits that were in a replaced primary's log and no other's.
    lost: Vec<Commit>,
}

/// Why a member does not run a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It does not lead.
    ReadOnly,
    /// Its log lacks the position.
    Lagging,
}

#[derive(Clone, Debug, Default)]
struct Member {
    log: Vec<Commit>,
    /// Commits of the log that reads see.
    applied: usize,
    items: BTreeMap<String, String>,
    /// Term that it leads or follows.
    term: u64,
    leads: bool,
    /// When another member was promoted over it.
    deposed_at: Option<Time>,
}

impl Group {
    /// A group whose first member leads and whose replicas apply commits `lag` late.
    pub fn new(ids: &[String], lag: Span) -> Group {
        let member = |(index, id): (usize, &String)| {
            (id.clone(), Member { term: 1, leads: index == 0, ..Member::default() })
        };
        let members = ids.iter().enumerate().map(member).collect();
        Group { members, term: 1, lag, parted: false, lost: Vec::new() }
    }

    /// Sets how late replicas apply commits from now on.
    pub fn set_lag(&mut self, lag: Span) {
        self.lag = lag;
    }

    /// Sets whether replaced primaries hear of nothing, as when they are cut off.
    pub fn set_parted(&mut self, now: Time, parted: bool) {
        self.parted = parted;
        for member in self.members.values_mut().filter(|member| member.deposed_at.is_some()) {
            member.deposed_at = Some(now);
        }
    }

    /// The member that leads the newest term.
    pub fn primary(&self) -> &str {
        let mut members = self.members.iter();
        let newest = members.find(|(_, member)| member.leads && member.term == self.term);
        newest.map_or("", |(id, _)| id)
    }

    /// Commits of the newest primary's log, in order.
    pub fn commits(&self) -> &[Commit] {
        self.members.get(self.primary()).map_or(&[], |member| &member.log)
    }

    /// Commits that changes of primary have cut off.
    pub fn lost(&self) -> &[Commit] {
        &self.lost
    }

    /// Whether a member takes itself for the primary.
    pub fn leads(&self, id: &str) -> bool {
        self.members[id].leads
    }

    /// Term that a member leads or follows.
    pub fn term(&self, id: &str) -> u64 {
        self.members[id].term
    }

    /// End of what a member has received.
    pub fn received(&self, id: &str) -> Position {
        end(&self.members[id].log)
    }

    /// End of what reads on a member see.
    pub fn position(&self, id: &str) -> Position {
        let member = &self.members[id];
        end(&member.log[..member.applied])
    }

    /// Value of an item as a member sees it.
    pub fn read(&self, id: &str, item: &str) -> Option<&str> {
        self.members[id].items.get(item).map(String::as_str)
    }

    /// Whether a member may run a statement that needs `after`, or that writes.
    pub fn check(&self, id: &str, after: Option<Position>, writes: bool) -> Result<(), Refusal> {
        if writes && !self.leads(id) {
            return Err(Refusal::ReadOnly);
        }
        let holds = after.is_none_or(|after| self.position(id) >= after);
        if holds { Ok(()) } else { Err(Refusal::Lagging) }
    }

    /// Commits writes at a member that leads, and hands them to the replicas of its term.
    pub fn commit(
        &mut self,
        now: Time,
        id: &str,
        request: &str,
        writes: Vec<(String, String)>,
    ) -> Result<(), Refusal> {
        self.check(id, None, true)?;
        let (term, index) = (self.term(id), self.received(id).index + 1);
        let position = Position::new(term, index);
        let commit = Commit { position, at: now, request: request.to_owned(), writes };
        for (name, member) in &mut self.members {
            let own = name == id;
            if own || (!member.leads && member.term == term) {
                member.log.push(commit.clone());
            }
            if own {
                member.apply_all();
            }
        }
        Ok(())
    }

    /// Makes a member lead the next term with what it has received.
    pub fn promote(&mut self, now: Time, id: &str) {
        if self.primary() == id || !self.members.contains_key(id) {
            return;
        }
        self.term += 1;
        let term = self.term;
        for (name, member) in &mut self.members {
            if name == id {
                (member.leads, member.term, member.deposed_at) = (true, term, None);
                member.apply_all();
            } else if member.leads {
                member.deposed_at.get_or_insert(now);
            }
        }
        let log = self.members[id].log.clone();
        for (name, member) in &mut self.members {
            if name != id && !member.leads {
                member.follow(term, &log);
            }
        }
    }

    /// Makes a member that leads a lower term a replica.
    pub fn step_down(&mut self, id: &str, term: u64) {
        let (log, newest) = (self.commits().to_vec(), self.term);
        let Some(member) = self.members.get_mut(id) else { return };
        if !member.leads || member.term >= term {
            return;
        }
        member.leads = false;
        if member.deposed_at.take().is_some() {
            self.lost.extend(member.follow(newest, &log));
        }
    }

    /// Lets time pass: replicas apply what they have received, and replaced primaries
    /// hear of the new one.
    pub fn advance(&mut self, now: Time) {
        let (log, newest) = (self.commits().to_vec(), self.term);
        let (lag, parted) = (self.lag, self.parted);
        for member in self.members.values_mut() {
            let hears = |at: Time| !parted && now.since(at) >= HEARS_AFTER;
            if member.deposed_at.is_some_and(hears) {
                (member.leads, member.deposed_at) = (false, None);
                self.lost.extend(member.follow(newest, &log));
            }
            if !member.leads {
                member.apply_until(|commit| commit.at + lag <= now);
            }
        }
    }
}

impl Member {
    /// Takes over a primary's log; what it held beyond it.
    fn follow(&mut self, term: u64, log: &[Commit]) -> Vec<Commit> {
        let common = self.log.iter().zip(log).take_while(|(own, other)| own == other).count();
        let lost = self.log.split_off(common);
        self.log.extend_from_slice(&log[common..]);
        self.term = term;
        if self.applied > common {
            (self.applied, self.items) = (0, BTreeMap::new());
            self.apply_until(|commit| commit.position <= end(&log[..common]));
        }
        lost
    }

    fn apply_all(&mut self) {
        self.apply_until(|_| true);
    }

    fn apply_until(&mut self, ripe: impl Fn(&Commit) -> bool) {
        while let Some(commit) = self.log.get(self.applied).filter(|commit| ripe(commit)) {
            self.items.extend(commit.writes.iter().cloned());
            self.applied += 1;
        }
    }
}

/// Position of the last commit; the first term without any counts as position 1/0.
fn end(log: &[Commit]) -> Position {
    log.last().map_or(Position::new(1, 0), |commit| commit.position)
}
