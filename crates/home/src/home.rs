use admission::{Lane, QueueRequest, Scheduler};
use base::{MemberId, OrganisationId, Position, RequestId, Span, StatementKind, Term, Time};
use consistency::{CallerWritePositions, PrimaryHistory};
use routing::{Choice, Member, Members, Reason};
use table::RowKey;

use crate::{
    action::{Action, ConnectionSource, Dispatch},
    config::HomeConfig,
    coverage::Coverage,
    event::{ConnectionState, Event, Finished, ProbeReply, RunResult},
    pending_commits::PendingCommits,
    probes::Probes,
    refusal::Refusal,
    requests::{RequestState, Requests},
    submission::{Commit, PinnedStatement, Submission},
};

mod view;

/// How long positions of the primary are kept, for reads that accept data of a given age.
const HISTORY_RETENTION: Span = Span::from_millis(60_000);
/// Shortest time between two reports of a suspected primary.
const MIN_SUSPECT_INTERVAL: Span = Span::from_millis(1_000);
/// Shortest time between two attempts to redirect a member.
const MIN_REPOINT_INTERVAL: Span = Span::from_millis(500);

/// State machine of a group's home.
#[derive(Debug)]
pub struct Home {
    cfg: HomeConfig,
    members: Members,
    scheduler: Scheduler<RequestId>,
    requests: Requests,
    write_positions: CallerWritePositions,
    history: PrimaryHistory,
    coverage: Coverage,
    probes: Probes,
    pending_commits: PendingCommits,
    /// Since when the current primary is expected to answer.
    primary_since: Option<Time>,
    /// Spare connections being opened, by member.
    opening_warm: Vec<u32>,
    last_suspected_at: Option<Time>,
    last_repointed_at: Vec<Option<Time>>,
    retired: bool,
    claimed: bool,
    /// Writes that wait until this daemon holds the claim on the group.
    awaiting_claim: Vec<Submission>,
}

impl Home {
    /// Creates a home that does not know the primary or the state of the members yet.
    pub fn new(cfg: HomeConfig) -> Home {
        let members = cfg
            .members
            .iter()
            .map(|member| Member::new(member.id.clone(), member.zone.clone(), member.capacity));
        let members = Members::new(members.collect(), cfg.zone.clone(), cfg.patience);
        let count = cfg.members.len();
        Home {
            scheduler: Scheduler::new(cfg.discipline),
            requests: Requests::default(),
            write_positions: CallerWritePositions::new(cfg.callers),
            history: PrimaryHistory::new(HISTORY_RETENTION),
            coverage: Coverage::default(),
            probes: Probes::new(count, cfg.heartbeat),
            pending_commits: PendingCommits::new(cfg.ack_timeout),
            primary_since: None,
            opening_warm: vec![0; count],
            last_suspected_at: None,
            last_repointed_at: vec![None; count],
            retired: false,
            claimed: false,
            awaiting_claim: Vec::new(),
            members,
            cfg,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.primary_since.get_or_insert(now);
        self.coverage = self.coverage.at(now);
        match event {
            Event::Submitted(submission) => self.submit(now, submission, out),
            Event::Pinned(statement) => self.run_pinned(statement, out),
            Event::Finished(finished) => self.finish(now, &finished),
            Event::Released { member, connection } => self.release(&member, connection),
            Event::Warmed { member, open } => self.warmed(now, &member, open),
            Event::Committed(commit) => self.commit(now, commit),
            Event::Cancelled(req) => self.cancel(req),
            Event::Probed(reply) => self.probed(now, reply, out),
            Event::PrimaryRecorded { term, primary } => self.adopt(now, term, primary.as_ref()),
            Event::Leaving(leaving) => self.set_leaving(&leaving),
            Event::Exclusive { until } => self.extend_exclusivity(until),
            Event::BecameHome { exclusive_from } => self.become_home(now, exclusive_from, out),
            Event::HandoverStarted => self.coverage = Coverage::Unknown,
            Event::Retired => self.retire(out),
            Event::Tick => self.tick(now, out),
        }
        self.advance(now, out);
    }

    fn submit(&mut self, now: Time, submission: Submission, out: &mut Vec<Action>) {
        if self.retired {
            return out.push(Action::Refuse { req: submission.req, refusal: Refusal::HomeMoved });
        }
        if submission.kind == StatementKind::Write && !self.claimed {
            return self.awaiting_claim.push(submission);
        }
        if submission.kind == StatementKind::Write {
            let session = submission.session;
            return self.enqueue(now, &submission, Lane::Primary, session, out);
        }
        match self.required(&submission) {
            Some(required) => self.enqueue_read(now, &submission, required, out),
            None => {
                let round = self.probes.request_round();
                let req = submission.req;
                self.requests.insert(req, RequestState::AwaitingPosition { submission, round });
            }
        }
    }

    /// Position that a read must observe; `None` if the primary has to be asked for it.
    fn required(&self, submission: &Submission) -> Option<Position> {
        if let Some(token) = submission.token {
            return Some(token.max(submission.session));
        }
        match self.coverage {
            Coverage::Complete { .. } => {
                Some(self.write_positions.required(&submission.caller).max(submission.session))
            }
            _ => None,
        }
    }

    fn enqueue_read(
        &mut self,
        now: Time,
        submission: &Submission,
        required: Position,
        out: &mut Vec<Action>,
    ) {
        let covering =
            submission.policy.age.and_then(|age| self.history.position_covering(now, age));
        let Some(covering) = covering else {
            return self.enqueue(now, submission, Lane::Primary, required, out);
        };
        let required = required.max(covering);
        let fresh = self.members.has_fresh_replica(now, required);
        let lane = if fresh { Lane::Replica } else { Lane::Primary };
        self.enqueue(now, submission, lane, required, out);
    }

    fn enqueue(
        &mut self,
        now: Time,
        submission: &Submission,
        lane: Lane,
        required: Position,
        out: &mut Vec<Action>,
    ) {
        let req = submission.req;
        let request = QueueRequest {
            since: now,
            item: req,
            key: submission.key.clone(),
            organisation: OrganisationId::SHARED,
            policy: submission.policy,
            lane,
            deadline: submission.deadline,
        };
        match self.scheduler.enqueue(now, request) {
            Ok(()) => self.requests.insert(req, RequestState::Queued { required }),
            Err(refusal) => {
                out.push(Action::Refuse { req, refusal: Refusal::Admission(refusal) });
            }
        }
    }

    /// Runs a pinned statement at once, even if every slot is taken: requests that hold the slots
    /// may wait for locks of the statement's transaction. The statement counts as in flight, so
    /// new requests wait until it has ended.
    fn run_pinned(&mut self, statement: PinnedStatement, out: &mut Vec<Action>) {
        let Some(member) = self.members.index(&statement.member) else { return };
        self.members.get_mut(member).in_flight += 1;
        let PinnedStatement { req, key, member: id } = statement;
        self.requests.insert(req, RequestState::Running { key, member, scheduled: false });
        out.push(Action::RunPinned { req, member: id });
    }

    fn finish(&mut self, now: Time, finished: &Finished) {
        let state = self.requests.remove(finished.req);
        let Some(RequestState::Running { key, member, scheduled }) = state else { return };
        if scheduled {
            self.scheduler.finish(&key, finished.service);
        }
        let place = self.members.get_mut(member);
        place.in_flight = place.in_flight.saturating_sub(1);
        match finished.result {
            RunResult::Answered => {
                place.record_latency(finished.service);
                place.health.record_success();
            }
            RunResult::StaleTerm => {
                self.probes.request_round();
            }
            RunResult::Broken => {
                place.health.record_failure(now);
                self.probes.request_round();
            }
        }
        self.count_connection(member, finished.connection);
    }

    fn release(&mut self, member: &MemberId, connection: ConnectionState) {
        let Some(member) = self.members.index(member) else { return };
        self.count_connection(member, connection);
    }

    fn count_connection(&mut self, member: usize, connection: ConnectionState) {
        let place = self.members.get_mut(member);
        match connection {
            ConnectionState::Idle if !self.retired => place.idle += 1,
            ConnectionState::Held => {}
            ConnectionState::Idle | ConnectionState::Closed => {
                place.open = place.open.saturating_sub(1);
            }
        }
    }

    fn warmed(&mut self, now: Time, member: &MemberId, open: bool) {
        let Some(member) = self.members.index(member) else { return };
        self.opening_warm[member] = self.opening_warm[member].saturating_sub(1);
        let place = self.members.get_mut(member);
        if open && !self.retired {
            place.idle += 1;
        } else if open {
            place.open = place.open.saturating_sub(1);
        } else {
            place.open = place.open.saturating_sub(1);
            place.health.record_failure(now);
        }
    }

    fn commit(&mut self, now: Time, commit: Commit) {
        self.write_positions.record_write(&commit.caller, commit.position);
        let round = self.probes.request_round();
        self.pending_commits.push(now, commit, round);
    }

    fn cancel(&mut self, req: RequestId) {
        let running = matches!(self.requests.get(req), Some(RequestState::Running { .. }));
        if !running {
            self.requests.remove(req);
            self.scheduler.cancel(req);
            self.awaiting_claim.retain(|submission| submission.req != req);
        }
    }

    fn probed(&mut self, now: Time, reply: ProbeReply, out: &mut Vec<Action>) {
        self.probes.record(reply);
        let place = self.members.get_mut(reply.member);
        place.health.record_answer(now);
        place.term = reply.status.term;
        place.position = reply.status.position;
        self.record_proof(reply);
        if reply.status.term > self.members.term() {
            self.members.set_primary(reply.status.term, None);
            self.history.clear();
            out.push(Action::NewerTerm { term: reply.status.term });
        }
        self.repoint(now, reply, out);
    }

    /// Records the primary's position if probe replies prove that it still leads its term.
    fn record_proof(&mut self, reply: ProbeReply) {
        let Some(primary) = self.members.primary() else { return };
        let round = reply.round;
        let Some(proof) = self.probes.proof(round, self.members.term(), primary) else { return };
        self.history.record(proof.asked_at, proof.status.position);
    }

    /// Redirects a member that does not follow the current primary. See [`Action::Repoint`].
    fn repoint(&mut self, now: Time, reply: ProbeReply, out: &mut Vec<Action>) {
        let Some(primary) = self.members.primary() else { return };
        let term = self.members.term();
        let outdated = reply.status.term < term
            || (reply.member != primary && reply.status.primary)
            || (reply.member != primary && reply.status.position.term > term);
        let recently = self.last_repointed_at[reply.member]
            .is_some_and(|at| now.since(at) < MIN_REPOINT_INTERVAL);
        if !outdated || recently {
            return;
        }
        self.last_repointed_at[reply.member] = Some(now);
        out.push(Action::Repoint {
            member: self.members.get(reply.member).id.clone(),
            primary: self.members.get(primary).id.clone(),
            term,
        });
    }

    fn adopt(&mut self, now: Time, term: Term, primary: Option<&MemberId>) {
        if !self.members.set_primary(term, primary) {
            return;
        }
        self.history.clear();
        self.last_suspected_at = None;
        self.primary_since = Some(now);
        self.probes.request_round();
    }

    fn set_leaving(&mut self, leaving: &[MemberId]) {
        for index in 0..self.members.as_slice().len() {
            let place = self.members.get_mut(index);
            place.leaving = leaving.contains(&place.id);
        }
    }

    fn extend_exclusivity(&mut self, until: Time) {
        if self.retired {
            return;
        }
        self.coverage = self.coverage.extend(until, self.probes.next_round());
        if matches!(self.coverage, Coverage::Establishing { .. }) {
            self.probes.request_round();
        }
    }

    /// Submits the writes that waited for the claim.
    fn become_home(&mut self, now: Time, exclusive_from: Time, out: &mut Vec<Action>) {
        self.claimed = true;
        self.pending_commits.delay_until(exclusive_from);
        for submission in std::mem::take(&mut self.awaiting_claim) {
            self.submit(now, submission, out);
        }
    }

    /// Refuses waiting requests and drops idle connections. Running requests may finish.
    fn retire(&mut self, out: &mut Vec<Action>) {
        self.retired = true;
        for index in 0..self.members.as_slice().len() {
            let place = self.members.get_mut(index);
            place.open = place.open.saturating_sub(place.idle);
            place.idle = 0;
        }
        self.coverage = Coverage::Unknown;
        for submission in std::mem::take(&mut self.awaiting_claim) {
            out.push(Action::Refuse { req: submission.req, refusal: Refusal::HomeMoved });
        }
        for req in self.requests.take_waiting() {
            self.scheduler.cancel(req);
            out.push(Action::Refuse { req, refusal: Refusal::HomeMoved });
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for req in self.scheduler.expire(now) {
            self.requests.remove(req);
            out.push(Action::Refuse { req, refusal: Refusal::DeadlinePassed });
        }
        let (alive, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_claim)
            .into_iter()
            .partition(|submission| submission.deadline > now);
        self.awaiting_claim = alive;
        for submission in expired {
            out.push(Action::Refuse { req: submission.req, refusal: Refusal::DeadlinePassed });
        }
        let expired = self.requests.take_awaiting(|_, submission| submission.deadline <= now);
        for submission in expired {
            out.push(Action::Refuse { req: submission.req, refusal: Refusal::DeadlinePassed });
        }
        self.move_reads_to_primary(now);
        self.suspect(now, out);
    }

    fn suspect(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(primary) = self.members.primary() else { return };
        let primary = self.members.get(primary);
        let since = primary.health.last_seen().max(self.primary_since).unwrap_or(now);
        let recently =
            self.last_suspected_at.is_some_and(|at| now.since(at) < MIN_SUSPECT_INTERVAL);
        if now.since(since) < self.cfg.suspect_after || recently {
            return;
        }
        self.last_suspected_at = Some(now);
        let (primary, term) = (primary.id.clone(), self.members.term());
        out.push(Action::Suspect { primary, term });
    }

    /// Takes every step that has become possible with the latest event.
    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        self.complete_coverage();
        self.resolve_awaiting(now, out);
        let leadership = (self.members.term(), self.members.primary());
        self.pending_commits.resolve(now, leadership, &self.probes, out);
        self.run_queued(now, out);
        self.open_warm_connections(now, out);
        if !self.pending_commits.is_empty() || self.requests.any_awaiting_position() {
            self.probes.request_round();
        }
        if self.retired && self.pending_commits.is_empty() {
            return;
        }
        if let Some(round) = self.probes.start_round(now) {
            out.push(Action::Probe { round });
        }
    }

    fn complete_coverage(&mut self) {
        let Coverage::Establishing { round, until } = self.coverage else { return };
        let Some(primary) = self.members.primary() else { return };
        let Some(proof) = self.probes.proof(round, self.members.term(), primary) else { return };
        self.write_positions.raise_floor(proof.status.position);
        self.coverage = Coverage::Complete { until };
    }

    fn resolve_awaiting(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.requests.any_awaiting_position() {
            return;
        }
        let Some(primary) = self.members.primary() else { return };
        let (probes, term) = (&self.probes, self.members.term());
        let resolved =
            self.requests.take_awaiting(|round, _| probes.proof(round, term, primary).is_some());
        let position = self.probes.status(primary).map(|status| status.position);
        for submission in resolved {
            let required = position.unwrap_or_default().max(submission.session);
            self.enqueue_read(now, &submission, required, out);
        }
    }

    fn run_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.scheduler.waiting() == 0 {
            return;
        }
        let (primary, replicas) = self.members.slots(now);
        self.scheduler.set_slots(Lane::Primary, primary);
        self.scheduler.set_slots(Lane::Replica, replicas);
        for lane in Lane::ALL {
            while self.run_one(now, lane, out) {}
        }
    }

    /// Moves queued reads that no replica can serve any more to the primary.
    fn move_reads_to_primary(&mut self, now: Time) {
        let (members, requests) = (&self.members, &self.requests);
        self.scheduler
            .move_to_primary(|req| members.has_fresh_replica(now, requests.required(req)));
    }

    fn run_one(&mut self, now: Time, lane: Lane, out: &mut Vec<Action>) -> bool {
        let (primary, replicas) = self.members.free_slots(now);
        let (free, room) = match lane {
            Lane::Primary => (primary, self.members.choose_primary(now)),
            Lane::Replica => (replicas, self.members.choose_replica(now, Position::default())),
        };
        if !matches!(room, Choice::Member(..)) {
            return false;
        }
        let Some(picked) = self.scheduler.pick(now, lane, free) else { return false };
        let required = self.requests.required(picked.item);
        let choice = match lane {
            Lane::Primary => room,
            Lane::Replica => self.members.choose_replica(now, required),
        };
        match choice {
            Choice::Member(member, reason) => {
                let dispatch = (member, reason, required);
                self.dispatch(picked.item, picked.key, dispatch, out);
                true
            }
            Choice::Busy | Choice::NoneEligible(_) => {
                self.scheduler.requeue(now, lane, &picked);
                false
            }
        }
    }

    fn dispatch(
        &mut self,
        req: RequestId,
        key: RowKey,
        (member, reason, required): (usize, Reason, Position),
        out: &mut Vec<Action>,
    ) {
        let term = self.members.term();
        let place = self.members.get_mut(member);
        place.in_flight += 1;
        let connection = if place.idle > 0 {
            place.idle -= 1;
            ConnectionSource::Idle
        } else {
            place.open += 1;
            ConnectionSource::New
        };
        let id = place.id.clone();
        self.requests.insert(req, RequestState::Running { key, member, scheduled: true });
        out.push(Action::Dispatch(Dispatch {
            req,
            member: id,
            term,
            connection,
            required,
            reason: reason.as_str(),
        }));
    }

    fn open_warm_connections(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.retired {
            return;
        }
        for index in 0..self.opening_warm.len() {
            let place = self.members.get(index);
            let wanted = place.idle + self.opening_warm[index] < self.cfg.warm_connections
                && place.open < place.capacity.connections
                && self.opening_warm[index] == 0
                && place.health.is_usable(now, self.cfg.patience)
                && !place.leaving;
            if !wanted {
                continue;
            }
            self.opening_warm[index] += 1;
            let place = self.members.get_mut(index);
            place.open += 1;
            out.push(Action::Warm { member: place.id.clone() });
        }
    }
}
