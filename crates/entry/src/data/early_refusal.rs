//! Refusal of operations that the carrier could not serve in time, by the load that it has reported.

use adapter::{Consistency, Verb};
use base::Span;
use organisations::Lookup;
use quota::OrganisationKey;
use serde_json::json;
use shedding::{EarlyRefusal, Operation, RefusalCause};

use crate::{
    clock,
    data::{
        operation_token::TOKEN_WAIT_DIVISOR,
        retry_hint::with_retry,
        serve::{OVER_LIMIT, rank_of},
        session::{Session, Transaction},
    },
    organisation_metrics::OrganisationCounter,
    shared::Counter,
};

/// Error text of an operation that would wait at its carrier beyond its deadline.
const BUSY_CARRIER: &str = "the expected wait exceeds the deadline";

impl Session {
    /// The error text if the next operation of a relayed session is refused. It has not run. `verb` is
    /// that of its first statement.
    pub(super) fn refuse_early(&mut self, verb: Verb) -> Option<String> {
        let reads = match self.tx {
            Transaction::None => verb == Verb::Fetch,
            Transaction::Pending { read_only } => read_only,
            // Its operation is under way.
            Transaction::Open(_) | Transaction::Relayed { .. } | Transaction::Failed => {
                return None;
            }
        };
        let now = clock::now();
        let carrier = self.relay.usable_carrier()?;
        if !self.cx.shedding.borrow().is_loaded(now, carrier) {
            return None;
        }
        let (route, _) = self.cx.route(&self.database)?;
        let organisation = {
            let config = self.cx.config.borrow();
            let Lookup::Found(organisation) = config.as_ref()?.organisations.lookup(&self.key)
            else {
                return None;
            };
            organisation.name.clone()
        };
        let operation = Operation {
            carrier,
            group: &route.group,
            organisation: OrganisationKey::new(&organisation),
            rank: rank_of(&route),
            needs_primary: !reads || route.consistency == Consistency::Strong,
            timeout: route.statement_timeout,
            max_token_wait: Span::from_micros(route.target.as_micros() / TOKEN_WAIT_DIVISOR),
        };
        let refusal = self.cx.shedding.borrow_mut().check(now, &operation)?;
        let EarlyRefusal { cause, wait, age } = refusal;
        self.cx.shared.count(Counter::RefusedEarly);
        if self.account.may_log() {
            logs::event(
                "refused early",
                &json!({"organisation": organisation, "group": route.group,
                    "carrier": carrier.to_string(), "cause": format!("{cause:?}"),
                    "wait_ms": wait.as_millis(), "evidence_age_ms": age.as_millis()}),
            );
        }
        let (reason, counter) = match cause {
            RefusalCause::Queue => (BUSY_CARRIER, OrganisationCounter::RefusedQueue),
            RefusalCause::Limit => (OVER_LIMIT, OrganisationCounter::RefusedQuota),
        };
        self.cx.shared.count_for(&organisation, counter);
        Some(with_retry(reason, wait))
    }
}
