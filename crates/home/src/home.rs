use admission::{Lane, Scheduler, Ticket};
use base::{MemberId, Position, RequestId, Span, StatementKind, Term, Time};
use consistency::{CallerMarks, PrimaryHistory};
use routing::{Choice, Member, Members, Reason};
use table::RowKey;

use crate::{
    acks::Acks,
    action::{Action, Connection, Dispatch},
    config::HomeConfig,
    event::{ConnectionFate, Event, Finished, ProbeReply, RunResult},
    memory::Memory,
    probes::Probes,
    refusal::Refusal,
    requests::{RequestState, Requests},
    submission::{Commit, PinnedStatement, Submission},
};

mod view;

const HISTORY_KEPT: Span = Span::from_millis(60_000);
const SUSPECT_AGAIN: Span = Span::from_millis(1_000);
const REPOINT_AGAIN: Span = Span::from_millis(500);

/// State of a group's home.
#[derive(Debug)]
pub struct Home {
    cfg: HomeConfig,
    members: Members,
    scheduler: Scheduler<RequestId>,
    requests: Requests,
    marks: CallerMarks,
    history: PrimaryHistory,
    memory: Memory,
    probes: Probes,
    acks: Acks,
    started: Option<Time>,
    warming: Vec<u32>,
    suspected_at: Option<Time>,
    repointed_at: Vec<Option<Time>>,
    retired: bool,
    claimed: bool,
    /// Writes that wait until this daemon holds the claim.
    unclaimed: Vec<Submission>,
}

impl Home {
    /// A home that knows neither the primary nor the members' state yet.
    pub fn new(cfg: HomeConfig) -> Home {
        let members = cfg
            .members
            .iter()
            .map(|member| Member::new(member.id.clone(), member.zone.clone(), member.capacity));
        let members = Members::new(members.collect(), cfg.zone.clone(), cfg.patience);
        let count = cfg.members.len();
        Home {
            scheduler: Scheduler::new(cfg.policing),
            requests: Requests::default(),
            marks: CallerMarks::new(cfg.callers),
            history: PrimaryHistory::new(HISTORY_KEPT),
            memory: Memory::default(),
            probes: Probes::new(count, cfg.heartbeat),
            acks: Acks::new(cfg.ack_timeout),
            started: None,
            warming: vec![0; count],
            suspected_at: None,
            repointed_at: vec![None; count],
            retired: false,
            claimed: false,
            unclaimed: Vec::new(),
            members,
            cfg,
        }
    }

    /// Takes in an event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        self.memory = self.memory.at(now);
        match event {
            Event::Submitted(submission) => self.submit(now, submission, out),
            Event::Pinned(statement) => self.submit_pinned(statement),
            Event::Finished(finished) => self.finish(now, &finished),
            Event::Released { member, fate } => self.release(&member, fate),
            Event::Warmed { member, open } => self.warmed(now, &member, open),
            Event::Committed(commit) => self.commit(now, commit),
            Event::Withdrawn(req) => self.withdraw(req),
            Event::Probed(reply) => self.probed(now, reply, out),
            Event::Reign { term, primary } => self.reign(now, term, primary.as_ref()),
            Event::Leaving(leaving) => self.set_leaving(&leaving),
            Event::Trust { until } => self.trust(until),
            Event::Begin { exclusive_from } => self.begin(now, exclusive_from, out),
            Event::Distrusted => self.memory = Memory::Untrusted,
            Event::Retired => self.retire(out),
            Event::Tick => self.tick(now, out),
        }
        self.advance(now, out);
    }

    fn submit(&mut self, now: Time, submission: Submission, out: &mut Vec<Action>) {
        if self.retired {
            return out.push(Action::Refuse { req: submission.req, refusal: Refusal::Moved });
        }
        if submission.kind == StatementKind::Write && !self.claimed {
            return self.unclaimed.push(submission);
        }
        if submission.kind == StatementKind::Write {
            let session = submission.session;
            return self.enqueue(now, &submission, Lane::Primary, session, out);
        }
        match self.required(&submission) {
            Some(required) => self.enqueue_read(now, &submission, required, out),
            None => {
                let round = self.probes.want();
                let req = submission.req;
                self.requests.insert(req, RequestState::Learning { submission, round });
            }
        }
    }

    /// What the caller must see, `None` if only the primary can tell.
    fn required(&self, submission: &Submission) -> Option<Position> {
        if let Some(token) = submission.token {
            return Some(token.max(submission.session));
        }
        match self.memory {
            Memory::Ready { .. } => {
                Some(self.marks.required(&submission.caller).max(submission.session))
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
        let covering = submission.policy.age.and_then(|age| self.history.covering(now, age));
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
        let ticket = Ticket {
            since: now,
            item: req,
            key: submission.key.clone(),
            policy: submission.policy,
            lane,
            deadline: submission.deadline,
        };
        match self.scheduler.offer(now, ticket) {
            Ok(()) => self.requests.insert(req, RequestState::Queued { required }),
            Err(refusal) => {
                out.push(Action::Refuse { req, refusal: Refusal::Admission(refusal) });
            }
        }
    }

    fn submit_pinned(&mut self, statement: PinnedStatement) {
        let Some(member) = self.members.index(&statement.member) else { return };
        let state = RequestState::PinnedQueued { key: statement.key, member };
        self.requests.insert(statement.req, state);
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
                self.probes.want();
            }
            RunResult::Broken => {
                place.health.record_failure(now);
                self.probes.want();
            }
        }
        self.settle_connection(member, finished.fate);
    }

    fn release(&mut self, member: &MemberId, fate: ConnectionFate) {
        let Some(member) = self.members.index(member) else { return };
        self.settle_connection(member, fate);
    }

    fn settle_connection(&mut self, member: usize, fate: ConnectionFate) {
        let place = self.members.get_mut(member);
        match fate {
            ConnectionFate::Idle if !self.retired => place.idle += 1,
            ConnectionFate::Held => {}
            ConnectionFate::Idle | ConnectionFate::Closed => {
                place.open = place.open.saturating_sub(1);
            }
        }
    }

    fn warmed(&mut self, now: Time, member: &MemberId, open: bool) {
        let Some(member) = self.members.index(member) else { return };
        self.warming[member] = self.warming[member].saturating_sub(1);
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
        self.marks.note(&commit.caller, commit.position);
        let round = self.probes.want();
        self.acks.push(now, commit, round);
    }

    fn withdraw(&mut self, req: RequestId) {
        let running = matches!(self.requests.get(req), Some(RequestState::Running { .. }));
        if !running {
            self.requests.remove(req);
            self.scheduler.withdraw(req);
            self.unclaimed.retain(|submission| submission.req != req);
        }
    }

    fn probed(&mut self, now: Time, reply: ProbeReply, out: &mut Vec<Action>) {
        self.probes.note(reply);
        let place = self.members.get_mut(reply.member);
        place.health.record_answer(now);
        place.term = reply.status.term;
        place.position = reply.status.position;
        self.note_proof(reply);
        if reply.status.term > self.members.term() {
            self.members.set_primary(reply.status.term, None);
            self.history.clear();
            out.push(Action::NewerTerm { term: reply.status.term });
        }
        self.repoint(now, reply, out);
    }

    /// Learns the primary's position from a round that proves its reign.
    fn note_proof(&mut self, reply: ProbeReply) {
        let Some(primary) = self.members.primary() else { return };
        let round = reply.round;
        let Some(proof) = self.probes.proof(round, self.members.term(), primary) else { return };
        self.history.note(proof.asked_at, proof.status.position);
    }

    /// Tells a member of the past about the present primary, now and then.
    fn repoint(&mut self, now: Time, reply: ProbeReply, out: &mut Vec<Action>) {
        let Some(primary) = self.members.primary() else { return };
        let term = self.members.term();
        let astray = reply.status.term < term
            || (reply.member != primary && reply.status.primary)
            || (reply.member != primary && reply.status.position.term > term);
        let lately =
            self.repointed_at[reply.member].is_some_and(|at| now.since(at) < REPOINT_AGAIN);
        if !astray || lately {
            return;
        }
        self.repointed_at[reply.member] = Some(now);
        out.push(Action::Repoint {
            member: self.members.get(reply.member).id.clone(),
            primary: self.members.get(primary).id.clone(),
            term,
        });
    }

    fn reign(&mut self, now: Time, term: Term, primary: Option<&MemberId>) {
        if !self.members.set_primary(term, primary) {
            return;
        }
        self.history.clear();
        self.suspected_at = None;
        self.started = Some(now);
        self.probes.want();
    }

    fn set_leaving(&mut self, leaving: &[MemberId]) {
        for index in 0..self.members.as_slice().len() {
            let place = self.members.get_mut(index);
            place.leaving = leaving.contains(&place.id);
        }
    }

    fn trust(&mut self, until: Time) {
        if self.retired {
            return;
        }
        self.memory = self.memory.extend(until, self.probes.next_round());
        if matches!(self.memory, Memory::Establishing { .. }) {
            self.probes.want();
        }
    }

    /// Lets writes run that waited for the claim.
    fn begin(&mut self, now: Time, exclusive_from: Time, out: &mut Vec<Action>) {
        self.claimed = true;
        self.acks.hold_until(exclusive_from);
        for submission in std::mem::take(&mut self.unclaimed) {
            self.submit(now, submission, out);
        }
    }

    /// Refuses what waits and forgets idle connections; what runs may end.
    fn retire(&mut self, out: &mut Vec<Action>) {
        self.retired = true;
        for index in 0..self.members.as_slice().len() {
            let place = self.members.get_mut(index);
            place.open = place.open.saturating_sub(place.idle);
            place.idle = 0;
        }
        self.memory = Memory::Untrusted;
        for submission in std::mem::take(&mut self.unclaimed) {
            out.push(Action::Refuse { req: submission.req, refusal: Refusal::Moved });
        }
        for req in self.requests.take_waiting() {
            self.scheduler.withdraw(req);
            out.push(Action::Refuse { req, refusal: Refusal::Moved });
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for req in self.scheduler.expire(now) {
            self.requests.remove(req);
            out.push(Action::Refuse { req, refusal: Refusal::Deadline });
        }
        let (alive, late): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unclaimed)
            .into_iter()
            .partition(|submission| submission.deadline > now);
        self.unclaimed = alive;
        for submission in late {
            out.push(Action::Refuse { req: submission.req, refusal: Refusal::Deadline });
        }
        let late = self.requests.take_learning(|_, submission| submission.deadline <= now);
        for submission in late {
            out.push(Action::Refuse { req: submission.req, refusal: Refusal::Deadline });
        }
        self.rescue_stranded(now);
        self.suspect(now, out);
    }

    fn suspect(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(primary) = self.members.primary() else { return };
        let primary = self.members.get(primary);
        let since = primary.health.last_seen().max(self.started).unwrap_or(now);
        let lately = self.suspected_at.is_some_and(|at| now.since(at) < SUSPECT_AGAIN);
        if now.since(since) < self.cfg.suspect_after || lately {
            return;
        }
        self.suspected_at = Some(now);
        let (primary, term) = (primary.id.clone(), self.members.term());
        out.push(Action::Suspect { primary, term });
    }

    /// Does everything that the latest event made possible.
    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        self.establish_floor();
        self.settle_learning(now, out);
        let reign = (self.members.term(), self.members.primary());
        self.acks.settle(now, reign, &self.probes, out);
        self.run_pinned(out);
        self.run_queued(now, out);
        self.warm(now, out);
        if !self.acks.is_empty() || self.requests.any_learning() {
            self.probes.want();
        }
        if self.retired && self.acks.is_empty() {
            return;
        }
        if let Some(round) = self.probes.begin(now) {
            out.push(Action::Probe { round });
        }
    }

    fn establish_floor(&mut self) {
        let Memory::Establishing { round, until } = self.memory else { return };
        let Some(primary) = self.members.primary() else { return };
        let Some(proof) = self.probes.proof(round, self.members.term(), primary) else { return };
        self.marks.raise_floor(proof.status.position);
        self.memory = Memory::Ready { until };
    }

    fn settle_learning(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.requests.any_learning() {
            return;
        }
        let Some(primary) = self.members.primary() else { return };
        let (probes, term) = (&self.probes, self.members.term());
        let learnt =
            self.requests.take_learning(|round, _| probes.proof(round, term, primary).is_some());
        let position = self.probes.status(primary).map(|status| status.position);
        for submission in learnt {
            let required = position.unwrap_or_default().max(submission.session);
            self.enqueue_read(now, &submission, required, out);
        }
    }

    fn run_pinned(&mut self, out: &mut Vec<Action>) {
        for (req, member) in self.requests.pinned() {
            if self.members.get(member).free_slots() == 0 {
                continue;
            }
            let Some(RequestState::PinnedQueued { key, member }) = self.requests.remove(req) else {
                continue;
            };
            self.members.get_mut(member).in_flight += 1;
            let id = self.members.get(member).id.clone();
            self.requests.insert(req, RequestState::Running { key, member, scheduled: false });
            out.push(Action::Proceed { req, member: id });
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

    /// Reads that no replica may serve any more go to the primary.
    fn rescue_stranded(&mut self, now: Time) {
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
                self.scheduler.put_back(now, lane, &picked);
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
            Connection::Idle
        } else {
            place.open += 1;
            Connection::New
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

    fn warm(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.retired {
            return;
        }
        for index in 0..self.warming.len() {
            let place = self.members.get(index);
            let wanted = place.idle + self.warming[index] < self.cfg.warm
                && place.open < place.capacity.connections
                && self.warming[index] == 0
                && place.health.is_usable(now, self.cfg.patience)
                && !place.leaving;
            if !wanted {
                continue;
            }
            self.warming[index] += 1;
            let place = self.members.get_mut(index);
            place.open += 1;
            out.push(Action::Warm { member: place.id.clone() });
        }
    }
}
