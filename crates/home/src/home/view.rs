use admission::Lane;
use base::{MemberId, Position, Span, Term, Time};
use routing::{Choice, Member};
use table::{Policy, RowKey};

use crate::{home::Home, memory::Memory};

/// What the home tells of itself; nothing here changes it.
impl Home {
    /// The term and primary in force, the latter `None` during a change.
    pub fn current_primary(&self) -> (Term, Option<&MemberId>) {
        let primary = self.members.primary().map(|index| &self.members.get(index).id);
        (self.members.term(), primary)
    }

    /// The members as the home sees them.
    pub fn members(&self) -> &[Member] {
        self.members.as_slice()
    }

    /// Whether a member answers and is not kept out.
    pub fn is_usable(&self, now: Time, member: &MemberId) -> bool {
        let index = self.members.index(member);
        index.is_some_and(|index| self.members.get(index).health.is_usable(now, self.cfg.patience))
    }

    /// Time since a member last answered; zero if it never has.
    pub fn time_since_answer(&self, now: Time, member: &MemberId) -> Span {
        let index = self.members.index(member);
        let seen = index.and_then(|index| self.members.get(index).health.last_seen());
        seen.map_or(Span::ZERO, |seen| now.since(seen))
    }

    /// What would be chosen now for a name and rank, and why, a line for each
    /// kind of request.
    pub fn explain(&self, now: Time, key: &RowKey, policy: &Policy) -> Vec<String> {
        let write = self.describe(self.members.choose_primary(now));
        let covering = policy.age.and_then(|age| self.history.position_covering(now, age));
        let required = covering.map(|position| position.max(self.marks.floor()));
        let read = match required {
            None => format!("primary: current data is asked for; {write}"),
            Some(required) => {
                let choice = self.members.choose_replica(now, required);
                format!("{} (must see {required})", self.describe(choice))
            }
        };
        let wait = |lane| self.scheduler.expected_wait(key, lane).as_millis();
        vec![
            format!("group {} term {}", self.cfg.group, self.members.term()),
            format!("write: {write}; expected wait {} ms", wait(Lane::Primary)),
            format!("read: {read}; expected wait {} ms", wait(Lane::Replica)),
            format!("limits: {policy:?}"),
        ]
    }

    fn describe(&self, choice: Choice) -> String {
        match choice {
            Choice::Member(index, reason) => {
                format!("{}: {}", self.members.get(index).id, reason.as_str())
            }
            Choice::Busy => "waits: every eligible member is busy".to_owned(),
            Choice::NoneEligible(reason) => format!("primary or waits: {}", reason.as_str()),
        }
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Whether nothing is left to be done: no connection is open, no commit
    /// waits.
    pub fn is_empty(&self) -> bool {
        let open: u32 = self.members.as_slice().iter().map(|member| member.open).sum();
        open == 0 && self.acks.is_empty()
    }

    /// Position that every read must reach, whoever asks.
    pub fn floor(&self) -> Position {
        self.marks.floor()
    }

    /// Whether the callers' marks can be relied on.
    pub fn has_complete_write_positions(&self) -> bool {
        matches!(self.memory, Memory::Ready { .. })
    }
}
