use std::{sync::Arc, time::Duration};

use base::{Span, Time};
use monoio::time;
use organisations::Organisation;
use quota::{Limit, OrganisationKey};

use crate::{
    clock,
    control::Event,
    data::{context::Context, session::Session},
    messages::Report,
    organisation_metrics::OrganisationCounter,
    shared::Counter,
};

/// An operation waits for a token of its organisation for at most one part in this many of its target
/// latency. If it is refused after that, its caller has most of the time left to retry.
const TOKEN_WAIT_DIVISOR: u64 = 4;
/// Fraction of the operations that are allowed in a window which can be saved up for a burst.
const SAVED_FRACTION: f64 = 0.05;
/// Number of tokens that can be saved up at least, as far as the limit allows: enough for the random
/// fluctuations of a few operations per second, and a whole token for each of 12 carriers.
const MIN_CAPACITY: f64 = 16.0;

/// How often an operation checks whether the part of the limit has arrived that other carriers hold
/// while this one has no demand. They answer within a few milliseconds.
const GATHERING_CHECK_INTERVAL: Span = Span::from_millis(2);

/// Bound of the time for which an operation is computed to wait behind others, in seconds: far longer
/// than any operation waits.
const MAX_QUEUE_S: f64 = 3_600.0;

/// Longest time after which a refused caller is told to retry.
const MAX_RETRY_DELAY: Span = Span::from_millis(1_000);

/// A token of an organisation's limit, which one operation uses.
#[derive(Debug)]
pub(super) struct OperationToken {
    organisation: Arc<Organisation>,
    key: OrganisationKey,
    taken_at: Time,
}

impl Context {
    /// The limit of an organisation over the whole fleet; `None` if it has none. The operator limits
    /// the operations in each window, so what the window allows is divided between tokens that can
    /// be saved up and tokens that are added during the window: the fewer can be saved up, the more
    /// an organisation can use that sends too much all the time.
    fn quota_limit(&self, organisation: &Organisation) -> Option<Limit> {
        let limit = organisation.limit?;
        let window = self.quota.window.as_micros() as f64 / 1e6;
        let nominal = limit.per_second * window + limit.burst;
        let allowed = nominal * (1.0 + self.quota.overshoot) + self.quota.slack;
        let capacity = (allowed * SAVED_FRACTION).max(MIN_CAPACITY).min(allowed);
        Some(Limit { rate: (allowed - capacity) / window, capacity })
    }

    /// Applies the limits of the configuration in force, without waiting for further operations.
    pub(super) fn apply_quota_limits(&self) {
        let config = self.config.borrow();
        let Some(config) = config.as_ref() else { return };
        let now = clock::now();
        let mut shares = self.shared.quota_shares();
        for organisation in config.organisations.organisations() {
            if let Some(limit) = self.quota_limit(organisation) {
                shares.set_limit(now, OrganisationKey::new(&organisation.name), limit);
            }
        }
        drop(shares);
        let mut metrics = self.shared.organisations();
        for organisation in config.organisations.organisations() {
            let limit = organisation.limit.map(|limit| limit.per_second);
            metrics.set_limit(&organisation.name, limit);
        }
    }
}

/// Counts an operation that waits for a token for as long as it exists.
struct Waiter<'a> {
    cx: &'a Context,
    organisation: OrganisationKey,
}

impl<'a> Waiter<'a> {
    fn new(cx: &'a Context, organisation: OrganisationKey) -> Waiter<'a> {
        *cx.token_waiters.borrow_mut().entry(organisation).or_default() += 1;
        Waiter { cx, organisation }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut waiters = self.cx.token_waiters.borrow_mut();
        if let Some(count) = waiters.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                waiters.remove(&self.organisation);
            }
        }
    }
}

impl Session {
    /// Takes a token for an operation of the organisation with a target latency, of which it may
    /// wait for a part. `None` if the operation needs none; the error is the time after which to
    /// retry.
    pub(super) async fn take_token(
        &self,
        organisation: Option<&Arc<Organisation>>,
        target: Span,
    ) -> Result<Option<OperationToken>, Span> {
        let Some(organisation) = organisation else { return Ok(None) };
        let Some(limit) = self.cx.quota_limit(organisation) else { return Ok(None) };
        let name = &organisation.name;
        let key = OrganisationKey::new(name);
        let end = clock::now() + Span::from_micros(target.as_micros() / TOKEN_WAIT_DIVISOR);
        self.cx.shared.quota_shares().record(clock::now(), key);
        let mut waiter = None;
        loop {
            let now = clock::now();
            let (taken, share, gathering) = {
                let mut shares = self.cx.shared.quota_shares();
                let taken = shares.take(now, key, limit);
                let gathering = (taken.is_err() && shares.is_gathering(now, key))
                    .then(|| shares.is_unannounced(key));
                (taken, shares.fraction(now, key), gathering)
            };
            let Err(next) = taken else {
                self.cx.shared.count(Counter::QuotaTokens);
                self.count_limited(organisation, OrganisationCounter::Tokens);
                let organisation = Arc::clone(organisation);
                return Ok(Some(OperationToken { organisation, key, taken_at: now }));
            };
            // Operations that have waited for longer take the next tokens.
            let ahead = match &waiter {
                Some(_) => 0.0,
                None => {
                    f64::from(self.cx.token_waiters.borrow().get(&key).copied().unwrap_or_default())
                }
            };
            // Endless while no part of the limit is usable here.
            let is_behind = ahead > 0.0;
            let behind =
                if is_behind { (ahead / (limit.rate * share)).min(MAX_QUEUE_S) } else { 0.0 };
            let mut wait = next + Span::from_micros((behind * 1e6) as u64);
            if let Some(is_unannounced) = gathering.filter(|_| now < end) {
                if is_unannounced {
                    // Fails only during shutdown.
                    let _ = self.cx.events.unbounded_send(Event::Data(Report::QuotaDemand));
                }
                wait = wait.min(GATHERING_CHECK_INTERVAL);
            } else if now + wait > end {
                self.cx.shared.count(Counter::QuotaRefused);
                self.count_limited(organisation, OrganisationCounter::TokensRefused);
                logs::event(
                    "operation over limit",
                    &serde_json::json!({"organisation": name, "rate": limit.rate,
                        "capacity": limit.capacity, "share": share,
                        "retry_ms": wait.as_millis(),
                        "config_age_ms": self.cx.config_age_ms()}),
                );
                return Err(wait.min(MAX_RETRY_DELAY));
            }
            waiter.get_or_insert_with(|| Waiter::new(&self.cx, key));
            time::sleep(Duration::from_micros(wait.as_micros())).await;
        }
    }

    fn count_limited(&self, organisation: &Organisation, counter: OrganisationCounter) {
        let limit = organisation.limit.map(|limit| limit.per_second);
        self.cx.shared.organisations().count_limited(&organisation.name, counter, limit);
    }

    /// Returns the token of an operation of which nothing was run.
    pub(super) fn refund(&self, token: Option<OperationToken>) {
        let Some(OperationToken { organisation, key, taken_at }) = token else { return };
        self.cx.shared.count(Counter::QuotaRefunded);
        self.cx.shared.count_for(&organisation.name, OrganisationCounter::TokensRefunded);
        self.cx.shared.quota_shares().give_back(clock::now(), key, taken_at);
    }
}
