use base::{FastMap, Span, Time};

use crate::{
    Limit, MAX_ORGANISATIONS, OrganisationKey, QuotaMessage, WHOLE,
    account::{Account, fraction},
    demand::REMEMBERED_DEMAND,
    own_share::OwnShare,
    peer::Peer,
};

/// How long a borrower may use a loan after it sent the heartbeat that the lender's message echoes.
/// Two intervals of heartbeats: carriers repeat a heartbeat that was lost. Not longer, because a lender
/// waits this long before it can use the part of a silent borrower again.
pub const LOAN_DURATION: Span = Span::from_millis(500);
/// Added to the duration of a loan before it counts as expired, because clocks run at slightly
/// different speeds.
const RECLAIM_MARGIN: Span = Span::from_millis(100);
/// How long a loan counts as in use after the receipt of the borrower's last heartbeat before it.
pub const RECLAIM_DELAY: Span =
    Span::from_millis(LOAN_DURATION.as_millis() + RECLAIM_MARGIN.as_millis());
/// How long the tokens of an expired loan are kept, without use, for the case that the loan is renewed:
/// less than [`RECLAIM_MARGIN`], so that the lender cannot have used the part in between.
const RETENTION: Span = Span::from_millis(80);
/// How long the state of an organisation or carrier is kept without use. Longer than the windows in
/// which operations are limited: the own share of an organisation counts as unused afterwards.
const IDLE_AFTER: Span = Span::from_millis(30_000);
/// Least time between two determinations of the own demand, which take time in proportion to the
/// number of organisations; heartbeats between rounds repeat the last one.
const REFRESH_INTERVAL: Span = Span::from_millis(20);
/// How long after demand has begun the parts of the limit may still be on their way here: what two
/// rounds of heartbeats take, of which the first may be lost.
const GATHERING: Span = Span::from_millis(500);
/// An owner that has demand itself retains at least this part of its share.
const RETAINED_DIVISOR: u32 = 10;
/// A loan is not reduced by less than one part in this many, since the random changes of demand
/// would reduce some loan in each message, and tokens are dropped each time.
const REDUCTION_DIVISOR: u32 = 8;

mod due;
mod expected;

/// This carrier's shares of the limits of all organisations.
#[derive(Debug)]
pub struct QuotaShares {
    own: OwnShare,
    /// Start of the process.
    started_at: Time,
    accounts: FastMap<OrganisationKey, Account>,
    peers: Vec<Peer>,
    last_peer: u32,
    /// Whether the list of carriers is known.
    is_listed: bool,
    /// When `demands` was determined.
    refreshed_at: Option<Time>,
    demands: Vec<(OrganisationKey, u32)>,
    /// Whether an operation lacked a token of an organisation without demand in `demands`.
    has_new_demand: bool,
    /// [`RETENTION`], unless a test injects a fault.
    pub(crate) retention: Span,
}

impl QuotaShares {
    /// Creates the shares of a process that starts at `now`. `slots` is the number of all carrier
    /// slots.
    pub fn new(now: Time, slots: usize) -> QuotaShares {
        QuotaShares {
            own: OwnShare::new(now + RECLAIM_DELAY, slots),
            started_at: now,
            accounts: FastMap::default(),
            peers: Vec::new(),
            last_peer: 0,
            is_listed: false,
            refreshed_at: None,
            demands: Vec::new(),
            has_new_demand: false,
            retention: RETENTION,
        }
    }

    /// Applies a number of all carrier slots. A smaller one takes effect once the other carriers
    /// must have applied it too.
    pub fn set_slots(&mut self, now: Time, slots: usize) {
        self.own.set_slots(now, slots);
    }

    /// Sets whether this carrier holds a slot, and so owns a share.
    pub fn set_slot(&mut self, now: Time, owner: bool) {
        self.own.set_owner(now, owner);
    }

    /// Sets the number of slots of lost carriers whose parts this carrier may use until a time, in
    /// addition to that of its own slot, without which it uses none.
    pub fn set_taken(&mut self, now: Time, slots: u32, until: Time) {
        let previous = self.own.taken_at(now);
        if slots != previous {
            for account in self.accounts.values_mut() {
                account.settle(now, &self.own);
            }
        }
        self.own.set_taken(now, slots, until);
        if self.own.taken_at(now) > previous {
            self.peers.iter_mut().for_each(|peer| peer.is_offered = false);
        }
    }

    /// Sets the time until which the own share may be used: the expiry of this carrier's grant.
    /// Tokens from before a time without a grant are dropped.
    pub fn set_grant(&mut self, now: Time, until: Time) {
        self.own.set_grant(now, until);
    }

    /// Sets the names of the other carriers in the list. Once each of them has received a heartbeat
    /// of this process, the own share can be used earlier than [`RECLAIM_DELAY`] after the start.
    ///
    /// The list must contain all carriers that may still use loans of a predecessor: those in the
    /// list that it used, unless they have been gone for longer than [`RECLAIM_DELAY`].
    ///
    /// If this carrier holds a slot when the list becomes known, it must have held it since before
    /// the start of the process.
    pub fn set_peers<'a>(&mut self, now: Time, names: impl IntoIterator<Item = &'a str>) {
        if !std::mem::replace(&mut self.is_listed, true) {
            self.own.set_listed();
        }
        for name in names {
            self.peer_index(now, name);
        }
        self.check_start(now);
    }

    /// Records that an operation has arrived, whether or not it gets a token.
    pub fn record(&mut self, now: Time, organisation: OrganisationKey) {
        let account = self.account(now, organisation);
        account.demand.record(now);
        account.last_used = now;
    }

    /// Takes a token for an operation that starts now. Otherwise returns the time after which there
    /// will be a token, if no other operation takes it and the shares do not change. Operations that
    /// wait should try again in the order of their arrival.
    pub fn take(
        &mut self,
        now: Time,
        organisation: OrganisationKey,
        limit: Limit,
    ) -> Result<(), Span> {
        let account = self.accounts.entry(organisation).or_insert_with(|| Account::new(now));
        account.last_used = now;
        let taken = account.take(now, &self.own, limit);
        self.has_new_demand |= taken.is_err() && account.reported <= REMEMBERED_DEMAND;
        taken
    }

    /// Whether demand for an organisation has begun here so recently that its parts of the limit, or
    /// the own share that was lent for want of demand, may still be on their way. An operation that
    /// gets no token should wait for them rather than be refused.
    pub fn is_gathering(&self, now: Time, organisation: OrganisationKey) -> bool {
        let Some(account) = self.accounts.get(&organisation) else { return false };
        now.since(account.demand.began_at()) < GATHERING
            && account.parts_at(&self.own, now) < self.own.parts()
    }

    /// Whether the demand for an organisation has begun since the last message to other carriers
    /// was determined. A round of heartbeats tells them of it.
    pub fn is_unannounced(&self, organisation: OrganisationKey) -> bool {
        let Some(account) = self.accounts.get(&organisation) else { return false };
        self.refreshed_at.is_none_or(|at| at <= account.demand.began_at())
    }

    /// Returns the token of an operation that has certainly not run.
    pub fn give_back(&mut self, now: Time, organisation: OrganisationKey, taken_at: Time) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.give_back(now, &self.own, taken_at);
        }
    }

    /// Applies a limit from now on, without waiting for the next operation.
    pub fn set_limit(&mut self, now: Time, organisation: OrganisationKey, limit: Limit) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.set_limit(now, &self.own, limit);
        }
    }

    /// Fraction of an organisation's limit that is usable here.
    pub fn fraction(&self, now: Time, organisation: OrganisationKey) -> f64 {
        fraction(self.parts(now, organisation))
    }

    /// Number of organisations whose state is kept.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no organisation's state is kept.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The message for a heartbeat to another carrier. The heartbeat must echo one that was received
    /// before `now`, and `now` must be the time that is recorded as its time of sending, or later.
    pub fn heartbeat_to(&mut self, now: Time, peer: &str) -> QuotaMessage {
        self.refresh(now);
        let index = self.peer_index(now, peer);
        let loans = self.lend(now, index);
        let peer = &mut self.peers[index];
        peer.send(now);
        peer.is_offered = self.own.parts_at(now) > 0;
        let (demands, unused_ms) = (self.demands.clone(), peer.unused_ms(now));
        QuotaMessage { sent: now.as_micros(), demands, loans, unused_ms }
    }

    /// Records a heartbeat of another carrier. `run` identifies the sender's process. `asked_at` is
    /// when this process sent the heartbeat that it echoes; `None` if it echoes none of this process.
    ///
    /// A carrier must call this for each heartbeat that it echoes, before it echoes it. `now` must
    /// have been read after the heartbeat was received.
    ///
    /// Returns whether a heartbeat to the sender is urgent: its process waits for an answer, or it
    /// has new demand, or waits for a part that this carrier uses no longer, or a heartbeat to it was
    /// lost. The caller should then send one at once, in addition to those of the rounds.
    pub fn receive(
        &mut self,
        now: Time,
        peer: &str,
        run: u64,
        asked_at: Option<Time>,
        message: &QuotaMessage,
    ) -> bool {
        let is_new = self.set_run(now, peer, run);
        if let Some(asked_at) = asked_at {
            self.acknowledge(now, peer, asked_at);
            let index = self.peer_index(now, peer);
            self.peers[index].set_unused_ms(now, message.unused_ms);
        }
        self.check_start(now);
        let is_awaited = self.apply(now, peer, asked_at, message);
        let index = self.peer_index(now, peer);
        let peer = &mut self.peers[index];
        let is_urgent = is_new || is_awaited || asked_at.is_some_and(|at| peer.has_missed(now, at));
        is_urgent && peer.may_answer(now)
    }

    /// Records the process that has sent a heartbeat. Loans of an earlier one are not used any more,
    /// since the present one may use or lend the same part.
    /// Returns whether nothing was heard of it before.
    pub(crate) fn set_run(&mut self, now: Time, peer: &str, run: u64) -> bool {
        let index = self.peer_index(now, peer);
        let is_new = !self.peers[index].has_run(run);
        if self.peers[index].set_run(now, run) {
            self.borrow(now, index, Time::default(), &[]);
        }
        is_new
    }

    /// Number of other carriers that may not have received a heartbeat of this process; `None` if
    /// the list of carriers is not known. Those that are not in the list but were heard count too.
    pub(crate) fn unanswered(&self) -> Option<usize> {
        self.is_listed.then(|| self.peers.iter().filter(|it| !it.has_answered()).count())
    }

    /// Records that no loan of a predecessor is in use any more.
    pub(crate) fn start(&mut self, now: Time) {
        let free_since = self.peers.iter().map(|peer| peer.free_since(now)).max();
        let unused_since = free_since.unwrap_or_default().max(self.started_at);
        self.own.start(now, unused_since);
    }

    /// Whether loans of a predecessor may be in use.
    pub fn is_starting(&self, now: Time) -> bool {
        self.own.is_starting(now)
    }

    fn check_start(&mut self, now: Time) {
        if self.is_starting(now) && self.unanswered() == Some(0) {
            self.start(now);
        }
    }

    /// Records that a carrier has received the heartbeat that was sent to it at `sent_at`. It does
    /// not use the loans of earlier messages any more.
    pub(crate) fn acknowledge(&mut self, now: Time, peer: &str, sent_at: Time) {
        let index = self.peer_index(now, peer);
        let peer = &mut self.peers[index];
        let Some(received) = peer.acknowledge(sent_at) else { return };
        for key in &peer.lent {
            if let Some(account) = self.accounts.get_mut(key) {
                account.acknowledge(now, &self.own, peer.id, received);
            }
        }
    }

    /// Applies demand and loans of another carrier, and returns whether it has new demand or has
    /// reduced a loan.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        peer: &str,
        asked_at: Option<Time>,
        message: &QuotaMessage,
    ) -> bool {
        let index = self.peer_index(now, peer);
        self.peers[index].has_new_demand = false;
        // A heartbeat without a message also replaces the loans of earlier ones, since the sender
        // takes its echo for one of its last message.
        if message.sent > 0 && !self.peers[index].hear(now, message.sent) {
            return false;
        }
        let has_new_demand = self.set_demands(now, index, &message.demands);
        self.peers[index].has_new_demand = has_new_demand;
        // The loans may be of any age if the message echoes nothing.
        let asked_at = asked_at.filter(|at| self.peers[index].is_lender(*at));
        let until = asked_at.map_or(Time::default(), |at| at.min(now) + LOAN_DURATION);
        let is_reduced = self.borrow(now, index, until, &message.loans);
        has_new_demand || is_reduced
    }

    /// Millionths of an organisation's limit that are usable here.
    pub(crate) fn parts(&self, now: Time, organisation: OrganisationKey) -> u32 {
        match self.accounts.get(&organisation) {
            Some(account) => account.parts_at(&self.own, now),
            None => self.own.parts_at(now),
        }
    }

    /// Replaces the demand of another carrier, and returns whether it has some that it had not.
    fn set_demands(&mut self, now: Time, index: usize, demands: &[(OrganisationKey, u32)]) -> bool {
        let demands = &demands[..demands.len().min(MAX_ORGANISATIONS)];
        let id = self.peers[index].id;
        let keys = demands.iter().map(|(key, _)| *key).collect();
        let previous = std::mem::replace(&mut self.peers[index].demanded, keys);
        let has_had = |key: &OrganisationKey| {
            let account = self.accounts.get(key);
            account.is_some_and(|it| it.demand_of(id) > REMEMBERED_DEMAND)
        };
        let has_new =
            demands.iter().any(|(key, demand)| *demand > REMEMBERED_DEMAND && !has_had(key));
        for key in previous {
            if let Some(account) = self.accounts.get_mut(&key) {
                account.loans_mut(id).demand = 0;
            }
        }
        for (key, demand) in demands {
            self.account(now, *key).loans_mut(id).demand = *demand;
        }
        has_new
    }

    /// Replaces the loans of another carrier, and returns whether one is smaller than before.
    fn borrow(
        &mut self,
        now: Time,
        index: usize,
        until: Time,
        loans: &[(OrganisationKey, u32)],
    ) -> bool {
        let mut is_reduced = false;
        let loans = &loans[..loans.len().min(MAX_ORGANISATIONS)];
        let peer = &mut self.peers[index];
        if !loans.is_empty() {
            peer.borrow(until);
        }
        let until = [until, until + self.retention];
        let keys = loans.iter().map(|(key, _)| *key).collect();
        let previous = std::mem::replace(&mut peer.borrowed, keys);
        for key in previous.iter().filter(|key| !peer.borrowed.contains(key)) {
            if let Some(account) = self.accounts.get_mut(key) {
                is_reduced |= account.borrow(now, &self.own, peer.id, 0, [now; 2]);
            }
        }
        for (key, parts) in loans {
            // Without an account, there is no demand here any more.
            if let Some(account) = self.accounts.get_mut(key) {
                let parts = (*parts).min(WHOLE);
                is_reduced |= account.borrow(now, &self.own, peer.id, parts, until);
            }
        }
        is_reduced
    }

    /// Determines the loans for a message to a carrier, and records them.
    fn lend(&mut self, now: Time, index: usize) -> Vec<(OrganisationKey, u32)> {
        let share = self.own.parts_at(now);
        let peer = &self.peers[index];
        if share == 0 || !peer.is_in_touch(now) {
            return Vec::new();
        }
        let in_touch: Vec<u32> =
            self.peers.iter().filter(|it| it.is_in_touch(now)).map(|it| it.id).collect();
        let (id, until, mut lent) = (peer.id, peer.reclaim_at(now), Vec::new());
        for key in &peer.demanded {
            let Some(account) = self.accounts.get_mut(key) else { continue };
            let parts = loan(now, share, account, id, &in_touch);
            if parts > 0 {
                account.lend(now, &self.own, id, parts, until);
                lent.push((*key, parts));
            }
        }
        let peer = &mut self.peers[index];
        for (key, _) in &lent {
            if !peer.lent.contains(key) {
                peer.lent.push(*key);
            }
        }
        lent
    }

    /// Determines the own demand and drops what is idle, once per round of heartbeats.
    fn refresh(&mut self, now: Time) {
        if self.own.has_due(now) {
            for account in self.accounts.values_mut() {
                account.settle(now, &self.own);
            }
            self.own.apply_pending();
        }
        if self.refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        self.drop_idle(now);
        let mut demands = Vec::new();
        self.has_new_demand = false;
        for (key, account) in &mut self.accounts {
            let demand = account.demand.per_1000_s(now);
            account.reported = demand;
            if demand > 0 {
                demands.push((account.utilisation(demand), *key, demand));
            }
        }
        if demands.len() > MAX_ORGANISATIONS {
            // Those that use little of their limits are served from the own share.
            demands.select_nth_unstable_by(MAX_ORGANISATIONS, |a, b| b.0.total_cmp(&a.0));
            demands.truncate(MAX_ORGANISATIONS);
        }
        self.demands = demands.into_iter().map(|(_, key, demand)| (key, demand)).collect();
    }

    fn drop_idle(&mut self, now: Time) {
        let (idle, active) = std::mem::take(&mut self.peers)
            .into_iter()
            .partition(|peer: &Peer| now.since(peer.last_heard) >= IDLE_AFTER);
        self.peers = active;
        for peer in idle {
            for key in &peer.demanded {
                if let Some(account) = self.accounts.get_mut(key) {
                    account.loans_mut(peer.id).demand = 0;
                }
            }
        }
        let accounts = &self.accounts;
        for peer in &mut self.peers {
            let id = peer.id;
            peer.lent.retain(|key| accounts.get(key).is_some_and(|it| it.lends_to(now, id)));
        }
        let own = &self.own;
        self.accounts.retain(|_, account| {
            now.since(account.last_used) < IDLE_AFTER
                || account.demand.per_1000_s(now) > 0
                || account.prune_loans(now, own)
        });
    }

    fn account(&mut self, now: Time, organisation: OrganisationKey) -> &mut Account {
        self.accounts.entry(organisation).or_insert_with(|| Account::new(now))
    }

    fn peer_index(&mut self, now: Time, name: &str) -> usize {
        self.peers.iter().position(|peer| peer.name == name).unwrap_or_else(|| {
            self.last_peer = self.last_peer.wrapping_add(1);
            self.peers.push(Peer::new(now, self.started_at, self.last_peer, name));
            self.peers.len() - 1
        })
    }
}

/// The part of the own `share` of an organisation's limit to lend to a carrier: according to the
/// demand at all carriers that are `in_touch`, and not more than is left by loans in use.
fn loan(now: Time, share: u32, account: &mut Account, borrower: u32, in_touch: &[u32]) -> u32 {
    let own_demand = account.demand.per_1000_s(now);
    let peers = || account.loans().filter(|(id, _)| in_touch.contains(id));
    let others: f64 = peers().map(|(_, loans)| weight(loans.demand)).sum();
    let Some((_, loans)) = account.loans().find(|(id, _)| *id == borrower) else { return 0 };
    if loans.demand == 0 {
        return 0;
    }
    let least = if own_demand > REMEMBERED_DEMAND { share / RETAINED_DIVISOR } else { 0 };
    let own_weight = weight(own_demand);
    let retained = (f64::from(share) * own_weight / (own_weight + others)).max(f64::from(least));
    let target = ((f64::from(share) - retained) * weight(loans.demand) / others) as u32;
    let last = loans.last_lent_at(now);
    let keeps_last = target < last && last - target <= last / REDUCTION_DIVISOR;
    let lent_to_others: u32 = account
        .loans()
        .filter(|(id, _)| *id != borrower)
        .map(|(_, loans)| loans.lent_at(now))
        .sum();
    let available = (share - least).saturating_sub(lent_to_others);
    if keeps_last { last } else { target }.min(available)
}

/// What the demand of a carrier counts for in the division of a limit: the demand, and its standard
/// deviation in one second. Small demand varies more, and the capacity in proportion to it could be
/// less than one token.
fn weight(per_1000_s: u32) -> f64 {
    let demand = f64::from(per_1000_s) / 1e3;
    demand + demand.sqrt()
}
