use std::{cmp::Reverse, net::SocketAddr};

use base::{FastMap, Position, Span, Time};

use crate::{
    acknowledged_end::KnownLogs, assessment::Assessment, promotion_calls::PromotionCalls,
    records::PrimaryRecord,
};

/// If commits need no replica, time to wait for the statuses of the candidates other than the
/// old primary: several times the 20 ms that a connection and an answer take. When it has
/// passed, one of the members that answered is chosen.
const STATUS_TIMEOUT: Span = Span::from_millis(200);
/// Time that a planned failover waits for a replica to catch up with the old primary, and
/// that a failover of a primary in doubt waits for missing statuses.
const CATCH_UP_TIMEOUT: Span = Span::from_millis(800);
/// Time that a promotion may take before the members are asked again which of them can be promoted.
const PROMOTION_TIMEOUT: Span = Span::from_millis(2_500);
/// Time for which a candidate is excluded after the platform declined its promotion.
const EXCLUDED_FOR: Span = Span::from_millis(1_000);
/// Time between two planned failovers if the first one has kept the leaving primary, because no
/// replica had all acknowledged commits.
const PLANNED_RETRY_DELAY: Span = Span::from_millis(3_000);
/// How long the members' own entries must contradict the record before the members are asked, and
/// time between two such questions. Members report a change of role at once.
const CONTRADICTION_TIMEOUT: Span = Span::from_millis(2_000);
/// How long the entry of a primary must have been missing before it counts as gone: entries that
/// lapse during an outage of the store are back within two seconds of its end.
const ENTRY_RETURN_TIMEOUT: Span = Span::from_millis(2_300);
/// Time that members have to answer before they are asked again who the primary is.
const IDENTIFICATION_TIMEOUT: Span = Span::from_millis(500);
/// Minimum time between two actions of a failover, so that answers can arrive in between.
const ACTION_INTERVAL: Span = Span::from_millis(60);

/// State of one group's failover at the daemon that holds the failover lease.
#[derive(Debug, Default)]
pub struct Failover {
    phase: Phase,
    /// Members that are not chosen again before the given time.
    excluded: FastMap<String, Time>,
    last_action: Option<Time>,
    /// Since when the primary has not been among the members.
    missing_since: Option<Time>,
    /// Whether the platform has been asked to promote a member since the failover started. It may
    /// do so after the members have shown another primary.
    promotion_requested: bool,
    /// Since when the members' entries have named another primary than the record, or when the
    /// members were last asked about it.
    contradicted_since: Option<Time>,
    /// Earliest time of the next planned failover.
    planned_retry_at: Option<Time>,
    /// The calls that may still take effect, whichever failover they were made in.
    calls: PromotionCalls,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Idle,
    /// No daemon uses the old primary any more; the members are asked for their status.
    /// `step_down_sent` is whether the old primary has been ordered to step down.
    QueryingStatus { since: Time, step_down_sent: bool },
    /// The platform has been asked to promote a member.
    Promoting { to: String, since: Time, accepted: bool },
}

/// What the holder of the failover lease knows of a group.
#[derive(Debug)]
pub struct FailoverView<'a> {
    /// Stored record of the group's primary; `None` if there is none yet.
    pub record: Option<&'a PrimaryRecord>,
    /// Whether the store may have lost a later record.
    pub is_outdated: bool,
    /// Whether no daemon uses the group's primary any more, because a failover has started.
    pub primary_unused: bool,
    /// Whether this daemon has held the lease for long enough to carry out failovers. Until
    /// then it neither makes failover calls nor sends status queries or step-down orders.
    pub may_promote: bool,
    /// Listed members of the group, the primary included.
    pub members: &'a [Candidate],
    /// Latest time at which the list is known to have been complete.
    pub members_as_of: Time,
    /// Conclusion from the daemons' observations of the primary.
    pub assessment: Assessment,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Members that are not listed, but whose logs may hold acknowledged commits.
    pub unlisted: &'a [Candidate],
    /// Number of further such members; `None` if it is not known.
    pub unnamed: Option<usize>,
}

/// A member of a group, the current primary included.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Identifier of the member.
    pub id: String,
    /// Address at which it accepts connections.
    pub addr: SocketAddr,
    /// Whether it is draining and about to stop.
    pub leaving: bool,
    /// Whether its own entry at the platform says that it is primary.
    pub registers_as_primary: bool,
    /// Its last status; `None` if it has answered no status query.
    pub status: Option<CandidateStatus>,
}

/// Answer of a member to a status query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CandidateStatus {
    /// When the query was sent.
    pub asked_at: Time,
    /// Whether the member is primary.
    pub primary: bool,
    /// End of the log that the member has received.
    pub received: Position,
    /// Term under which the member is primary or replicates.
    pub term: u64,
}

/// Next action of a failover, which the caller carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the group's primary record, if neither the record nor the lease has changed.
    Write {
        /// Record to write.
        record: PrimaryRecord,
        /// Reason for the log.
        reason: &'static str,
    },
    /// Ask every member for its status.
    QueryStatus,
    /// Order the old primary to step down; no effect unless its term is lower than `term`.
    StepDown {
        /// The old primary.
        member: String,
        /// Term that supersedes the old primary's.
        term: u64,
    },
    /// Make the failover call: ask the platform to promote a member.
    Promote {
        /// The chosen member.
        member: String,
    },
}

/// Outcome of a failover call, the request to the platform to promote a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionOutcome {
    /// The platform will make the member primary shortly.
    Accepted,
    /// The platform will not make the member primary now; a later call may be accepted.
    Declined,
    /// The platform may make the member primary at any time: it may have received the call, and
    /// has not answered it.
    Unknown,
    /// The platform has not received the call and never will, or has refused to process it.
    NotMade,
}

impl<'a> FailoverView<'a> {
    /// The members whose logs may hold acknowledged commits, as far as they are known by name.
    fn all_members(&self) -> impl Iterator<Item = &'a Candidate> {
        self.members.iter().chain(self.unlisted)
    }
}

impl Failover {
    /// Discards the progress of a failover, but not the knowledge of calls that may still take
    /// effect.
    pub fn reset(&mut self) {
        *self = Failover { calls: std::mem::take(&mut self.calls), ..Failover::default() };
    }

    /// Records a failover call that an earlier holder of the lease made for `member`, when this
    /// daemon takes the lease.
    pub fn inherit_call(&mut self, now: Time, member: &str) {
        self.calls.inherit(now, member);
    }

    /// Records the outcome of a failover call.
    pub fn record_outcome(&mut self, now: Time, member: &str, outcome: PromotionOutcome) {
        self.calls.end(now, member, outcome);
        let Phase::Promoting { to, since, accepted } = &mut self.phase else { return };
        if to != member {
            return;
        }
        match outcome {
            PromotionOutcome::Accepted if !*accepted => {
                *accepted = true;
                *since = now;
            }
            PromotionOutcome::Accepted | PromotionOutcome::Unknown | PromotionOutcome::NotMade => {}
            PromotionOutcome::Declined => {
                self.excluded.insert(member.to_owned(), now + EXCLUDED_FOR);
                self.phase = Phase::QueryingStatus { since: now, step_down_sent: false };
            }
        }
    }

    /// Returns the next action, or `None` if there is nothing to do now.
    pub fn tick(&mut self, now: Time, view: &FailoverView<'_>) -> Option<Action> {
        if view.is_outdated {
            self.phase = Phase::Idle;
            self.promotion_requested = false;
            return start_in_doubt(view);
        }
        let Some(record) = view.record else { return first_record(view.members) };
        if !record.changing {
            self.phase = Phase::Idle;
            self.promotion_requested = false;
            return self.start_if_needed(now, record, view);
        }
        if !view.may_promote || self.acted_recently(now) {
            return None;
        }
        let action = if view.primary_unused {
            self.step(now, record, view)
        } else if record.in_doubt && !self.promotion_requested {
            self.identify_primary(now, view)
        } else {
            None
        };
        if action.is_some() {
            self.last_action = Some(now);
        }
        if let Some(Action::Promote { member }) = &action {
            self.promotion_requested = true;
            self.calls.begin(member);
        }
        action
    }

    fn acted_recently(&self, now: Time) -> bool {
        self.last_action.is_some_and(|at| now.since(at) < ACTION_INTERVAL)
    }

    /// Returns the write that starts a failover if the primary has failed, leaves or is gone.
    fn start_if_needed(
        &mut self,
        now: Time,
        record: &PrimaryRecord,
        view: &FailoverView<'_>,
    ) -> Option<Action> {
        let primary = view.members.iter().find(|member| member.id == record.primary);
        let missing_since = match primary {
            Some(_) => None,
            None => Some(self.missing_since.unwrap_or(now)),
        };
        self.missing_since = missing_since;
        let other = view.members.iter().any(|it| it.id != record.primary && !it.leaving);
        if !other {
            return None;
        }
        if let Some(action) = self.check_record(now, record, view) {
            return Some(action);
        }
        // The entry may have come back in the meantime: only a later list shows that it is missing.
        let is_gone =
            missing_since.is_some_and(|at| view.members_as_of >= at + ENTRY_RETURN_TIMEOUT);
        let (planned, reason) = match (view.assessment, primary) {
            (Assessment::Replace, _) => (false, "enough daemons find the primary failed"),
            // Another member can be promoted only once no call may promote this one again.
            (Assessment::Keep, Some(primary)) if self.calls.is_open(now, &primary.id) => {
                return None;
            }
            (Assessment::Keep, Some(primary))
                if primary.leaving && self.planned_retry_at.is_none_or(|at| now >= at) =>
            {
                (true, "the primary is leaving")
            }
            // No daemon has a connection to it, so none can find it failed.
            (Assessment::Keep, None) if is_gone => (false, "the primary's entry is gone"),
            (Assessment::Keep, _) => return None,
        };
        let record = PrimaryRecord {
            primary: record.primary.clone(),
            changing: true,
            planned,
            ..PrimaryRecord::default()
        };
        Some(Action::Write { record, reason })
    }

    /// Checks the record against the members if their own entries name another primary: the platform
    /// may have promoted it later than it can be expected to. Asks them first, since entries can be
    /// outdated, and starts a failover only if their answers contradict the record, too.
    fn check_record(
        &mut self,
        now: Time,
        record: &PrimaryRecord,
        view: &FailoverView<'_>,
    ) -> Option<Action> {
        let registers = |is_recorded: bool| {
            let mut members = view.members.iter();
            members.any(|it| (it.id == record.primary) == is_recorded && it.registers_as_primary)
        };
        if !view.may_promote || registers(true) || !registers(false) {
            self.contradicted_since = None;
            return None;
        }
        let since = *self.contradicted_since.get_or_insert(now);
        let shown = view.members.iter().filter_map(|it| Some((it, status_since(it, since)?)));
        let newest = shown.max_by_key(|(_, status)| (status.term, status.primary));
        if let (Some(recorded), Some((member, status))) =
            (primary_status(since, record, view), newest)
            && !recorded.primary
            && status.primary
            && member.id != record.primary
        {
            self.contradicted_since = None;
            let record = in_doubt_record(record.primary.clone());
            return Some(Action::Write { record, reason: "another member is primary" });
        }
        if now.since(since) < CONTRADICTION_TIMEOUT {
            return None;
        }
        self.contradicted_since = Some(now);
        Some(Action::QueryStatus)
    }

    /// Asks the members who the primary is. If they show it, nothing has to change, and no carrier
    /// has to stop using it.
    fn identify_primary(&mut self, now: Time, view: &FailoverView<'_>) -> Option<Action> {
        if let Phase::QueryingStatus { since, .. } = self.phase {
            if let Some(primary) = self.shown_primary(now, since, view) {
                return Some(confirmation(primary));
            }
            if now.since(since) < IDENTIFICATION_TIMEOUT {
                return None;
            }
        }
        self.phase = Phase::QueryingStatus { since: now, step_down_sent: false };
        Some(Action::QueryStatus)
    }

    /// The primary that all members show, unless a call may still promote another member.
    fn shown_primary<'a>(
        &self,
        now: Time,
        since: Time,
        view: &FailoverView<'a>,
    ) -> Option<&'a Candidate> {
        let primary = only_primary(since, view)?;
        self.calls.open(now).all(|member| member == primary.id).then_some(primary)
    }

    fn step(
        &mut self,
        now: Time,
        record: &PrimaryRecord,
        view: &FailoverView<'_>,
    ) -> Option<Action> {
        match &mut self.phase {
            Phase::Idle => {
                self.phase = Phase::QueryingStatus { since: now, step_down_sent: false };
                Some(Action::QueryStatus)
            }
            Phase::QueryingStatus { since, step_down_sent } => {
                let (since, step_down_sent) = (*since, *step_down_sent);
                if record.in_doubt
                    && !self.promotion_requested
                    && let Some(primary) = self.shown_primary(now, since, view)
                {
                    return Some(confirmation(primary));
                }
                if let Some(status) = primary_status(since, record, view)
                    && status.primary
                    && !record.in_doubt
                    && !step_down_sent
                {
                    self.phase = Phase::QueryingStatus { since, step_down_sent: true };
                    let (member, term) = (record.primary.clone(), status.term + 1);
                    return Some(Action::StepDown { member, term });
                }
                let Some(chosen) = self.next_candidate(now, since, record, view) else {
                    return Some(Action::QueryStatus);
                };
                self.phase = Phase::Promoting { to: chosen.clone(), since: now, accepted: false };
                Some(Action::Promote { member: chosen })
            }
            Phase::Promoting { to, since, accepted } => {
                let chosen = view.members.iter().find(|member| member.id == *to);
                let is_primary = chosen
                    .and_then(|member| member.status)
                    .is_some_and(|status| status.primary && status.asked_at >= *since);
                if *accepted && is_primary {
                    self.calls.take_effect(to);
                    let is_kept = record.planned && *to == record.primary;
                    self.planned_retry_at = is_kept.then(|| now + PLANNED_RETRY_DELAY);
                    let record = PrimaryRecord { primary: to.clone(), ..PrimaryRecord::default() };
                    return Some(Action::Write {
                        record,
                        reason: "the promoted member is primary",
                    });
                }
                if now.since(*since) >= PROMOTION_TIMEOUT {
                    self.phase = Phase::QueryingStatus { since: now, step_down_sent: false };
                    return Some(Action::QueryStatus);
                }
                if *accepted {
                    return Some(Action::QueryStatus);
                }
                Some(Action::Promote { member: to.clone() })
            }
        }
    }

    /// Returns the member to promote; `None` while there is none. As long as a call may still take
    /// effect, only the member that it names can be promoted.
    fn next_candidate(
        &self,
        now: Time,
        since: Time,
        record: &PrimaryRecord,
        view: &FailoverView<'_>,
    ) -> Option<String> {
        let open: Vec<_> = self.calls.open(now).collect();
        let [named] = open.as_slice() else {
            return if open.is_empty() {
                self.choose_candidate(now, since, record, view)
            } else {
                None
            };
        };
        let member = view.members.iter().find(|member| member.id == *named)?;
        let status = status_since(member, since)?;
        let may_be_promoted = status.received >= acknowledged_end(since, record, view)?
            && !self.is_excluded(now, member);
        may_be_promoted.then(|| member.id.clone())
    }

    fn is_excluded(&self, now: Time, member: &Candidate) -> bool {
        self.excluded.get(&member.id).is_some_and(|until| *until > now)
    }

    /// Returns the eligible candidate with the most advanced log; if the present primary is in
    /// doubt, preferably a primary: the platform changes nothing if it is the present one. `None`
    /// while it waits for missing statuses or, in a planned failover, for a replica to catch up, and
    /// if no eligible candidate has answered.
    fn choose_candidate(
        &self,
        now: Time,
        since: Time,
        record: &PrimaryRecord,
        view: &FailoverView<'_>,
    ) -> Option<String> {
        let needs_replicas = view.sync_replicas > 0;
        let acknowledged_end = acknowledged_end(since, record, view)?;
        let eligible = view.members.iter().filter(|member| {
            // A leaving member may be the only one that has all acknowledged commits.
            (!member.leaving || record.in_doubt || needs_replicas) && !self.is_excluded(now, member)
        });
        let eligible: Vec<_> = eligible.collect();
        let others = eligible.iter().filter(|it| record.in_doubt || it.id != record.primary);
        let others: Vec<_> = others.collect();
        let known = others.iter().filter(|member| status_since(member, since).is_some()).count();
        let waited = now.since(since);
        let enough = known == others.len() || (waited >= STATUS_TIMEOUT && !record.in_doubt);
        if !enough && waited < CATCH_UP_TIMEOUT {
            return None;
        }
        let best = eligible
            .iter()
            .filter_map(|member| Some((member, status_since(member, since)?)))
            .filter(|(_, status)| status.received >= acknowledged_end)
            .max_by_key(|(member, status)| {
                let term = (record.in_doubt && status.primary).then_some(status.term);
                let stays = record.in_doubt || !member.leaving;
                let is_new = !member.leaving && member.id != record.primary;
                (stays, term, status.received, is_new, Reverse(&member.id))
            })?;
        let old_end = primary_status(since, record, view).map(|status| status.received);
        if record.planned
            && old_end.is_some_and(|end| best.1.received < end)
            && waited < CATCH_UP_TIMEOUT
        {
            return None;
        }
        Some(best.0.id.clone())
    }
}

/// Position that no commit exceeds whose loss would break the promise of an acknowledgement; `None`
/// while too few members have answered to tell. Without replicas that confirm commits there is no
/// such promise.
fn acknowledged_end(
    since: Time,
    record: &PrimaryRecord,
    view: &FailoverView<'_>,
) -> Option<Position> {
    let replicas = view.sync_replicas as usize;
    if replicas == 0 {
        return Some(Position::default());
    }
    // If the primary is in doubt, it may be any of the members, and holds the commits as well.
    let (holders, primary_end) = match record.in_doubt {
        true => (replicas + 1, None),
        false => (replicas, primary_status(since, record, view).map(|status| status.received)),
    };
    let others = view.all_members().filter(|it| record.in_doubt || it.id != record.primary);
    let statuses: Vec<_> = others.map(|member| status_since(member, since)).collect();
    let ends: Vec<_> = statuses.iter().flatten().map(|status| status.received).collect();
    let missing = view.unnamed.map(|unnamed| statuses.len() - ends.len() + unnamed);
    KnownLogs { ends, missing, primary_end }.acknowledged_end(holders)
}

/// Status of the recorded primary.
fn primary_status(
    since: Time,
    record: &PrimaryRecord,
    view: &FailoverView<'_>,
) -> Option<CandidateStatus> {
    let primary = view.all_members().find(|member| member.id == record.primary)?;
    status_since(primary, since)
}

/// Status of a member if it was asked for at or after `since`.
fn status_since(member: &Candidate, since: Time) -> Option<CandidateStatus> {
    member.status.filter(|status| status.asked_at >= since)
}

/// The listed primary of the newest term, if all members that are known have answered since `since` and
/// none knows a newer term. A failover call of an earlier era has taken effect by the time that members
/// are asked.
fn only_primary<'a>(since: Time, view: &FailoverView<'a>) -> Option<&'a Candidate> {
    let statuses = view.all_members().map(|member| Some((member, status_since(member, since)?)));
    let statuses: Vec<_> = statuses.collect::<Option<_>>()?;
    let newest = statuses.iter().map(|(_, status)| status.term).max()?;
    let mut primaries = statuses.iter().filter(|(_, it)| it.primary && it.term == newest);
    let (member, _) = primaries.next()?;
    let is_listed = view.members.iter().any(|it| it.id == member.id);
    (is_listed && primaries.next().is_none()).then_some(member)
}

fn confirmation(primary: &Candidate) -> Action {
    let record = PrimaryRecord { primary: primary.id.clone(), ..PrimaryRecord::default() };
    Action::Write { record, reason: "all members show that it is primary" }
}

/// Returns the write of a group's first primary record if exactly one member registers as
/// primary.
fn first_record(members: &[Candidate]) -> Option<Action> {
    let mut primaries = members.iter().filter(|member| member.registers_as_primary);
    let (Some(primary), None) = (primaries.next(), primaries.next()) else { return None };
    let record = PrimaryRecord { primary: primary.id.clone(), ..PrimaryRecord::default() };
    Some(Action::Write { record, reason: "first record: exactly one member registers as primary" })
}

/// Returns the write that starts a failover in which the members show who the primary is. Without
/// a record it names any member, preferably one that registers as primary.
fn start_in_doubt(view: &FailoverView<'_>) -> Option<Action> {
    let primary = match view.record {
        Some(record) => record.primary.clone(),
        None => view.members.iter().max_by_key(|member| member.registers_as_primary)?.id.clone(),
    };
    let record = in_doubt_record(primary);
    Some(Action::Write { record, reason: "the store may have lost a later record" })
}

/// The record of a failover in which the members show who the primary is.
fn in_doubt_record(primary: String) -> PrimaryRecord {
    PrimaryRecord { primary, changing: true, in_doubt: true, ..PrimaryRecord::default() }
}
