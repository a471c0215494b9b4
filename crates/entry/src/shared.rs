use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use base::{Span, Time};
use budget::Reason;
use hdrhistogram::Histogram;
use quota::{OrganisationKey, QuotaShares};
use shedding::OutgoingLoad;

use crate::{
    clock,
    organisation_metrics::{OrganisationCounter, OrganisationMetrics},
    start_up::{StartStep, StartUp},
};

/// Upper bound of the latency histogram; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Number of carrier slots until the configuration is known, before which no operation is run.
const INITIAL_SLOTS: usize = 12;

/// State shared between the control thread and the data thread.
#[derive(Debug)]
pub(crate) struct Shared {
    grant_expiry: AtomicU64,
    copies_expiry: AtomicU64,
    config_version: AtomicU64,
    store_era: AtomicU64,
    /// In microseconds; 0 if the store has never confirmed the configuration.
    config_confirmed_at: AtomicU64,
    /// Newest version of the configuration that a carrier has told of, and when one last told, in
    /// microseconds. Only on daemons that are no carriers.
    carriers_config: AtomicU64,
    carriers_heard_at: AtomicU64,
    ready: AtomicBool,
    is_carrier: AtomicBool,
    peers_suffice: AtomicBool,
    counters: [AtomicU64; Counter::COUNT],
    /// Refused and closed clients, by reason.
    refused_clients: [AtomicU64; Reason::ALL.len()],
    latency: Mutex<Histogram<u64>>,
    /// Used by both threads: what the control thread lends must not be used by the data thread from
    /// that moment on.
    quota_shares: Mutex<QuotaShares>,
    /// Load that this carrier reports to the other daemons.
    outgoing_load: Mutex<OutgoingLoad>,
    started_at: Time,
    start_up: StartUp,
    organisations: Mutex<OrganisationMetrics>,
}

/// Event counted in the metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Counter {
    Sessions,
    Statements,
    Refused,
    Retried,
    InDoubt,
    Aborted,
    ReplicaReads,
    PrimaryReads,
    MemberConnections,
    StoreCalls,
    StoreFailures,
    /// Times that this process did not run for a while.
    Standstills,
    /// Responses with rows that are older than the cached ones.
    OutdatedRows,
    /// Sessions and statements denied because of their API key.
    UnknownKeys,
    /// Sessions and statements refused because their API key may have been revoked meanwhile.
    KeysInDoubt,
    /// Operations that got a token of their organisation's limit.
    QuotaTokens,
    /// Tokens returned because nothing of the operation was run.
    QuotaRefunded,
    /// Operations refused because their organisation has reached its limit.
    QuotaRefused,
    /// Sessions that have moved to another carrier, or from or to this daemon.
    SessionsMoved,
    /// Sessions that have started elsewhere than at the carrier that is preferred for them.
    SessionsNotPreferred,
    /// Operations refused where they entered, by the reported load of their carrier.
    RefusedEarly,
}

impl Counter {
    const ALL: [(Counter, &str); 21] = [
        (Counter::Sessions, "sessions"),
        (Counter::Statements, "statements"),
        (Counter::Refused, "refused"),
        (Counter::Retried, "retried"),
        (Counter::InDoubt, "in_doubt"),
        (Counter::Aborted, "aborted"),
        (Counter::ReplicaReads, "replica_reads"),
        (Counter::PrimaryReads, "primary_reads"),
        (Counter::MemberConnections, "member_connections"),
        (Counter::StoreCalls, "store_calls"),
        (Counter::StoreFailures, "store_failures"),
        (Counter::Standstills, "standstills"),
        (Counter::OutdatedRows, "outdated_rows"),
        (Counter::UnknownKeys, "unknown_keys"),
        (Counter::KeysInDoubt, "keys_in_doubt"),
        (Counter::QuotaTokens, "quota_tokens"),
        (Counter::QuotaRefunded, "quota_refunded"),
        (Counter::QuotaRefused, "quota_refused"),
        (Counter::SessionsMoved, "sessions_moved"),
        (Counter::SessionsNotPreferred, "sessions_not_preferred"),
        (Counter::RefusedEarly, "refused_early"),
    ];
    const COUNT: usize = Counter::ALL.len();
}

impl Shared {
    pub(crate) fn new(now: Time) -> Shared {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 2);
        Shared {
            grant_expiry: AtomicU64::new(0),
            copies_expiry: AtomicU64::new(0),
            config_version: AtomicU64::new(0),
            store_era: AtomicU64::new(0),
            config_confirmed_at: AtomicU64::new(0),
            carriers_config: AtomicU64::new(0),
            carriers_heard_at: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            is_carrier: AtomicBool::new(false),
            peers_suffice: AtomicBool::new(false),
            counters: Default::default(),
            refused_clients: Default::default(),
            latency: Mutex::new(latency.expect("two significant digits are valid for a histogram")),
            quota_shares: Mutex::new(QuotaShares::new(now, INITIAL_SLOTS)),
            outgoing_load: Mutex::default(),
            started_at: now,
            start_up: StartUp::new(now),
            organisations: Mutex::default(),
        }
    }

    /// When the process started.
    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }

    /// Logs a step of the start if it is reached for the first time.
    pub(crate) fn record_start_step(&self, step: StartStep) {
        if self.start_up.has_reached(step) {
            return;
        }
        if let Some(age) = self.start_up.reach(clock::now(), step) {
            let age_ms = age.as_millis();
            logs::event("start step", &serde_json::json!({"step": step, "age_ms": age_ms}));
        }
    }

    /// This carrier's shares of the organisations' limits.
    pub(crate) fn quota_shares(&self) -> MutexGuard<'_, QuotaShares> {
        self.quota_shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The load that this carrier reports to the other daemons.
    pub(crate) fn outgoing_load(&self) -> MutexGuard<'_, OutgoingLoad> {
        self.outgoing_load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts by organisation. Must not be locked while [`Shared::quota_shares`] is.
    pub(crate) fn organisations(&self) -> MutexGuard<'_, OrganisationMetrics> {
        self.organisations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an event of an organisation.
    pub(crate) fn count_for(&self, organisation: &str, counter: OrganisationCounter) {
        self.organisations().count(organisation, counter);
    }

    /// Time until which this daemon may use primaries.
    pub(crate) fn grant_expiry(&self) -> Time {
        Time::from_micros(self.grant_expiry.load(Ordering::Acquire))
    }

    pub(crate) fn set_grant_expiry(&self, expiry: Time) {
        self.grant_expiry.store(expiry.as_micros(), Ordering::Release);
    }

    /// Time until which this daemon may run requests by its copies of the configuration and of the
    /// members' entries.
    pub(crate) fn copies_expiry(&self) -> Time {
        Time::from_micros(self.copies_expiry.load(Ordering::Acquire))
    }

    pub(crate) fn set_copies_expiry(&self, expiry: Time) {
        self.copies_expiry.store(expiry.as_micros(), Ordering::Release);
    }

    /// Latest moment at which the configuration is known to have been the newest one; `None` if
    /// there was none.
    /// Records that a carrier has told which configuration it has.
    pub(crate) fn record_carrier_config(&self, now: Time, version: u64) {
        self.carriers_config.fetch_max(version, Ordering::AcqRel);
        self.carriers_heard_at.store(now.as_micros(), Ordering::Release);
    }

    /// Newest version of the configuration that a carrier has told of, and when one last told.
    pub(crate) fn carrier_config(&self) -> (u64, Time) {
        let heard_at = Time::from_micros(self.carriers_heard_at.load(Ordering::Acquire));
        (self.carriers_config.load(Ordering::Acquire), heard_at)
    }

    pub(crate) fn config_confirmed_at(&self) -> Option<Time> {
        match self.config_confirmed_at.load(Ordering::Acquire) {
            0 => None,
            micros => Some(Time::from_micros(micros)),
        }
    }

    pub(crate) fn set_config_confirmed_at(&self, at: Option<Time>) {
        let micros = at.map_or(0, Time::as_micros);
        self.config_confirmed_at.store(micros, Ordering::Release);
    }

    /// Version of the newest configuration that this daemon has received.
    pub(crate) fn config_version(&self) -> u64 {
        self.config_version.load(Ordering::Relaxed)
    }

    /// Records the version of a configuration. Must be called before it is confirmed
    /// ([`Shared::set_config_confirmed_at`]).
    pub(crate) fn set_config_version(&self, version: u64) {
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Records the era of the store, for the metrics.
    pub(crate) fn set_store_era(&self, era: u64) {
        self.store_era.store(era, Ordering::Relaxed);
    }

    /// Whether the readiness probe reports ready, so that the platform sends callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Records whether sessions that arrive are served by this daemon itself, for the metrics.
    pub(crate) fn set_carrier(&self, is_carrier: bool) {
        self.is_carrier.store(is_carrier, Ordering::Relaxed);
    }

    /// Records whether the other daemons' answers alone, without the store, grant the use
    /// of primaries.
    pub(crate) fn set_peers_suffice(&self, suffice: bool) {
        self.peers_suffice.store(suffice, Ordering::Relaxed);
    }

    pub(crate) fn count(&self, counter: Counter) {
        self.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a client that was refused or closed because it used too much.
    pub(crate) fn count_client(&self, reason: Reason) {
        self.refused_clients[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Records the latency of a statement, including the time it waited in the queue.
    pub(crate) fn record_latency(&self, latency: Span) {
        let mut histogram = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(latency.as_micros());
    }

    /// Formats the remaining grant at `now`, the counters and the latency quantiles as
    /// text, one `NAME VALUE` per line.
    pub(crate) fn metrics(&self, now: Time) -> String {
        let mut text = String::new();
        let grant_left = self.grant_expiry().since(now).as_millis();
        text.push_str(&format!("corianderwharf_grant_left_ms {grant_left}\n"));
        let copies_left = self.copies_expiry().since(now).as_millis();
        text.push_str(&format!("corianderwharf_copies_left_ms {copies_left}\n"));
        let version = self.config_version();
        text.push_str(&format!("corianderwharf_config_version {version}\n"));
        let era = self.store_era.load(Ordering::Relaxed);
        text.push_str(&format!("corianderwharf_store_era {era}\n"));
        if let Some(at) = self.config_confirmed_at() {
            let age = now.since(at).as_millis();
            text.push_str(&format!("corianderwharf_config_age_ms {age}\n"));
        }
        let is_carrier = u8::from(self.is_carrier.load(Ordering::Relaxed));
        text.push_str(&format!("corianderwharf_carrier {is_carrier}\n"));
        let suffice = u8::from(self.peers_suffice.load(Ordering::Relaxed));
        text.push_str(&format!("corianderwharf_grant_without_store {suffice}\n"));
        for (counter, name) in Counter::ALL {
            let value = self.counters[counter as usize].load(Ordering::Relaxed);
            text.push_str(&format!("corianderwharf_{name}_total {value}\n"));
        }
        for reason in Reason::ALL {
            let value = self.refused_clients[reason as usize].load(Ordering::Relaxed);
            let reason = reason.as_str();
            text.push_str(&format!(
                "corianderwharf_refused_clients_total{{reason=\"{reason}\"}} {value}\n"
            ));
        }
        let histogram = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        for quantile in [0.5, 0.9, 0.99, 0.999] {
            let value = histogram.value_at_quantile(quantile);
            text.push_str(&format!(
                "corianderwharf_statement_latency_us{{quantile=\"{quantile}\"}} {value}\n"
            ));
        }
        text.push_str(&format!("corianderwharf_statement_latency_us_count {}\n", histogram.len()));
        drop(histogram);
        self.write_organisations(now, &mut text);
        text
    }

    /// Writes the counts of the organisations with the latest activity.
    fn write_organisations(&self, now: Time, text: &mut String) {
        let names = self.organisations().listed();
        let listed: Vec<_> = {
            let shares = self.quota_shares();
            let with_share = |name: Box<str>| {
                let share = shares.fraction(now, OrganisationKey::new(&name));
                (name, share)
            };
            names.into_iter().map(with_share).collect()
        };
        self.organisations().write(text, &listed);
    }
}
