use base::Time;

use super::QuotaShares;
use crate::{Limit, OrganisationKey, account::fraction};

/// Part of what the reachable carriers own from which on no more is expected to come.
const MOST: f64 = 0.9;

impl QuotaShares {
    /// Whether a larger part of an organisation's limit can be expected here soon: shares are starting,
    /// or operations have become more here, and the organisation uses less than its limit over all
    /// carriers. An operation that lacks a token should then wait for the loan. Carriers that are not in
    /// touch lend nothing, so their parts do not count.
    pub fn expects_loan(&mut self, now: Time, organisation: OrganisationKey, limit: Limit) -> bool {
        let in_touch: Vec<u32> =
            self.peers.iter().filter(|it| it.is_in_touch(now)).map(|it| it.id).collect();
        let reachable = fraction(self.own.parts() * (1 + in_touch.len() as u32));
        let has_most = self.fraction(now, organisation) >= reachable * MOST;
        let Some(account) = self.accounts.get_mut(&organisation).filter(|_| !has_most) else {
            return false;
        };
        let begins = self.own.has_begun_at(now);
        let Some((demand, before)) = account.demand.rise(now, begins) else { return false };
        // If operations have moved, the carrier that had them may not have noticed: its demand and
        // the new one here do not add up.
        let others = account.loans().filter(|(id, _)| in_touch.contains(id));
        let others: f64 = others.map(|(_, loans)| f64::from(loans.demand) / 1e3).sum();
        let rate = limit.rate * reachable;
        demand < rate && before + others < rate
    }
}
