//! Decisions for pools whose connections belong to organisations.

use admission::{Candidate, Lane};
use base::{OrganisationId, Rank, Span, Time};

use crate::{
    action::Action,
    connection::Idle,
    member::Member,
    pool::{Pool, Waiting},
    requirement::Requirement,
    shares::Shares,
    usage::{MAX_INTERVAL, Usage},
};

/// A connection of another organisation is closed for an organisation that has one in use only if
/// it is not expected to be needed for this long. Opening it again costs a slot of the member for
/// a while, and waiting for the one in use usually takes less.
const MIN_SPARE_INTERVAL: Span = Span::from_millis(1000);
/// A connection that has just been opened is left to the request that it was opened for.
const FIRST_USE_TIMEOUT: Span = Span::from_millis(100);
/// A connection to a faster member is opened beside an idle one if the request is expected to end
/// there within this fraction of the time.
const FASTER_MEMBER_DIVISOR: u64 = 2;
/// Requests of less urgent ranks leave slots of the primary to a rank for this long after its last
/// request. It is long because the requests that other carriers have are not known: a carrier with
/// few urgent requests must not fill the primary with others.
const URGENT_WINDOW: Span = Span::from_millis(10_000);
/// A connection that has been idle for this many times the expected interval shows that its
/// organisation sends less than before. With 4, the random pauses of small organisations cost up to
/// 10.7 new connections per hundred requests in the replays, instead of 8.6.
const OUTDATED_AFTER_INTERVALS: u64 = 8;
/// A connection beyond the number to keep is closed if it is not expected to be needed for this
/// long. If this VM loses power, the members hold the connection for some seconds, in which others
/// need it. With 6 s, small organisations open up to 9.9 connections per hundred requests in the
/// replays, instead of 8.6.
const KEEP_HORIZON: Span = Span::from_millis(10_000);
/// The same is closed only after this time without a request, since the rate of an organisation that
/// has just begun to send is not known.
const MIN_IDLE_TIME: Span = Span::from_millis(3_000);
/// Interval at which records of organisations without requests are removed.
const CLEANUP_INTERVAL: Span = Span::from_millis(10_000);

/// What is done for a waiting request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Run it on an idle connection to the member with this index.
    Start { member: usize },
    /// Open a connection.
    Open { member: usize },
    /// Open a connection in place of an idle one.
    Replace { member: usize, idle: usize },
}

impl Pool {
    /// Starts the requests of a lane that can run, in scheduling order, and opens connections for
    /// those that lack one. A class for which nothing can be done is passed over, so that it does
    /// not hold up others.
    pub(super) fn serve_lane(&mut self, now: Time, lane: Lane, out: &mut Vec<Action>) {
        loop {
            let free = self.free_slots(now, lane);
            if free > 0 {
                self.scheduler.record_free_slot(now, lane);
            }
            let may_open =
                self.members.iter().any(|member| self.has_room(now, member, Rank::Submission));
            let can_proceed = |candidate: &Candidate<u64>| {
                // With many waiting organisations, most have no connection and none can be opened.
                (may_open || self.has_idle(candidate.organisation))
                    && self.step(now, lane, candidate).is_some()
            };
            let Some(next) = self.scheduler.next(now, lane, free, can_proceed) else { return };
            match self.step(now, lane, &next) {
                Some(Step::Start { member }) => {
                    let Some(picked) = self.scheduler.start(now, lane, &next) else { return };
                    self.start(now, member, picked, out);
                }
                Some(Step::Open { member }) => {
                    self.open_for(now, member, next.organisation, out);
                }
                Some(Step::Replace { member, idle }) => {
                    let place = &mut self.members[member];
                    place.open -= 1;
                    place.replacing += 1;
                    out.push(Action::Close { conn: place.idle.remove(idle).conn });
                    self.open_for(now, member, next.organisation, out);
                }
                None => return,
            }
        }
    }

    /// Closes the idle connections that are not expected to be needed soon. Connections of
    /// organisations are opened only on demand.
    pub(super) fn close_unneeded(&mut self, now: Time, out: &mut Vec<Action>) {
        for index in 0..self.members.len() {
            while let Some(conn) = self.take_unneeded(now, index) {
                self.members[index].open -= 1;
                out.push(Action::Close { conn });
            }
        }
    }

    /// Removes the records of organisations that have sent no request for some time.
    pub(super) fn remove_disused(&mut self, now: Time) {
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.usage.retain(|_, usage| !usage.is_disused(now));
        }
    }

    fn open_for(
        &mut self,
        now: Time,
        member: usize,
        organisation: OrganisationId,
        out: &mut Vec<Action>,
    ) {
        let member = &mut self.members[member];
        member.start_opening(now, organisation);
        out.push(Action::Open { member: member.spec.id.clone(), organisation });
    }

    /// Number of free slots of the members that serve a lane.
    fn free_slots(&self, now: Time, lane: Lane) -> u32 {
        let lead = self.lead(now);
        let usable = self.members.iter().filter(|member| member.is_usable(now));
        let serving = usable.filter(|it| lane == Lane::Replica || Some(&it.spec.id) == lead);
        serving.map(|member| self.shares.max_running.saturating_sub(member.running)).sum()
    }

    /// What can be done for a request now. `None` if it has to wait: for a connection that its
    /// organisation has in use or that is being opened, or for one of another organisation.
    fn step(&self, now: Time, lane: Lane, candidate: &Candidate<u64>) -> Option<Step> {
        let waiting = *self.waiting.get(&candidate.item)?;
        let Waiting { requirement, organisation, rank } = waiting;
        let opened = self.fastest(now, requirement, |member| {
            self.may_open(now, member, organisation, rank)
                .then(|| self.completion_when_opened(now, member))
        });
        let idle = self.fastest(now, requirement, |member| {
            let is_ready = member.running < self.max_running(now, member, rank)
                && member.idle_of(organisation) > 0;
            is_ready.then(|| self.completion(now, member, member.load()))
        });
        if let Some(idle) = idle {
            return self.step_with_idle(now, &waiting, idle, opened);
        }
        let requests = self.usage(organisation).waiting;
        if self.opening(now, organisation) >= requests {
            return None;
        }
        let wanted = if lane == Lane::Primary { candidate.waiting } else { requests };
        let eligible = self.members.iter().filter(|member| self.fits(now, member, requirement));
        let supply: u32 = eligible.map(|member| available_soon(now, member, organisation)).sum();
        if supply >= wanted {
            return None;
        }
        match opened {
            Some((_, member)) => Some(Step::Open { member }),
            None => self.replace(now, &waiting),
        }
    }

    /// What is done for a request whose organisation has an idle connection. `idle` and `opened`
    /// are the members where it would end first on that one, and on a new one.
    fn step_with_idle(
        &self,
        now: Time,
        waiting: &Waiting,
        (completion, member): (u64, usize),
        opened: Option<(u64, usize)>,
    ) -> Option<Step> {
        let organisation = waiting.organisation;
        let is_faster = |other: u64| other * FASTER_MEMBER_DIVISOR < completion;
        let opening = self.opening(now, organisation);
        let faster_opening = self.fastest(now, waiting.requirement, |member| {
            (member.opening_soon(now, organisation) > 0)
                .then(|| self.completion_when_opened(now, member))
        });
        if faster_opening.is_some_and(|(other, _)| is_faster(other)) {
            let is_taken = opening < self.usage(organisation).waiting;
            return is_taken.then_some(Step::Start { member });
        }
        match opened {
            Some((other, faster)) if opening == 0 && is_faster(other) => {
                Some(Step::Open { member: faster })
            }
            _ => Some(Step::Start { member }),
        }
    }

    /// The connection that is replaced for a request whose organisation has no idle one, where no
    /// other can be opened.
    fn replace(&self, now: Time, waiting: &Waiting) -> Option<Step> {
        let Waiting { requirement, organisation, rank } = *waiting;
        let eligible = self.members.iter().enumerate();
        let eligible = eligible.filter(|(_, member)| self.fits(now, member, requirement));
        let in_use = eligible.clone().any(|(_, member)| {
            let mut busy = member.busy.values().filter(|busy| busy.organisation == organisation);
            member.opening_of(organisation) > 0 || busy.any(|busy| !busy.held)
        });
        let min_interval = if in_use { MIN_SPARE_INTERVAL } else { Span::ZERO };
        let replaceable = eligible.filter_map(|(index, member)| {
            let (interval, idle) = self.least_needed(now, member, organisation, rank)?;
            (interval >= min_interval).then_some((interval, index, idle))
        });
        let (_, member, idle) = replaceable.max_by_key(|(interval, ..)| *interval)?;
        Some(Step::Replace { member, idle })
    }

    /// The least of the values of members that may serve a request, and the index of the member.
    fn fastest(
        &self,
        now: Time,
        requirement: Requirement,
        value: impl Fn(&Member) -> Option<u64>,
    ) -> Option<(u64, usize)> {
        let eligible = self.members.iter().enumerate();
        let eligible = eligible.filter(|(_, member)| self.fits(now, member, requirement));
        eligible.filter_map(|(index, member)| Some((value(member)?, index))).min()
    }

    /// Number of statements on a member up to which requests of a rank are started. On the primary,
    /// it is lower for all but the most urgent rank of the last time.
    fn max_running(&self, now: Time, member: &Member, rank: Rank) -> u32 {
        if Some(&member.spec.id) == self.lead(now) {
            self.max_running_on_primary(now, rank)
        } else {
            self.shares.max_running
        }
    }

    /// The same for the primary.
    pub(super) fn max_running_on_primary(&self, now: Time, rank: Rank) -> u32 {
        let is_recent = |at: &Option<Time>| at.is_some_and(|at| now.since(at) < URGENT_WINDOW);
        if self.last_of_rank[..rank.index()].iter().any(is_recent) {
            self.shares.max_running_beside_urgent()
        } else {
            self.shares.max_running
        }
    }

    /// Number of connections that are being opened for an organisation and are expected soon.
    fn opening(&self, now: Time, organisation: OrganisationId) -> u32 {
        self.members.iter().map(|member| member.opening_soon(now, organisation)).sum()
    }

    /// Whether an organisation has an idle connection.
    fn has_idle(&self, organisation: OrganisationId) -> bool {
        self.members.iter().any(|member| member.idle_of(organisation) > 0)
    }

    /// Whether a connection may be opened to a member, if need be in place of an idle one.
    fn has_room(&self, now: Time, member: &Member, rank: Rank) -> bool {
        let (max_open, max_running) = (self.shares.max_open, self.max_running(now, member, rank));
        let closable = u32::from(!member.idle.is_empty());
        member.may_open_for_organisation(now, max_open, max_running, closable)
    }

    /// Whether a connection may be opened to a member without closing another one.
    fn may_open(
        &self,
        now: Time,
        member: &Member,
        organisation: OrganisationId,
        rank: Rank,
    ) -> bool {
        let (max_open, max_running) = (self.shares.max_open, self.max_running(now, member, rank));
        member.may_open_for_organisation(now, max_open, max_running, 0)
            && self.may_have_another(now, member, organisation)
    }

    /// Whether an organisation may open another connection to a member: it may have one less than
    /// the share, since all of them may be held by open transactions while others wait, and it does
    /// not repeat an attempt that is not answered.
    fn may_have_another(&self, now: Time, member: &Member, organisation: OrganisationId) -> bool {
        let limit = self.shares.max_open.saturating_sub(1).max(1);
        member.connections_of(organisation) < limit
            && member.opening_of(organisation) == member.opening_soon(now, organisation)
    }

    /// The idle connection of another organisation that is least likely to be needed soon, with the
    /// expected time until then, if one may be opened in its place.
    fn least_needed(
        &self,
        now: Time,
        member: &Member,
        organisation: OrganisationId,
        rank: Rank,
    ) -> Option<(Span, usize)> {
        if !self.has_room(now, member, rank) || !self.may_have_another(now, member, organisation) {
            return None;
        }
        let others = member.idle.iter().enumerate();
        let others = others.filter(|(_, idle)| idle.organisation != organisation);
        let unneeded = others.filter_map(|(index, idle)| {
            Some((self.interval_until_needed(now, member, idle)?, index))
        });
        unneeded.max_by_key(|(interval, index)| (*interval, std::cmp::Reverse(*index)))
    }

    /// Expected time until an idle connection is needed; `None` if it must not be closed.
    fn interval_until_needed(&self, now: Time, member: &Member, idle: &Idle) -> Option<Span> {
        let usage = self.usage(idle.organisation);
        let idle_for = now.since(idle.since);
        if usage.waiting > 0 {
            let is_reserved = !idle.used && idle_for < FIRST_USE_TIMEOUT;
            return (!is_reserved).then_some(Span::ZERO);
        }
        let interval = self.interval_of_use(now, member, &usage, idle.organisation);
        let outdated = interval.as_micros().saturating_mul(OUTDATED_AFTER_INTERVALS);
        Some(if idle_for.as_micros() > outdated { idle_for } else { interval })
    }

    /// Expected time between two uses of the connection to a member that an organisation uses last.
    /// The most recently used ones are used first, so another one is needed only if a request arrives
    /// while all others are in use.
    fn interval_of_use(
        &self,
        now: Time,
        member: &Member,
        usage: &Usage,
        organisation: OrganisationId,
    ) -> Span {
        let requests = usage.interval(now).as_micros();
        let statements_per_interval = requests / member.latency.as_micros().max(1);
        let mut interval = requests;
        for _ in 1..member.idle_of(organisation) {
            interval = interval.saturating_mul(1 + statements_per_interval);
        }
        Span::from_micros(interval.min(MAX_INTERVAL.as_micros()))
    }

    /// Removes and returns an idle connection to a member that should be closed.
    fn take_unneeded(&mut self, now: Time, index: usize) -> Option<u64> {
        let Shares { kept, max_open, .. } = self.shares;
        let member = &self.members[index];
        let place = if member.spec.leaving || member.open > max_open {
            // None is kept, also not for the request that it was opened for.
            let until_needed = |idle| self.interval_until_needed(now, member, idle);
            let all = member.idle.iter().enumerate();
            all.max_by_key(|(_, idle)| until_needed(idle)).map(|(place, _)| place)
        } else if member.open > kept {
            let is_unneeded = |idle: &Idle| {
                now.since(idle.since) >= MIN_IDLE_TIME
                    && self.interval_until_needed(now, member, idle) >= Some(KEEP_HORIZON)
            };
            member.idle.iter().position(is_unneeded)
        } else {
            None
        }?;
        Some(self.members[index].idle.remove(place).conn)
    }

    fn completion_when_opened(&self, now: Time, member: &Member) -> u64 {
        self.completion(now, member, member.load()) + member.open_time.as_micros()
    }

    fn usage(&self, organisation: OrganisationId) -> Usage {
        self.usage.get(&organisation).copied().unwrap_or_default()
    }
}

/// Number of connections of an organisation to a member that become idle before another one could
/// be opened.
fn available_soon(now: Time, member: &Member, organisation: OrganisationId) -> u32 {
    let busy = member.busy.values().filter(|busy| busy.organisation == organisation);
    let soon = busy.filter(|busy| {
        busy.idle_in(now, member.latency).is_some_and(|span| span <= member.open_time)
    });
    soon.count() as u32 + member.opening_soon(now, organisation)
}
