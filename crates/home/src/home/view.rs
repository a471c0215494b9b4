use admission::Lane;
use base::{MemberId, OrganisationId, Position, Span, Term, Time};
use routing::{Choice, Member};
use table::{Policy, RowKey};

use crate::{coverage::Coverage, home::Home};

/// Read-only access to the state, for reports and for the daemon.
impl Home {
    /// The current term and its primary, which is `None` while it is being replaced.
    pub fn current_primary(&self) -> (Term, Option<&MemberId>) {
        let primary = self.members.primary().map(|index| &self.members.get(index).id);
        (self.members.term(), primary)
    }

    /// State of the members as known to this home.
    pub fn members(&self) -> &[Member] {
        self.members.as_slice()
    }

    /// Whether a member answers and is not ejected after failures.
    pub fn is_usable(&self, now: Time, member: &MemberId) -> bool {
        let index = self.members.index(member);
        index.is_some_and(|index| self.members.get(index).health.is_usable(now, self.cfg.patience))
    }

    /// Time since the last answer of a member; zero if there was none.
    pub fn time_since_answer(&self, now: Time, member: &MemberId) -> Span {
        let index = self.members.index(member);
        let seen = index.and_then(|index| self.members.get(index).health.last_seen());
        seen.map_or(Span::ZERO, |seen| now.since(seen))
    }

    /// Explains the current choice of member for reads and writes of a name and rank, as
    /// lines of text for operators.
    pub fn explain(&self, now: Time, key: &RowKey, policy: &Policy) -> Vec<String> {
        let write = self.describe(self.members.choose_primary(now));
        let covering = policy.age.and_then(|age| self.history.position_covering(now, age));
        let required = covering.map(|position| position.max(self.write_positions.floor()));
        let read = match required {
            None => format!("primary: current data is asked for; {write}"),
            Some(required) => {
                let choice = self.members.choose_replica(now, required);
                format!("{} (must see {required})", self.describe(choice))
            }
        };
        let wait =
            |lane| self.scheduler.expected_wait(OrganisationId::SHARED, key, lane).as_millis();
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

    /// Number of requests that the scheduler has queued.
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Whether no connection is open and no commit waits, so that a retired home can be
    /// dropped.
    pub fn is_empty(&self) -> bool {
        let open: u32 = self.members.as_slice().iter().map(|member| member.open).sum();
        open == 0 && self.pending_commits.is_empty()
    }

    /// Log position that reads of every caller must observe at least.
    pub fn floor(&self) -> Position {
        self.write_positions.floor()
    }

    /// Whether the known write positions cover every write, so that a read without a token
    /// does not have to wait for a probe round.
    pub fn has_complete_write_positions(&self) -> bool {
        matches!(self.coverage, Coverage::Complete { .. })
    }
}
