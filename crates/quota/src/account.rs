use base::{Span, Time};

use crate::{
    Limit, WHOLE, demand::Demand, loans::Loans, own_share::OwnShare, seconds,
    token_bucket::TokenBucket,
};

/// One organisation's operations and its loans at this carrier.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) demand: Demand,
    /// The limit and the tokens, once an operation has needed one.
    bucket: Option<(Limit, TokenBucket)>,
    /// Loans by the identifier of the other carrier.
    loans: Vec<(u32, Loans)>,
    /// Whether a part of the own share has been lent since the account was created.
    has_lent: bool,
    /// Whether the bucket was credited with the time before the own share became usable.
    is_credited: bool,
    /// Demand that was reported last, if it was among the most important.
    pub(crate) reported: u32,
    /// Last time at which an operation arrived or a loan was in use.
    pub(crate) last_used: Time,
}

impl Account {
    pub(crate) fn new(now: Time) -> Account {
        Account {
            demand: Demand::new(now),
            bucket: None,
            loans: Vec::new(),
            has_lent: false,
            is_credited: false,
            reported: 0,
            last_used: now,
        }
    }

    /// Loans between this carrier and another one.
    pub(crate) fn loans_mut(&mut self, peer: u32) -> &mut Loans {
        let index = self.loans.iter().position(|(id, _)| *id == peer).unwrap_or_else(|| {
            self.loans.push((peer, Loans::default()));
            self.loans.len() - 1
        });
        &mut self.loans[index].1
    }

    /// Loans by carrier.
    pub(crate) fn loans(&self) -> impl Iterator<Item = (u32, &Loans)> {
        self.loans.iter().map(|(id, loans)| (*id, loans))
    }

    /// Parts of the limit that are usable at `at`.
    pub(crate) fn parts_at(&self, own: &OwnShare, at: Time) -> u32 {
        let borrowed = self.loans.iter().map(|(_, loans)| loans.borrowed_at(at));
        self.left_at(own, at) + borrowed.sum::<u32>()
    }

    /// Parts of the limit for which tokens can be saved up at `at`: those that are usable, and those
    /// of loans that have just expired, whose tokens cannot be taken until the loan is renewed.
    fn retained_at(&self, own: &OwnShare, at: Time) -> u32 {
        let retained = self.loans.iter().map(|(_, loans)| loans.retained_at(at));
        self.left_at(own, at) + retained.sum::<u32>()
    }

    /// Parts of the own share that are not lent at `at`.
    fn left_at(&self, own: &OwnShare, at: Time) -> u32 {
        let lent = self.loans.iter().map(|(_, loans)| loans.lent_at(at));
        own.parts_at(at).saturating_sub(lent.sum())
    }

    /// The rate of the parts that are usable at `at`, and the capacity of those that are retained.
    fn usable_at(&self, own: &OwnShare, limit: Limit, at: Time) -> Limit {
        let rate = limit.rate * fraction(self.parts_at(own, at));
        Limit { rate, capacity: limit.capacity * fraction(self.retained_at(own, at)) }
    }

    /// Fills the bucket up to `now`. Must be called before the own share or the loans become larger:
    /// the present ones count as those of the time since the last call.
    pub(crate) fn settle(&mut self, now: Time, own: &OwnShare) {
        let Some((limit, mut bucket)) = self.bucket.take() else { return };
        while bucket.updated_at() < now {
            let from = bucket.updated_at();
            let loans = self.loans.iter().flat_map(|(_, loans)| loans.changes());
            let later = own.changes().into_iter().chain(loans).filter(|at| *at > from);
            let until = later.min().map_or(now, |at| at.min(now));
            let usable = self.usable_at(own, limit, from);
            bucket.advance(until, usable.rate, usable.capacity);
        }
        let usable = self.usable_at(own, limit, now);
        if !self.is_credited && !self.has_lent && own.parts_at(now) > 0 {
            self.is_credited = true;
            bucket.add(own_tokens(own, limit, now, own.credit()));
        }
        bucket.advance(now, usable.rate, usable.capacity);
        self.bucket = Some((limit, bucket));
    }

    /// Takes a token, or returns the time after which to retry.
    pub(crate) fn take(&mut self, now: Time, own: &OwnShare, limit: Limit) -> Result<(), Span> {
        self.settle(now, own);
        let usable = self.usable_at(own, limit, now);
        let expired = self.retained_at(own, now) - self.parts_at(own, now);
        let reserved = limit.capacity * fraction(expired);
        let is_unused = !self.has_lent && own.parts_at(now) > 0;
        let (known, bucket) = self.bucket.get_or_insert_with(|| {
            // Without loans, the own share has been unused since it became usable.
            let unused = now.since(own.filled_since());
            self.is_credited = is_unused;
            let tokens = if is_unused { own_tokens(own, limit, now, unused) } else { 0.0 };
            (limit, TokenBucket::with_tokens(now, tokens))
        });
        *known = limit;
        let taken = bucket.take_above(now, usable.rate, usable.capacity, reserved);
        if taken.is_err() {
            self.demand.record_lack(now);
        }
        taken
    }

    /// Applies a limit from now on.
    pub(crate) fn set_limit(&mut self, now: Time, own: &OwnShare, limit: Limit) {
        self.settle(now, own);
        let usable = self.usable_at(own, limit, now);
        if let Some((known, bucket)) = &mut self.bucket {
            *known = limit;
            bucket.advance(now, usable.rate, usable.capacity);
        }
    }

    /// Returns the token that was taken at `taken_at`.
    pub(crate) fn give_back(&mut self, now: Time, own: &OwnShare, taken_at: Time) {
        self.settle(now, own);
        if let Some((_, bucket)) = &mut self.bucket {
            bucket.give_back(taken_at);
        }
    }

    /// Lends a part of the own share to another carrier.
    pub(crate) fn lend(&mut self, now: Time, own: &OwnShare, peer: u32, parts: u32, until: Time) {
        self.settle(now, own);
        self.has_lent = true;
        self.last_used = self.last_used.max(now);
        self.loans_mut(peer).lend(now, parts, until);
    }

    /// Replaces what another carrier lends, and returns whether it is less than before.
    pub(crate) fn borrow(
        &mut self,
        now: Time,
        own: &OwnShare,
        peer: u32,
        parts: u32,
        [until, retained_until]: [Time; 2],
    ) -> bool {
        self.settle(now, own);
        if parts > 0 {
            self.last_used = self.last_used.max(now);
        }
        let loans = self.loans_mut(peer);
        let previous = loans.borrowed_at(now);
        loans.borrow(parts, until, retained_until);
        loans.borrowed_at(now) < previous
    }

    /// Demand that another carrier has reported, in operations per 1,000 seconds.
    pub(crate) fn demand_of(&self, peer: u32) -> u32 {
        self.loans.iter().find(|(id, _)| *id == peer).map_or(0, |(_, loans)| loans.demand)
    }

    /// Forgets the loans to another carrier that a later message has replaced there.
    pub(crate) fn acknowledge(&mut self, now: Time, own: &OwnShare, peer: u32, received: Time) {
        self.settle(now, own);
        self.loans_mut(peer).acknowledge(received);
    }

    /// Whether a loan to another carrier counts as in use.
    pub(crate) fn lends_to(&self, now: Time, peer: u32) -> bool {
        self.loans.iter().any(|(id, loans)| *id == peer && loans.lent_at(now) > 0)
    }

    /// Demand relative to the limit; 0 if the limit is not known.
    pub(crate) fn utilisation(&self, demand: u32) -> f64 {
        let rate = self.bucket.as_ref().map_or(0.0, |(limit, _)| limit.rate);
        if rate > 0.0 { f64::from(demand) / rate } else { 0.0 }
    }

    /// Drops the loans that are unused, and returns whether any are left.
    pub(crate) fn prune_loans(&mut self, now: Time, own: &OwnShare) -> bool {
        self.settle(now, own);
        self.loans.retain(|(_, loans)| !loans.is_unused(now));
        !self.loans.is_empty()
    }
}

/// Tokens of the own share after it has been unused for a time.
fn own_tokens(own: &OwnShare, limit: Limit, now: Time, unused: Span) -> f64 {
    let own_limit = limit.scale(fraction(own.parts_at(now)));
    (own_limit.rate * seconds(unused)).min(own_limit.capacity)
}

/// The parts as a fraction of the whole.
pub(crate) fn fraction(parts: u32) -> f64 {
    f64::from(parts.min(WHOLE)) / f64::from(WHOLE)
}
