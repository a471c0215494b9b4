use std::cmp::Reverse;

use base::{FastMap, Position, Span, Time};

use crate::{assessment::Assessment, records::PrimaryRecord};

/// How long to wait for the status of every candidate before one that answered is
/// chosen: a connection and an answer take some 20 ms.
const EXAMINE_FOR: Span = Span::from_millis(200);
/// How long a planned change waits for a replica to catch up with the old primary.
const CATCH_UP_FOR: Span = Span::from_millis(800);
/// How long a promotion may take before another candidate is tried.
const PROMOTE_FOR: Span = Span::from_millis(2_500);
/// How long a candidate is left out after the platform declined it.
const DECLINED_FOR: Span = Span::from_millis(1_000);
/// Pause between two steps of the same kind, so that answers have time to come.
const STEP_AGAIN: Span = Span::from_millis(60);

/// A change of primary of one group, as its driver sees it.
#[derive(Debug, Default)]
pub struct Failover {
    phase: Phase,
    declined: FastMap<String, Time>,
    last_step: Option<Time>,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Idle,
    /// The daemons have stopped; the candidates are asked for their logs.
    Examining { since: Time, stepped_down: bool },
    /// The platform was asked to promote.
    Promoting { to: String, since: Time, accepted: bool },
}

/// What the driver knows.
#[derive(Debug)]
pub struct FailoverView<'a> {
    /// The record of the group; `None` if there is none yet.
    pub record: Option<&'a PrimaryRecord>,
    /// Whether no daemon uses the group's primary any more.
    pub primary_unused: bool,
    /// Whether the duty is held for long enough to make calls.
    pub may_promote: bool,
    /// The members.
    pub members: &'a [Candidate],
    /// What the daemons think of the primary.
    pub assessment: Assessment,
    /// Replicas that must hold a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A member that may lead.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The member.
    pub id: String,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether it says of itself that it leads.
    pub claims_primary: bool,
    /// Its last status.
    pub status: Option<CandidateStatus>,
}

/// Answer of a member that was asked for its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CandidateStatus {
    /// When it was asked.
    pub asked_at: Time,
    /// Whether it leads.
    pub primary: bool,
    /// End of the log that it has received.
    pub received: Position,
    /// Term that it leads or follows.
    pub term: u64,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record, if neither it nor the duty has changed.
    Write {
        /// What to write.
        record: PrimaryRecord,
        /// Why, for the log.
        reason: &'static str,
    },
    /// Ask every member for its status.
    QueryStatus,
    /// Make a member that leads a lower term a replica.
    StepDown {
        /// The member.
        member: String,
        /// The term.
        term: u64,
    },
    /// Have the platform promote a member.
    Promote {
        /// The member.
        member: String,
    },
}

/// PromotionOutcome of a promotion call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionOutcome {
    /// The member leads shortly.
    Accepted,
    /// The member cannot lead.
    Declined,
    /// Nobody knows.
    Unknown,
}

impl Failover {
    /// Forgets a change under way, as when the duty is lost.
    pub fn reset(&mut self) {
        *self = Failover::default();
    }

    /// Notes the outcome of a promotion call.
    pub fn promoted(&mut self, now: Time, member: &str, outcome: PromotionOutcome) {
        let Phase::Promoting { to, since, accepted } = &mut self.phase else { return };
        if to != member {
            return;
        }
        match outcome {
            PromotionOutcome::Accepted if !*accepted => {
                *accepted = true;
                *since = now;
            }
            PromotionOutcome::Accepted | PromotionOutcome::Unknown => {}
            PromotionOutcome::Declined => {
                self.declined.insert(member.to_owned(), now + DECLINED_FOR);
                self.phase = Phase::Examining { since: now, stepped_down: false };
            }
        }
    }

    /// Decides on the next step.
    pub fn tick(&mut self, now: Time, view: &FailoverView<'_>) -> Option<Action> {
        let Some(record) = view.record else { return first_record(view.members) };
        if !record.changing {
            self.phase = Phase::Idle;
            return begin(record, view);
        }
        if !view.primary_unused || !view.may_promote || self.stepped_lately(now) {
            return None;
        }
        let action = self.step(now, record, view);
        if action.is_some() {
            self.last_step = Some(now);
        }
        action
    }

    fn stepped_lately(&self, now: Time) -> bool {
        self.last_step.is_some_and(|at| now.since(at) < STEP_AGAIN)
    }

    fn step(
        &mut self,
        now: Time,
        record: &PrimaryRecord,
        view: &FailoverView<'_>,
    ) -> Option<Action> {
        match &mut self.phase {
            Phase::Idle => {
                self.phase = Phase::Examining { since: now, stepped_down: false };
                Some(Action::QueryStatus)
            }
            Phase::Examining { since, stepped_down } => {
                let since = *since;
                let old = view.members.iter().find(|member| member.id == record.primary);
                let old = old.and_then(|member| fresh(member, since));
                if let Some(old) = old
                    && old.primary
                    && !*stepped_down
                {
                    *stepped_down = true;
                    let (member, term) = (record.primary.clone(), old.term + 1);
                    return Some(Action::StepDown { member, term });
                }
                let Some(chosen) = self.choose(now, since, record, view) else {
                    return Some(Action::QueryStatus);
                };
                self.phase = Phase::Promoting { to: chosen.clone(), since: now, accepted: false };
                Some(Action::Promote { member: chosen })
            }
            Phase::Promoting { to, since, accepted } => {
                let chosen = view.members.iter().find(|member| member.id == *to);
                let leads = chosen
                    .and_then(|member| member.status)
                    .is_some_and(|status| status.primary && status.asked_at >= *since);
                if *accepted && leads {
                    let record =
                        PrimaryRecord { primary: to.clone(), changing: false, planned: false };
                    return Some(Action::Write { record, reason: "the promoted member leads" });
                }
                if now.since(*since) >= PROMOTE_FOR {
                    self.declined.insert(to.clone(), now + DECLINED_FOR);
                    self.phase = Phase::Examining { since: now, stepped_down: false };
                    return Some(Action::QueryStatus);
                }
                if *accepted {
                    return Some(Action::QueryStatus);
                }
                Some(Action::Promote { member: to.clone() })
            }
        }
    }

    /// The furthest candidate, once enough is known.
    fn choose(
        &self,
        now: Time,
        since: Time,
        record: &PrimaryRecord,
        view: &FailoverView<'_>,
    ) -> Option<String> {
        let able = view.members.iter().filter(|member| {
            let declined = self.declined.get(&member.id).is_some_and(|until| *until > now);
            !member.leaving && !declined
        });
        let able: Vec<_> = able.collect();
        let others: Vec<_> = able.iter().filter(|member| member.id != record.primary).collect();
        let known = others.iter().filter(|member| fresh(member, since).is_some()).count();
        let waited = now.since(since);
        let enough = known == others.len() || (waited >= EXAMINE_FOR && view.sync_replicas == 0);
        if !enough && waited < CATCH_UP_FOR {
            return None;
        }
        let best = able
            .iter()
            .filter_map(|member| Some((member, fresh(member, since)?)))
            .max_by_key(|(member, status)| {
                (status.received, member.id != record.primary, Reverse(&member.id))
            })?;
        let end = view.members.iter().find(|member| member.id == record.primary);
        let end = end.and_then(|member| fresh(member, since)).map(|status| status.received);
        if record.planned && end.is_some_and(|end| best.1.received < end) && waited < CATCH_UP_FOR {
            return None;
        }
        Some(best.0.id.clone())
    }
}

/// A status that was asked for after `since`.
fn fresh(member: &Candidate, since: Time) -> Option<CandidateStatus> {
    member.status.filter(|status| status.asked_at >= since)
}

/// The first record names the member that leads from the start.
fn first_record(members: &[Candidate]) -> Option<Action> {
    let mut primaries = members.iter().filter(|member| member.claims_primary);
    let (Some(primary), None) = (primaries.next(), primaries.next()) else { return None };
    let record = PrimaryRecord { primary: primary.id.clone(), changing: false, planned: false };
    Some(Action::Write { record, reason: "first record: the one member that leads" })
}

fn begin(record: &PrimaryRecord, view: &FailoverView<'_>) -> Option<Action> {
    let primary = view.members.iter().find(|member| member.id == record.primary);
    let other = view.members.iter().any(|member| member.id != record.primary && !member.leaving);
    if !other {
        return None;
    }
    let (planned, reason) = match (view.assessment, primary) {
        (Assessment::Replace, _) => (false, "the primary does not answer"),
        (Assessment::Keep, Some(primary)) if primary.leaving => (true, "the primary is leaving"),
        (Assessment::Keep, _) => return None,
    };
    let record = PrimaryRecord { primary: record.primary.clone(), changing: true, planned };
    Some(Action::Write { record, reason })
}
