use std::collections::BTreeMap;

use base::{Position, Span, Time};

use super::commit::Commit;

/// How long a replaced primary still acts as one. The platform does not promise that it learns
/// of its successor at once.
const DEMOTION_DELAY: Span = Span::from_millis(1_000);

/// In-memory model of a database group: members, each with its own log, replication and
/// failover. It uses neither sockets nor the clock; callers pass the time.
#[derive(Debug)]
pub struct Group {
    members: BTreeMap<String, Member>,
    term: u64,
    lag: Span,
    /// Number of replicas that must receive a commit before it is acknowledged.
    sync_replicas: usize,
    /// Whether replaced primaries are cut off from the group.
    partitioned: bool,
    /// Commits that only a replaced primary had and that it dropped when it became a replica.
    lost: Vec<Commit>,
}

/// Why a member rejects a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It writes and the member is not the primary.
    ReadOnly,
    /// The member has not applied the required position yet.
    Lagging,
    /// The member is stopped. Its connections end without an answer.
    Stopped,
    /// Too few replicas have received the commit, so that it is not acknowledged.
    Unconfirmed,
}

#[derive(Clone, Debug, Default)]
struct Member {
    log: Vec<Commit>,
    /// Number of commits in `log` that are applied, and so visible to reads.
    applied: usize,
    items: BTreeMap<String, String>,
    /// Term in which it is primary, or term of the primary that it follows.
    term: u64,
    is_primary: bool,
    /// When another member was promoted, while this one still acts as primary.
    replaced_at: Option<Time>,
    /// Whether the member is stopped. It keeps its log.
    stopped: bool,
    /// Whether it receives nothing from the primary.
    deaf: bool,
    /// Whether it has received nothing for a while and has not caught up since.
    behind: bool,
}

impl Group {
    /// Creates a group whose first member is primary and whose replicas apply commits after `lag`.
    pub fn new(ids: &[String], lag: Span) -> Group {
        let member = |(index, id): (usize, &String)| {
            (id.clone(), Member { term: 1, is_primary: index == 0, ..Member::default() })
        };
        let members = ids.iter().enumerate().map(member).collect();
        Group { members, term: 1, lag, sync_replicas: 0, partitioned: false, lost: Vec::new() }
    }

    /// Sets the number of replicas that must receive a commit before it is acknowledged.
    pub fn with_sync_replicas(self, sync_replicas: usize) -> Group {
        Group { sync_replicas, ..self }
    }

    /// Sets the time between a commit and its application on replicas.
    pub fn set_lag(&mut self, lag: Span) {
        self.lag = lag;
    }

    /// Sets whether a member is stopped. A stopped member refuses everything.
    pub fn set_stopped(&mut self, id: &str, stopped: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.stopped = stopped;
        }
    }

    /// Sets whether a replica receives nothing from the primary. Afterwards it catches up as soon as a
    /// primary runs.
    pub fn set_deaf(&mut self, id: &str, deaf: bool) {
        let Some(member) = self.members.get_mut(id) else { return };
        member.deaf = deaf;
        member.behind |= deaf;
        self.catch_up();
    }

    /// Lets the replicas that have received nothing for a while follow the primary, if it runs.
    fn catch_up(&mut self) {
        let is_due = |member: &Member| member.behind && !member.deaf && !member.is_primary;
        let primary = self.members.get(self.primary());
        if !self.members.values().any(is_due) || primary.is_none_or(|primary| primary.stopped) {
            return;
        }
        let (log, term) = (self.commits().to_vec(), self.term);
        for member in self.members.values_mut().filter(|member| is_due(member)) {
            member.follow(term, &log);
            member.behind = false;
        }
    }

    /// Whether a member is stopped.
    pub fn is_stopped(&self, id: &str) -> bool {
        self.members[id].stopped
    }

    /// Sets whether replaced primaries are cut off from the group: while they are, they do not
    /// learn of their successor and go on as primaries. Restarts their demotion delay.
    pub fn set_partitioned(&mut self, now: Time, partitioned: bool) {
        self.partitioned = partitioned;
        for member in self.members.values_mut().filter(|member| member.replaced_at.is_some()) {
            member.replaced_at = Some(now);
        }
    }

    /// Cuts replaced primaries off from the group and lets `id` act as one of the first term.
    pub fn set_acting_primary(&mut self, now: Time, id: &str) {
        self.partitioned = true;
        let Some(member) = self.members.get_mut(id) else { return };
        (member.is_primary, member.term, member.replaced_at) = (true, 1, Some(now));
    }

    /// Name of the primary of the newest term.
    pub fn primary(&self) -> &str {
        let mut members = self.members.iter();
        let newest = members.find(|(_, member)| member.is_primary && member.term == self.term);
        newest.map_or("", |(id, _)| id)
    }

    /// Number of promotions so far.
    pub fn promotions(&self) -> u64 {
        self.term - 1
    }

    /// Log of the newest term's primary, oldest commit first.
    pub fn commits(&self) -> &[Commit] {
        self.members.get(self.primary()).map_or(&[], |member| &member.log)
    }

    /// Commits that failovers have discarded, because only the replaced primary had them.
    pub fn lost(&self) -> &[Commit] {
        &self.lost
    }

    /// Whether a member acts as primary. A replaced primary does so until it is demoted.
    pub fn is_primary(&self, id: &str) -> bool {
        self.members[id].is_primary
    }

    /// Term in which a member is primary, or term of the primary that it follows.
    pub fn term(&self, id: &str) -> u64 {
        self.members[id].term
    }

    /// End of a member's log, including commits that it has not applied yet.
    pub fn received_position(&self, id: &str) -> Position {
        end(&self.members[id].log)
    }

    /// Position of the last commit that a member has applied and that its reads see.
    pub fn position(&self, id: &str) -> Position {
        let member = &self.members[id];
        end(&member.log[..member.applied])
    }

    /// Value of an item in the state that a member has applied; `None` if it was never written.
    pub fn read(&self, id: &str, item: &str) -> Option<&str> {
        self.members[id].items.get(item).map(String::as_str)
    }

    /// Checks that a member may run a statement that must see position `after`, or that writes.
    pub fn check(&self, id: &str, after: Option<Position>, writes: bool) -> Result<(), Refusal> {
        if self.is_stopped(id) {
            return Err(Refusal::Stopped);
        }
        if writes && !self.is_primary(id) {
            return Err(Refusal::ReadOnly);
        }
        let caught_up = after.is_none_or(|after| self.position(id) >= after);
        if caught_up { Ok(()) } else { Err(Refusal::Lagging) }
    }

    /// Commits writes on a primary and replicates them to the replicas of its term.
    pub fn commit(
        &mut self,
        now: Time,
        id: &str,
        request: &str,
        writes: Vec<(String, String)>,
    ) -> Result<(), Refusal> {
        self.check(id, None, true)?;
        self.catch_up();
        let (term, index) = (self.term(id), self.received_position(id).index + 1);
        let position = Position::new(term, index);
        let commit = Commit { position, committed_at: now, request: request.to_owned(), writes };
        let mut confirmed = 0;
        for (name, member) in &mut self.members {
            let own = name == id;
            let receives = !member.is_primary && member.term == term && !member.deaf;
            if own || receives {
                member.log.push(commit.clone());
            }
            if own {
                member.apply_all();
            } else if receives && !member.stopped {
                confirmed += 1;
            }
        }
        if confirmed < self.sync_replicas { Err(Refusal::Unconfirmed) } else { Ok(()) }
    }

    /// Makes a member primary of the next term, with the log that it has received.
    pub fn promote(&mut self, now: Time, id: &str) {
        if self.primary() == id || !self.members.contains_key(id) {
            return;
        }
        self.term += 1;
        let term = self.term;
        for (name, member) in &mut self.members {
            if name == id {
                (member.is_primary, member.term, member.replaced_at) = (true, term, None);
                member.apply_all();
            } else if member.is_primary {
                member.replaced_at.get_or_insert(now);
            }
        }
        let log = self.members[id].log.clone();
        for (name, member) in &mut self.members {
            if name != id && !member.is_primary && !member.deaf {
                member.follow(term, &log);
            }
        }
    }

    /// Demotes a member that is primary of a term lower than `term`.
    pub fn step_down(&mut self, id: &str, term: u64) {
        let (log, newest) = (self.commits().to_vec(), self.term);
        let Some(member) = self.members.get_mut(id) else { return };
        if !member.is_primary || member.term >= term {
            return;
        }
        member.is_primary = false;
        if member.replaced_at.take().is_some() {
            self.lost.extend(member.follow(newest, &log));
        }
    }

    /// Advances the model to `now`: replicas apply the commits whose lag has passed, and replaced
    /// primaries are demoted after their delay.
    pub fn advance(&mut self, now: Time) {
        self.catch_up();
        let (lag, partitioned) = (self.lag, self.partitioned);
        let is_due = |at: Time| !partitioned && now.since(at) >= DEMOTION_DELAY;
        if self.members.values().any(|member| member.replaced_at.is_some_and(is_due)) {
            // Copied only here: a log grows for as long as the stand-in runs.
            let (log, newest) = (self.commits().to_vec(), self.term);
            let due = self.members.values_mut();
            for member in due.filter(|member| member.replaced_at.is_some_and(is_due)) {
                (member.is_primary, member.replaced_at) = (false, None);
                self.lost.extend(member.follow(newest, &log));
            }
        }
        for member in self.members.values_mut().filter(|member| !member.is_primary) {
            member.apply_until(|commit| commit.committed_at + lag <= now);
        }
    }
}

impl Member {
    /// Makes the log equal to a primary's. Returns the commits that the primary does not have.
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

    fn apply_until(&mut self, is_due: impl Fn(&Commit) -> bool) {
        while let Some(commit) = self.log.get(self.applied).filter(|commit| is_due(commit)) {
            self.items.extend(commit.writes.iter().cloned());
            self.applied += 1;
        }
    }
}

/// Position of the last commit. An empty log ends at 1/0, index 0 of the first term.
fn end(log: &[Commit]) -> Position {
    log.last().map_or(Position::new(1, 0), |commit| commit.position)
}
