use admission::{Discipline, Lane, Picked, QueueRequest, Refusal, Scheduler};
use base::{FastMap, MemberId, OrganisationId, Position, Rank, Span, Time};
use consistency::PrimaryHistory;
use table::{Policy, RowKey};

use crate::{
    action::Action,
    connection::Idle,
    member::Member,
    requirement::Requirement,
    shares::{LOST_CONNECTIONS_HELD, Shares},
    spec::MemberSpec,
    usage::Usage,
};

mod by_organisation;

/// How long the primary's positions are retained. It is longer than any age of data
/// that a route accepts.
const HISTORY_RETENTION: Span = Span::from_millis(10_000);
/// Added to the expected time at a member in another availability zone: the network
/// round trip.
const CROSS_ZONE_COST: Span = Span::from_millis(2);
/// The primary's load counts this many times for reads that a replica could serve too.
const PRIMARY_LOAD_FACTOR: u64 = 2;

/// Number of connections refused in a row from which on the member's address counts as
/// refusing connections.
const MIN_CONSECUTIVE_REFUSALS: u32 = 2;

/// Reasons, sent to callers, for refusing a request that is past its target before its
/// deadline.
const LATE_ALL_SLOTS_BUSY: &str = "it is late, and requests in time fill every slot";
const EXPECTED_WAIT: &str = "the expected wait exceeds the target";
const LATE_NO_CONNECTION: &str = "it is late, and no member accepts a connection";

/// A request for a connection.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number that identifies the request.
    pub req: u64,
    /// Members that may run the request.
    pub requirement: Requirement,
    /// Name and rank under which the request is queued.
    pub key: RowKey,
    /// Organisation of the caller. The request runs only on connections of this organisation.
    pub organisation: OrganisationId,
    /// Limits and target wait of the name and rank, and the weight of the organisation.
    pub policy: Policy,
    /// When the caller sent the request.
    pub since: Time,
    /// When the request is refused if it has not started.
    pub deadline: Time,
}

/// Connection pool of one daemon for one group.
#[derive(Debug)]
pub struct Pool {
    members: Vec<Member>,
    shares: Shares,
    lead: Option<MemberId>,
    lead_until: Time,
    scheduler: Scheduler<u64>,
    waiting: FastMap<u64, Waiting>,
    running: FastMap<u64, Running>,
    history: PrimaryHistory,
    /// Whether connections are opened on demand, for the organisation of a request.
    by_organisation: bool,
    usage: FastMap<OrganisationId, Usage>,
    /// When the last request of each rank was queued.
    last_of_rank: [Option<Time>; Rank::COUNT],
    /// When the pool was first used, soon after the start of the process.
    started_at: Option<Time>,
    /// When disused entries of `usage` are removed next.
    next_cleanup: Time,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    requirement: Requirement,
    organisation: OrganisationId,
    rank: Rank,
}

/// A request that has been started and whose end has not been reported.
#[derive(Clone, Debug)]
struct Running {
    key: RowKey,
    organisation: OrganisationId,
    member: MemberId,
    conn: u64,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            members: Vec::new(),
            shares: Shares::NONE,
            lead: None,
            lead_until: Time::default(),
            scheduler: Scheduler::new(Discipline::DeferLate),
            waiting: FastMap::default(),
            running: FastMap::default(),
            history: PrimaryHistory::new(HISTORY_RETENTION),
            by_organisation: false,
            usage: FastMap::default(),
            last_of_rank: [None; Rank::COUNT],
            started_at: None,
            next_cleanup: Time::default(),
        }
    }
}

impl Pool {
    /// A pool that serves requests in the order of arrival. A baseline for experiments.
    #[cfg(test)]
    pub(crate) fn first_come() -> Pool {
        Pool { scheduler: Scheduler::new(Discipline::FirstCome), ..Pool::default() }
    }

    /// Updates the members from service discovery. A member that is no longer listed
    /// counts as leaving until its last connection is closed.
    pub fn set_members(&mut self, specs: &[MemberSpec], out: &mut Vec<Action>) {
        for member in &mut self.members {
            let known = specs.iter().find(|spec| spec.id == member.spec.id);
            match known {
                Some(spec) if spec.born == member.spec.born => member.spec = spec.clone(),
                Some(spec) => {
                    // The connections ended with the member's previous process.
                    for idle in member.idle.drain(..) {
                        member.open = member.open.saturating_sub(1);
                        out.push(Action::Close { conn: idle.conn });
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

    /// Sets this daemon's share of each member.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Opens connections on demand from now on, each for the organisation of a waiting request. The
    /// first request of an organisation has the same effect.
    pub fn enable_organisations(&mut self) {
        if std::mem::replace(&mut self.by_organisation, true) {
            return;
        }
        for waiting in self.waiting.values() {
            self.usage.entry(waiting.organisation).or_default().waiting += 1;
        }
    }

    /// Sets the primary and the time until which this daemon may use it.
    pub fn set_lead(&mut self, lead: Option<MemberId>, until: Time) {
        self.lead = lead;
        self.lead_until = until;
    }

    /// The primary; `None` if there is none or this daemon may not use it now.
    pub fn lead(&self, now: Time) -> Option<&MemberId> {
        self.lead.as_ref().filter(|_| now < self.lead_until)
    }

    /// A position that covers every commit acknowledged up to `age` before `now`. `None`
    /// if no position of the primary was requested since then.
    pub fn position_covering(&self, now: Time, age: Span) -> Option<Position> {
        self.history.position_covering(now, age)
    }

    /// Queues a request. The error is the reason if it is refused at once.
    pub fn enqueue(&mut self, now: Time, request: Request) -> Result<(), &'static str> {
        let lane = self.lane(now, request.requirement);
        self.refresh_slots(now);
        let rank = request.key.rank;
        self.last_of_rank[rank.index()] = Some(now);
        let Request { req, requirement, key, organisation, policy, since, deadline } = request;
        let queued = QueueRequest { item: req, key, organisation, policy, lane, since, deadline };
        self.scheduler.enqueue(now, queued).map_err(refusal_reason)?;
        if !organisation.is_shared() {
            self.enable_organisations();
        }
        self.waiting.insert(req, Waiting { requirement, organisation, rank });
        if self.by_organisation {
            let usage = self.usage.entry(organisation).or_default();
            usage.waiting += 1;
            usage.record(now);
        }
        Ok(())
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, req: u64) {
        self.scheduler.cancel(req);
        self.end_wait(req);
    }

    /// Records that a connection was opened for an organisation; it is idle now. Returns false if
    /// the member is no longer known, in which case the caller closes the connection.
    pub fn opened(
        &mut self,
        now: Time,
        member: &MemberId,
        conn: u64,
        organisation: OrganisationId,
    ) -> bool {
        let Some(member) = self.member_mut(member) else { return false };
        if let Some(took) = member.end_opening(now, organisation) {
            member.record_open_time(took);
        }
        member.full.clear();
        member.record_answer(now);
        member.idle.push(Idle { conn, organisation, since: now, used: false });
        true
    }

    /// Records that a connection could not be opened for an organisation; `refused` if the member's
    /// address refused it.
    pub fn open_failed(
        &mut self,
        now: Time,
        member: &MemberId,
        organisation: OrganisationId,
        refused: bool,
    ) {
        let Some(member) = self.member_mut(member) else { return };
        member.consecutive_refusals += u32::from(refused);
        member.end_opening(now, organisation);
        member.open = member.open.saturating_sub(1);
        member.health.record_failure(now);
        member.record_abandoned();
    }

    /// Records that a member declined a connection for an organisation because it has reached its
    /// limit.
    pub fn full(&mut self, now: Time, member: &MemberId, organisation: OrganisationId) {
        let by_organisation = self.by_organisation;
        let lost_until = *self.started_at.get_or_insert(now) + LOST_CONNECTIONS_HELD;
        let Some(member) = self.member_mut(member) else { return };
        let replaced = member.replacing > 0;
        member.end_opening(now, organisation);
        member.open = member.open.saturating_sub(1);
        if by_organisation {
            member.full.record(now, lost_until, replaced);
        } else {
            member.full.record_fixed(now);
        }
        member.record_answer(now);
    }

    /// Records that a connection is closed; `failed` if the member broke it.
    pub fn closed(&mut self, now: Time, member: &MemberId, conn: u64, failed: bool) {
        let Some(member) = self.member_mut(member) else { return };
        member.idle.retain(|idle| idle.conn != conn);
        member.busy.remove(&conn);
        member.open = member.open.saturating_sub(1);
        if failed {
            member.health.record_failure(now);
        }
    }

    /// Records that the user of a connection keeps it for an unknown time after its statement, as
    /// for an open transaction.
    pub fn held(&mut self, member: &MemberId, conn: u64) {
        let Some(member) = self.member_mut(member) else { return };
        if let Some(busy) = member.busy.get_mut(&conn) {
            busy.held = true;
        }
    }

    /// Returns a connection to the pool that can be used again.
    pub fn idle(&mut self, now: Time, member: &MemberId, conn: u64, out: &mut Vec<Action>) {
        let max_open = self.shares.max_open;
        let Some(member) = self.member_mut(member) else {
            return out.push(Action::Close { conn });
        };
        let busy = member.busy.remove(&conn);
        let organisation = busy.map_or(OrganisationId::SHARED, |busy| busy.organisation);
        let ended_with_process =
            !organisation.is_shared() && busy.is_some_and(|busy| busy.born != member.spec.born);
        if member.spec.leaving || member.open > max_open || ended_with_process {
            member.open = member.open.saturating_sub(1);
            return out.push(Action::Close { conn });
        }
        member.idle.push(Idle { conn, organisation, since: now, used: true });
    }

    /// Records that a statement is sent on a connection that is in use.
    pub fn statement_sent(&mut self, now: Time, member: &MemberId) {
        let Some(member) = self.member_mut(member) else { return };
        member.running += 1;
        member.record_request(now);
    }

    /// Records the end of a statement; `answered` is how long its answer took, or `None`
    /// if there was none.
    pub fn statement_done(&mut self, now: Time, member: &MemberId, answered: Option<Span>) {
        let Some(member) = self.member_mut(member) else { return };
        member.running = member.running.saturating_sub(1);
        match answered {
            Some(service) => {
                member.record_answer(now);
                member.record_latency(service);
                member.health.record_success();
            }
            None => member.record_abandoned(),
        }
    }

    /// Records the end of a request that was started. Its duration goes into the estimate
    /// of waiting times.
    pub fn request_done(&mut self, req: u64, service: Span) {
        let Some(Running { key, organisation, member, conn }) = self.running.remove(&req) else {
            return;
        };
        self.scheduler.finish_for(organisation, &key, service);
        if let Some(member) = self.member_mut(&member)
            && let Some(busy) = member.busy.get_mut(&conn)
        {
            busy.ended = true;
        }
    }

    /// Forgets a request that was started, if its end has not been recorded.
    pub fn abandon(&mut self, req: u64) {
        if let Some(Running { key, organisation, .. }) = self.running.remove(&req) {
            self.scheduler.abandon(organisation, &key);
        }
    }

    /// Records a member's position. `asked_at` is the time of the request for it, if the
    /// member has been the primary, with this daemon allowed to use it, ever since.
    pub fn record_position(
        &mut self,
        member: &MemberId,
        position: Position,
        asked_at: Option<Time>,
    ) {
        let Some(member) = self.member_mut(member) else { return };
        member.position = position;
        if let Some(asked_at) = asked_at {
            self.history.record(asked_at, position);
        }
    }

    /// Records that a member's log lacks `required`.
    pub fn record_behind(&mut self, now: Time, member: &MemberId, required: Position) {
        let Some(member) = self.member_mut(member) else { return };
        member.record_behind(now, required);
    }

    /// How long an answer of a member has been outstanding without any coming in; zero if
    /// none is outstanding.
    pub fn unanswered_for(&self, now: Time, member: &MemberId) -> Span {
        self.index(member).map_or(Span::ZERO, |index| self.members[index].unanswered_for(now))
    }

    /// Whether a member's address refuses connections and no connection to it is left.
    pub fn refuses_connections(&self, member: &MemberId) -> bool {
        self.index(member).is_some_and(|index| {
            let member = &self.members[index];
            member.consecutive_refusals >= MIN_CONSECUTIVE_REFUSALS && member.open == member.opening
        })
    }

    /// Whether a member answered within `span`.
    pub fn answered_within(&self, now: Time, member: &MemberId, span: Span) -> bool {
        self.index(member).is_some_and(|index| self.members[index].health.is_reachable(now, span))
    }

    /// Number of connections to a member that are open, and that are being opened.
    pub fn connections(&self, member: &MemberId) -> (u32, u32) {
        self.index(member).map_or((0, 0), |index| {
            let member = &self.members[index];
            (member.open - member.opening, member.opening)
        })
    }

    /// Number of waiting requests, and number of running statements.
    pub fn load(&self) -> (usize, u32) {
        (self.scheduler.waiting(), self.members.iter().map(|member| member.running).sum())
    }

    /// How long a request that arrives now is expected to wait; `None` if it is not known, or if
    /// requests are not queued by organisation.
    pub fn expected_wait(
        &self,
        now: Time,
        requirement: Requirement,
        organisation: OrganisationId,
        key: &RowKey,
    ) -> Option<Span> {
        let lane = self.lane(now, requirement);
        let is_known = lane == Lane::Replica || self.lead(now).is_some();
        (self.by_organisation && is_known)
            .then(|| self.scheduler.expected_wait(organisation, key, lane))
    }

    /// For organisations with waiting requests: how long a request that arrives now is expected to
    /// take until its end, by rank and lane.
    pub fn expected_ends(&self) -> impl Iterator<Item = (OrganisationId, Rank, Lane, Span)> {
        self.scheduler.expected_ends()
    }

    /// Refuses requests that are out of time, starts those that can run, and opens or
    /// closes connections.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        self.started_at.get_or_insert(now);
        self.expire(now, out);
        self.redirect_reads_to_primary(now);
        self.refresh_slots(now);
        for lane in [Lane::Primary, Lane::Replica] {
            if self.by_organisation {
                self.serve_lane(now, lane, out);
            } else {
                self.start_lane(now, lane, out);
            }
        }
        self.adjust_connections(now, out);
        self.remove_disused(now);
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        for req in self.scheduler.expire(now) {
            self.end_wait(req);
            out.push(Action::Refuse { req, reason: "its time ran out while it waited" });
        }
        for req in self.scheduler.shed_hopeless(now) {
            self.end_wait(req);
            out.push(Action::Refuse { req, reason: EXPECTED_WAIT });
        }
        let connected = self.members.iter().any(|member| member.open > member.opening);
        let reason = if connected { LATE_ALL_SLOTS_BUSY } else { LATE_NO_CONNECTION };
        for req in self.scheduler.shed_late(now) {
            self.end_wait(req);
            out.push(Action::Refuse { req, reason });
        }
    }

    /// Moves reads that no replica can serve to the primary's lane.
    fn redirect_reads_to_primary(&mut self, now: Time) {
        if self.lead(now).is_none() {
            return;
        }
        let (waiting, members, lead) = (&self.waiting, &self.members, self.lead.as_ref());
        let holds_everything = members.iter().any(|member| {
            Some(&member.spec.id) != lead && member.is_usable(now) && !member.is_behind(now)
        });
        if holds_everything {
            return;
        }
        self.scheduler.move_to_primary(|req| match waiting.get(&req).map(|it| it.requirement) {
            Some(Requirement::AtLeast(required)) => replica_fits(members, lead, now, required),
            _ => false,
        });
    }

    fn lane(&self, now: Time, requirement: Requirement) -> Lane {
        match requirement {
            Requirement::Primary => Lane::Primary,
            Requirement::AtLeast(required) => {
                let replica = replica_fits(&self.members, self.lead.as_ref(), now, required);
                if replica || self.lead(now).is_none() { Lane::Replica } else { Lane::Primary }
            }
        }
    }

    /// Updates how many requests each lane can run concurrently, for the estimate of waiting
    /// times.
    fn refresh_slots(&mut self, now: Time) {
        let share = self.shares.max_running;
        let usable = self.members.iter().filter(|member| member.is_usable(now));
        let replicas = usable.filter(|member| Some(&member.spec.id) != self.lead.as_ref()).count();
        self.scheduler.set_slots(Lane::Primary, share);
        self.scheduler.set_slots(Lane::Replica, share * (replicas as u32).max(1));
        if self.by_organisation {
            for rank in Rank::ALL {
                let slots = self.max_running_on_primary(now, rank);
                self.scheduler.set_rank_slots(Lane::Primary, rank, slots);
            }
        }
    }

    fn start_lane(&mut self, now: Time, lane: Lane, out: &mut Vec<Action>) {
        let mut unplaced = Vec::new();
        while let Some(free) = self.startable(now, lane) {
            let Some(picked) = self.scheduler.pick(now, lane, free) else { break };
            let Some(waiting) = self.waiting.get(&picked.item).copied() else { continue };
            match self.choose_member(now, waiting.requirement) {
                Some(index) => self.start(now, index, picked, out),
                None => unplaced.push(picked),
            }
        }
        for picked in unplaced.iter().rev() {
            self.scheduler.requeue(now, lane, picked);
        }
    }

    fn start(&mut self, now: Time, index: usize, picked: Picked<u64>, out: &mut Vec<Action>) {
        let member = &mut self.members[index];
        let organisation = picked.organisation;
        let Some(conn) = member.take_idle(now, organisation) else { return };
        member.record_request(now);
        member.running += 1;
        let member = member.spec.id.clone();
        self.end_wait(picked.item);
        let running = Running { key: picked.key, organisation, member: member.clone(), conn };
        self.running.insert(picked.item, running);
        out.push(Action::Start { req: picked.item, member, conn });
    }

    /// Forgets a request that no longer waits.
    fn end_wait(&mut self, req: u64) {
        let Some(waiting) = self.waiting.remove(&req) else { return };
        if let Some(usage) = self.usage.get_mut(&waiting.organisation) {
            usage.waiting = usage.waiting.saturating_sub(1);
        }
    }

    /// Number of a lane's requests that could start now; `None` if it is zero.
    fn startable(&self, now: Time, lane: Lane) -> Option<u32> {
        let lead = self.lead(now);
        let members = self.members.iter().filter(|member| member.is_usable(now));
        let eligible =
            members.filter(|member| lane == Lane::Replica || Some(&member.spec.id) == lead);
        let free: u32 = eligible.map(|member| member.startable(self.shares.max_running)).sum();
        (free > 0).then_some(free)
    }

    fn choose_member(&self, now: Time, requirement: Requirement) -> Option<usize> {
        let eligible = self.members.iter().enumerate().filter(|(_, member)| {
            self.fits(now, member, requirement) && member.startable(self.shares.max_running) > 0
        });
        let best = eligible.min_by_key(|(_, member)| self.completion(now, member, member.running));
        best.map(|(index, _)| index)
    }

    /// Whether a member may serve a request.
    fn fits(&self, now: Time, member: &Member, requirement: Requirement) -> bool {
        let is_primary = Some(&member.spec.id) == self.lead(now);
        let fits = match requirement {
            Requirement::Primary => is_primary,
            Requirement::AtLeast(required) => is_primary || member.may_hold(now, required),
        };
        fits && member.is_usable(now)
    }

    /// Measure of the time, in microseconds, that a request beside `others` takes on a member.
    fn completion(&self, now: Time, member: &Member, others: u32) -> u64 {
        let zone_cost = if member.spec.same_zone { 0 } else { CROSS_ZONE_COST.as_micros() };
        let is_primary = Some(&member.spec.id) == self.lead(now);
        let factor = if is_primary { PRIMARY_LOAD_FACTOR } else { 1 };
        u64::from(others + 1) * member.latency.as_micros() * factor + zone_cost
    }

    /// Opens and closes connections. Without waiting requests, it opens as many as are to be kept.
    /// While requests wait, it opens only connections that let another request start: each one
    /// occupies one of the member's slots for a while, which the waiting requests need.
    fn adjust_connections(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.by_organisation {
            return self.close_unneeded(now, out);
        }
        let requests_wait = self.scheduler.waiting() > 0;
        let Shares { kept, max_open, max_running } = self.shares;
        for member in &mut self.members {
            let wanted = match requests_wait {
                true if member.could_start_another(max_running) => max_open,
                true => 0,
                false => kept,
            };
            while member.may_open(now, wanted) {
                let organisation = OrganisationId::SHARED;
                member.start_opening(now, organisation);
                out.push(Action::Open { member: member.spec.id.clone(), organisation });
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

    fn member_mut(&mut self, id: &MemberId) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.spec.id == *id)
    }
}

/// Whether some replica can serve reads that require the position `required`.
fn replica_fits(
    members: &[Member],
    lead: Option<&MemberId>,
    now: Time,
    required: Position,
) -> bool {
    members.iter().any(|member| {
        Some(&member.spec.id) != lead && member.is_usable(now) && member.may_hold(now, required)
    })
}

fn refusal_reason(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::QueueFull => "as many wait as the limit allows",
        Refusal::WaitTooLong { .. } => EXPECTED_WAIT,
        Refusal::DeadlinePassed => "its time ran out while it waited",
    }
}
