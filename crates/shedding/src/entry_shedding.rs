use std::net::SocketAddr;

use base::{FastMap, Rank, Span, Time};
use quota::OrganisationKey;

use crate::load_report::{LoadReport, RankWaits};

/// Age from which on a report refuses nothing.
const MAX_EVIDENCE_AGE: Span = Span::from_millis(1_000);
/// Interval at which a request that would be refused is let through, for each organisation and group.
/// It is longer than that of the reports, since every daemon sends probes of its own.
const PROBE_INTERVAL: Span = Span::from_millis(500);
/// Number of recorded probes from which on old ones are removed.
const MAX_PROBES: usize = 4_096;

/// Loads that carriers have reported, by which requests are refused where they enter.
#[derive(Debug, Default)]
pub struct EntryShedding {
    carriers: FastMap<SocketAddr, Evidence>,
    /// When a request was last let through, by organisation and group.
    probes: FastMap<(OrganisationKey, String), Time>,
}

/// The last report of a carrier.
#[derive(Debug)]
struct Evidence {
    /// When the heartbeat was sent to which the report is an answer.
    asked_at: Time,
    /// Earliest time at which each estimate may have been made, and the expected waits.
    waits: FastMap<(OrganisationKey, String), (Time, RankWaits)>,
    limits: FastMap<OrganisationKey, (Time, Span)>,
}

/// An operation that is about to be passed on to a carrier.
#[derive(Clone, Copy, Debug)]
pub struct Operation<'a> {
    /// Session address of the carrier.
    pub carrier: SocketAddr,
    /// Group of the operation's database.
    pub group: &'a str,
    /// Organisation of the caller.
    pub organisation: OrganisationKey,
    /// Rank of the operation.
    pub rank: Rank,
    /// Whether only the primary can serve it.
    pub needs_primary: bool,
    /// Time left until its deadline.
    pub timeout: Span,
    /// How long it may wait for a token of its organisation's limit.
    pub max_token_wait: Span,
}

/// Why an operation is refused where it enters. It has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EarlyRefusal {
    /// The rule by which it is refused.
    pub cause: RefusalCause,
    /// When it would be served, by the same evidence.
    pub wait: Span,
    /// Age of the evidence.
    pub age: Span,
}

/// A rule of [`EntryShedding::check`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// It cannot be served before its deadline.
    Queue,
    /// Its organisation is over its limit for longer than it may wait.
    Limit,
}

impl EntryShedding {
    /// Records a report of the carrier with this session address, the answer to a heartbeat that was
    /// sent at `asked_at`. Reports that arrive out of order are ignored.
    pub fn record(&mut self, asked_at: Time, carrier: SocketAddr, report: &LoadReport) {
        if self.carriers.get(&carrier).is_some_and(|known| asked_at < known.asked_at) {
            return;
        }
        let at = |age_ms: u32| asked_at.before(Span::from_millis(u64::from(age_ms)));
        let waits = report
            .waits
            .iter()
            .map(|it| ((it.organisation, it.group.clone()), (at(it.age_ms), it.waits_ms)));
        let limits = report.limits.iter().map(|it| {
            let wait = Span::from_millis(u64::from(it.wait_ms));
            (it.organisation, (at(it.age_ms), wait))
        });
        let evidence = Evidence { asked_at, waits: waits.collect(), limits: limits.collect() };
        self.carriers.insert(carrier, evidence);
    }

    /// Whether an operation may be refused at a carrier.
    pub fn is_loaded(&self, now: Time, carrier: SocketAddr) -> bool {
        self.carriers.get(&carrier).is_some_and(|evidence| {
            let is_empty = evidence.waits.is_empty() && evidence.limits.is_empty();
            !is_empty && fresh(now, evidence.asked_at).is_some()
        })
    }

    /// Forgets the reports of carriers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(SocketAddr) -> bool) {
        self.carriers.retain(|carrier, _| is_listed(*carrier));
    }

    /// Whether an operation is refused at once. One in a while is let through nevertheless, so that
    /// wrong evidence does not persist.
    pub fn check(&mut self, now: Time, operation: &Operation) -> Option<EarlyRefusal> {
        let evidence = self.carriers.get(&operation.carrier)?;
        let key = (operation.organisation, operation.group.to_owned());
        let refusal = evidence
            .limit_refusal(now, operation)
            .or_else(|| evidence.queue_refusal(now, operation, &key))?;
        let last_probe = self.probes.get(&key);
        if last_probe.is_none_or(|at| now.since(*at) >= PROBE_INTERVAL) {
            if self.probes.len() >= MAX_PROBES {
                self.probes.retain(|_, at| now.since(*at) < PROBE_INTERVAL);
            }
            self.probes.insert(key, now);
            return None;
        }
        Some(refusal)
    }
}

impl Evidence {
    fn limit_refusal(&self, now: Time, operation: &Operation) -> Option<EarlyRefusal> {
        let (at, wait) = *self.limits.get(&operation.organisation)?;
        let age = fresh(now, at)?;
        // Tokens become available as time passes.
        let wait = remaining(wait, age);
        let refused = wait > operation.max_token_wait;
        refused.then_some(EarlyRefusal { cause: RefusalCause::Limit, wait, age })
    }

    fn queue_refusal(
        &self,
        now: Time,
        operation: &Operation,
        key: &(OrganisationKey, String),
    ) -> Option<EarlyRefusal> {
        let (at, waits) = self.waits.get(key)?;
        let age = fresh(now, *at)?;
        let [primary, replica] = waits.map(|by_rank| by_rank[operation.rank.index()]);
        // Whether a replica can serve a read is only known at the carrier.
        let wait_ms = if operation.needs_primary { primary } else { primary.min(replica) };
        let wait = Span::from_millis(u64::from(wait_ms));
        let refused = wait > operation.timeout;
        refused.then_some(EarlyRefusal {
            cause: RefusalCause::Queue,
            wait: remaining(wait, age),
            age,
        })
    }
}

/// The age of evidence; `None` if it is too old to be used.
fn fresh(now: Time, at: Time) -> Option<Span> {
    let age = now.since(at);
    (age < MAX_EVIDENCE_AGE).then_some(age)
}

/// What is left of a wait that was estimated some time ago.
fn remaining(wait: Span, age: Span) -> Span {
    Span::from_micros(wait.as_micros().saturating_sub(age.as_micros()))
}
