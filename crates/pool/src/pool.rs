use admission::{Discipline, Lane, Picked, QueueRequest, Refusal, Scheduler};
use base::{FastMap, MemberId, Position, Span, Time};
use consistency::PrimaryHistory;
use table::{Policy, RowKey};

use crate::{
    action::Action, member::Member, requirement::Requirement, shares::Shares, spec::MemberSpec,
};

/// How far back positions of the primary are kept: longer than any age of data
/// that routes accept.
const HISTORY_KEPT: Span = Span::from_millis(10_000);
/// Cost of a member in another availability zone, as time: there and back.
const FAR_COST: Span = Span::from_millis(2);
/// How much busier the primary counts for reads that a replica could serve.
const PRIMARY_WEIGHT: u64 = 2;

/// How long no connection is opened to a member that has as many as it accepts.
const FULL_FOR: Span = Span::from_millis(300);
/// Refused connections in a row that show that nothing listens there.
const REFUSALS_TO_COUNT: u32 = 2;

/// Why requests past their target are refused before their time runs out.
const LATE_IN_LOAD: &str = "it is late, and requests in time fill every slot";
const LATE_UNCONNECTED: &str = "it is late, and no member accepts a connection";

/// A request that asks for a connection.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub req: u64,
    /// Member that may run it.
    pub requirement: Requirement,
    /// Name and rank it is queued under.
    pub key: RowKey,
    /// Weight, limits and target.
    pub policy: Policy,
    /// When the caller asked for it.
    pub since: Time,
    /// When it stops being worth running.
    pub deadline: Time,
}

/// One daemon's connections to one group.
#[derive(Debug)]
pub struct Pool {
    members: Vec<Member>,
    shares: Shares,
    lead: Option<MemberId>,
    lead_until: Time,
    scheduler: Scheduler<u64>,
    requirements: FastMap<u64, Requirement>,
    running: FastMap<u64, RowKey>,
    history: PrimaryHistory,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            members: Vec::new(),
            shares: Shares::NONE,
            lead: None,
            lead_until: Time::default(),
            scheduler: Scheduler::new(Discipline::DeferLate),
            requirements: FastMap::default(),
            running: FastMap::default(),
            history: PrimaryHistory::new(HISTORY_KEPT),
        }
    }
}

impl Pool {
    /// Takes in what discovery says of the members.
    pub fn set_members(&mut self, specs: &[MemberSpec], out: &mut Vec<Action>) {
        for member in &mut self.members {
            let known = specs.iter().find(|spec| spec.id == member.spec.id);
            match known {
                Some(spec) if spec.born == member.spec.born => member.spec = spec.clone(),
                Some(spec) => {
                    // Its connections died with its earlier run.
                    for (conn, _) in member.idle.drain(..) {
                        member.open = member.open.saturating_sub(1);
                        out.push(Action::Close { conn });
                    }
                    member.position = Position::default();
                    member.spec = spec.clone();
                }
                None => member.spec.leaving = true,
            }
        }
        for spec in specs {
            if self.index(&spec.id).is_none() {
                self.members.push(Member::new(spec.clone()));
            }
        }
        self.members.retain(|member| {
            let listed = specs.iter().any(|spec| spec.id == member.spec.id);
            listed || member.open > 0 || member.running > 0
        });
    }

    /// Sets this daemon's part of each member.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Sets the primary, and until when it may be used.
    pub fn set_lead(&mut self, lead: Option<MemberId>, until: Time) {
        self.lead = lead;
        self.lead_until = until;
    }

    /// The primary, if it may be used now.
    pub fn lead(&self, now: Time) -> Option<&MemberId> {
        self.lead.as_ref().filter(|_| now < self.lead_until)
    }

    /// Position that holds every commit acknowledged up to `age` before `now`;
    /// `None` if the primary has not been heard since.
    pub fn position_covering(&self, now: Time, age: Span) -> Option<Position> {
        self.history.position_covering(now, age)
    }

    /// Queues a request, or refuses it at once.
    pub fn enqueue(&mut self, now: Time, request: Request) -> Result<(), &'static str> {
        let lane = self.lane(now, request.requirement);
        self.refresh_slots(now);
        let Request { req, requirement, key, policy, since, deadline } = request;
        let queued = QueueRequest { item: req, key, policy, lane, since, deadline };
        self.scheduler.enqueue(now, queued).map_err(refusal_reason)?;
        self.requirements.insert(req, requirement);
        Ok(())
    }

    /// Drops a request that waits.
    pub fn cancel(&mut self, req: u64) {
        self.scheduler.cancel(req);
        self.requirements.remove(&req);
    }

    /// Notes that a connection was opened; it is idle now.
    pub fn opened(&mut self, now: Time, member: &MemberId, conn: u64) -> bool {
        let Some(member) = self.find(member) else { return false };
        member.opening = member.opening.saturating_sub(1);
        member.answered(now);
        member.idle.push((conn, now));
        true
    }

    /// Notes that a connection could not be opened.
    pub fn open_failed(&mut self, now: Time, member: &MemberId, refused: bool) {
        let Some(member) = self.find(member) else { return };
        member.refusals += u32::from(refused);
        member.opening = member.opening.saturating_sub(1);
        member.open = member.open.saturating_sub(1);
        member.health.record_failure(now);
        member.gave_up();
    }

    /// Notes that a member has as many connections as it accepts.
    pub fn full(&mut self, now: Time, member: &MemberId) {
        let Some(member) = self.find(member) else { return };
        member.opening = member.opening.saturating_sub(1);
        member.open = member.open.saturating_sub(1);
        member.full_until = Some(now + FULL_FOR);
        member.answered(now);
    }

    /// Notes that a connection is gone; `failed` if the member broke it.
    pub fn closed(&mut self, now: Time, member: &MemberId, conn: u64, failed: bool) {
        let Some(member) = self.find(member) else { return };
        member.idle.retain(|(idle, _)| *idle != conn);
        member.open = member.open.saturating_sub(1);
        if failed {
            member.health.record_failure(now);
        }
    }

    /// Gives a connection back that can be used again.
    pub fn idle(&mut self, now: Time, member: &MemberId, conn: u64, out: &mut Vec<Action>) {
        let max_open = self.shares.max_open;
        let Some(member) = self.find(member) else {
            return out.push(Action::Close { conn });
        };
        if member.spec.leaving || member.open > max_open {
            member.open = member.open.saturating_sub(1);
            return out.push(Action::Close { conn });
        }
        member.idle.push((conn, now));
    }

    /// Notes that a statement is sent on a connection that is in use.
    pub fn statement_sent(&mut self, now: Time, member: &MemberId) {
        let Some(member) = self.find(member) else { return };
        member.running += 1;
        member.asked(now);
    }

    /// Notes the end of a statement; `answered` is its time if it was answered.
    pub fn statement_done(&mut self, now: Time, member: &MemberId, answered: Option<Span>) {
        let Some(member) = self.find(member) else { return };
        member.running = member.running.saturating_sub(1);
        match answered {
            Some(service) => {
                member.answered(now);
                member.record_latency(service);
                member.health.record_success();
            }
            None => member.gave_up(),
        }
    }

    /// Notes the end of a request that was started, for expected waits.
    pub fn request_done(&mut self, req: u64, service: Span) {
        if let Some(key) = self.running.remove(&req) {
            self.scheduler.finish(&key, service);
        }
    }

    /// Notes a member's position; `asked_at` if it was the usable primary all the
    /// while since it was asked.
    pub fn record_position(
        &mut self,
        member: &MemberId,
        position: Position,
        asked_at: Option<Time>,
    ) {
        let Some(member) = self.find(member) else { return };
        member.position = position;
        if let Some(asked_at) = asked_at {
            self.history.record(asked_at, position);
        }
    }

    /// Notes that a member's log lacks `required`.
    pub fn record_behind(&mut self, now: Time, member: &MemberId, required: Position) {
        let Some(member) = self.find(member) else { return };
        member.record_behind(now, required);
    }

    /// How long answers of a member have been waited for without any.
    pub fn unanswered_for(&self, now: Time, member: &MemberId) -> Span {
        self.index(member).map_or(Span::ZERO, |index| self.members[index].silence(now))
    }

    /// Whether a member refuses connections and none is left.
    pub fn refuses_connections(&self, member: &MemberId) -> bool {
        self.index(member).is_some_and(|index| {
            let member = &self.members[index];
            member.refusals >= REFUSALS_TO_COUNT && member.open == member.opening
        })
    }

    /// Whether a member answered within `span`.
    pub fn answered_within(&self, now: Time, member: &MemberId, span: Span) -> bool {
        self.index(member).is_some_and(|index| self.members[index].health.is_reachable(now, span))
    }

    /// Requests that wait, and statements that run.
    pub fn load(&self) -> (usize, u32) {
        (self.scheduler.waiting(), self.members.iter().map(|member| member.running).sum())
    }

    /// Starts what can start, refuses what ran out of time, and opens connections.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        self.expire(now, out);
        self.rescue(now);
        self.refresh_slots(now);
        for lane in [Lane::Primary, Lane::Replica] {
            self.start_lane(now, lane, out);
        }
        self.warm(now, out);
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        for req in self.scheduler.expire(now) {
            self.requirements.remove(&req);
            out.push(Action::Refuse { req, reason: "its time ran out while it waited" });
        }
        let connected = self.members.iter().any(|member| member.open > member.opening);
        let reason = if connected { LATE_IN_LOAD } else { LATE_UNCONNECTED };
        for req in self.scheduler.shed_late(now) {
            self.requirements.remove(&req);
            out.push(Action::Refuse { req, reason });
        }
    }

    /// Sends reads to the primary that no replica can serve.
    fn rescue(&mut self, now: Time) {
        if self.lead(now).is_none() {
            return;
        }
        let (requirements, members, lead) = (&self.requirements, &self.members, self.lead.as_ref());
        self.scheduler.move_to_primary(|req| match requirements.get(&req) {
            Some(Requirement::AtLeast(required)) => any_replica(members, lead, now, *required),
            _ => false,
        });
    }

    fn lane(&self, now: Time, requirement: Requirement) -> Lane {
        match requirement {
            Requirement::Primary => Lane::Primary,
            Requirement::AtLeast(required) => {
                let replica = any_replica(&self.members, self.lead.as_ref(), now, required);
                if replica || self.lead(now).is_none() { Lane::Replica } else { Lane::Primary }
            }
        }
    }

    /// Requests that each lane can run at once, for expected waits.
    fn refresh_slots(&mut self, now: Time) {
        let share = self.shares.max_running;
        let usable = self.members.iter().filter(|member| member.usable(now));
        let replicas = usable.filter(|member| Some(&member.spec.id) != self.lead.as_ref()).count();
        self.scheduler.set_slots(Lane::Primary, share);
        self.scheduler.set_slots(Lane::Replica, share * (replicas as u32).max(1));
    }

    fn start_lane(&mut self, now: Time, lane: Lane, out: &mut Vec<Action>) {
        let mut unfit = Vec::new();
        while let Some(free) = self.free(now, lane) {
            let Some(picked) = self.scheduler.pick(now, lane, free) else { break };
            let Some(requirement) = self.requirements.get(&picked.item).copied() else { continue };
            match self.choose(now, requirement) {
                Some(index) => self.start(now, index, picked, out),
                None => unfit.push(picked),
            }
        }
        for picked in unfit.iter().rev() {
            self.scheduler.requeue(now, lane, picked);
        }
    }

    fn start(&mut self, now: Time, index: usize, picked: Picked<u64>, out: &mut Vec<Action>) {
        let member = &mut self.members[index];
        let Some((conn, _)) = member.idle.pop() else { return };
        member.asked(now);
        member.running += 1;
        self.requirements.remove(&picked.item);
        let member = member.spec.id.clone();
        self.running.insert(picked.item, picked.key);
        out.push(Action::Start { req: picked.item, member, conn });
    }

    /// Idle connections that serve a lane; `None` if there are none.
    fn free(&self, now: Time, lane: Lane) -> Option<u32> {
        let lead = self.lead(now);
        let members = self.members.iter().filter(|member| member.usable(now));
        let fitting =
            members.filter(|member| lane == Lane::Replica || Some(&member.spec.id) == lead);
        let free: u32 = fitting.map(|member| member.room(self.shares.max_running)).sum();
        (free > 0).then_some(free)
    }

    fn choose(&self, now: Time, requirement: Requirement) -> Option<usize> {
        let lead = self.lead(now);
        let fitting = self.members.iter().enumerate().filter(|(_, member)| {
            let leads = Some(&member.spec.id) == lead;
            let fits = match requirement {
                Requirement::Primary => leads,
                Requirement::AtLeast(required) => leads || member.may_hold(now, required),
            };
            fits && member.usable(now) && member.room(self.shares.max_running) > 0
        });
        let best = fitting.min_by_key(|(_, member)| {
            let far = if member.spec.same_zone { 0 } else { FAR_COST.as_micros() };
            let weight = if Some(&member.spec.id) == lead { PRIMARY_WEIGHT } else { 1 };
            u64::from(member.running + 1) * member.latency.as_micros() * weight + far
        });
        best.map(|(index, _)| index)
    }

    /// Keeps connections open, more of them while requests wait.
    fn warm(&mut self, now: Time, out: &mut Vec<Action>) {
        let waits = self.scheduler.waiting() > 0;
        let Shares { kept, max_open, .. } = self.shares;
        for member in &mut self.members {
            let wanted = if waits && member.idle.is_empty() { max_open } else { kept };
            while member.may_open(now, wanted) {
                member.open += 1;
                member.opening += 1;
                member.asked(now);
                out.push(Action::Open { member: member.spec.id.clone() });
            }
            while let Some(conn) = member.take_spare(now, kept, max_open) {
                member.open -= 1;
                out.push(Action::Close { conn });
            }
        }
    }

    fn index(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.spec.id == *id)
    }

    fn find(&mut self, id: &MemberId) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.spec.id == *id)
    }
}

fn any_replica(members: &[Member], lead: Option<&MemberId>, now: Time, required: Position) -> bool {
    members.iter().any(|member| {
        Some(&member.spec.id) != lead && member.usable(now) && member.may_hold(now, required)
    })
}

fn refusal_reason(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::QueueFull => "as many wait as the limit allows",
        Refusal::WaitTooLong { .. } => "the expected wait exceeds the target",
        Refusal::DeadlinePassed => "its time ran out while it waited",
    }
}
