use base::{Span, Time};

use crate::peer_answers::PeerAnswers;

/// How long a daemon may use the primaries it knows after the last evidence that no
/// failover is in progress. A failover waits this long for a daemon that cannot be reached.
pub const GRANT_DURATION: Span = Span::from_millis(1_500);
/// How long answers of the other carriers can extend a grant while the store does not
/// answer. Longer than the store's usual outages; not longer, because a failover that
/// finds no majority has to wait for this time.
pub const GRANT_WITHOUT_STORE: Span = Span::from_millis(12_000);
/// Added to the duration of another daemon's grant before it counts as expired, because
/// clocks run at slightly different speeds and timers fire late.
pub(crate) const EXPIRY_MARGIN: Span = Span::from_millis(150);

/// Time after which a grant has expired in any case, if the store has not answered since.
pub(crate) const LONGEST_GRANT: Span = Span::from_millis(
    GRANT_WITHOUT_STORE.as_millis() + GRANT_DURATION.as_millis() + EXPIRY_MARGIN.as_millis(),
);
/// Longest time after which the store may still apply a write that its caller has given up
/// waiting for.
const LATE_WRITE_MAX: Span = Span::from_millis(8_000);
/// Age from which a carrier's row is reflected in every list of carriers that a daemon may
/// still use: the list contains the carrier, or no longer does if the row says that the carrier
/// has lost its slot.
pub const SETTLED_AFTER: Span = Span::from_millis(
    GRANT_WITHOUT_STORE.as_millis()
        + GRANT_DURATION.as_millis()
        + EXPIRY_MARGIN.as_millis()
        + LATE_WRITE_MAX.as_millis(),
);

/// This carrier's time-limited right to use primaries.
///
/// The grant is extended by evidence that no failover is in progress: an answer of the
/// store, or answers of so many other carriers that together with this one they are a
/// majority. A failover proceeds only after a majority has applied its record, and any two
/// majorities share a carrier. From then on that carrier answers with a higher version,
/// which is no evidence until this daemon has applied the same rows.
#[derive(Debug, Default)]
pub struct PrimaryGrant {
    version: u64,
    /// When the last query was sent to which the store had nothing newer.
    store_at: Option<Time>,
    /// Questions to which the other carriers reported no newer rows.
    peers: PeerAnswers,
}

impl PrimaryGrant {
    /// Replaces the set of the other carriers; the evidence of those that remain is kept.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers.set_peers(names);
    }

    /// Records the version of the rows that this daemon has applied.
    pub fn rows_applied(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Records that the store, asked at `asked_at`, had nothing newer than `version`.
    pub fn store_answered(&mut self, asked_at: Time, version: u64) {
        if version <= self.version {
            self.store_at = self.store_at.max(Some(asked_at));
        }
    }

    /// Records that a carrier, asked at `asked_at`, had applied rows up to `version`.
    pub fn peer_answered(&mut self, name: &str, asked_at: Time, version: u64) {
        if version > self.version {
            return;
        }
        self.peers.record(name, asked_at);
    }

    /// Time until which primaries may be used. It is in the past if there is no grant.
    pub fn expires_at(&self) -> Time {
        let Some(store_at) = self.store_at else { return Time::default() };
        let by_peers = self
            .peers
            .majority_at()
            .map(|at| (at + GRANT_DURATION).min(store_at + GRANT_WITHOUT_STORE));
        (store_at + GRANT_DURATION).max(by_peers.unwrap_or_default())
    }

    /// Time until which the store's own answers show that nothing newer has been written, in the present
    /// era. Unlike a grant, other carriers' answers do not extend it.
    pub fn store_expires_at(&self) -> Time {
        self.store_at.map_or(Time::default(), |at| at + GRANT_DURATION)
    }

    /// Whether the answers of the other carriers alone keep the grant valid for more than
    /// `margin` from now on.
    pub fn peers_suffice(&self, now: Time, margin: Span) -> bool {
        let (Some(store_at), Some(at)) = (self.store_at, self.peers.majority_at()) else {
            return false;
        };
        (at + GRANT_DURATION).min(store_at + GRANT_WITHOUT_STORE) > now + margin
    }
}

/// State of a carrier as the holder of the failover lease knows it. It is a carrier on the
/// newest list, or one that lost its slot so recently that it may not have noticed.
#[derive(Clone, Copy, Debug)]
pub struct CarrierState {
    /// Whether it has applied the record that started the failover.
    pub applied: bool,
    /// Version of the row that lists it as a carrier.
    pub listed: u64,
    /// Whether it was listed before the start of any grant that may still be extended
    /// while the store does not answer ([`SETTLED_AFTER`]).
    pub settled: bool,
    /// Version of the rows that it last reported as applied, 0 if it has reported none.
    pub shown: u64,
}

/// Whether no carrier uses the old primary any more. This is so in any of three cases:
///
/// - all carriers have applied the record that started the failover;
/// - a majority has, and the grants of the others have expired;
/// - even grants that other carriers' answers extended while the store did not answer have expired.
///
/// `unlisted` is the number of carriers whose rows the store may have lost. `majority_since` is when a majority was first known to have applied the record;
/// `learned_at` is when the record was read from the store.
pub fn is_primary_unused(
    now: Time,
    carriers: &[CarrierState],
    unlisted: usize,
    majority_since: Option<Time>,
    learned_at: Time,
) -> bool {
    let grants_expired = |since: Time| now.since(since) >= GRANT_DURATION + EXPIRY_MARGIN;
    (unlisted == 0 && carriers.iter().all(|carrier| carrier.applied))
        || (is_majority_of_every_list(carriers, unlisted)
            && majority_since.is_some_and(grants_expired))
        || now.since(learned_at) >= LONGEST_GRANT
}

/// Whether the carriers that have applied the failover's record are a majority of every
/// list of carriers that one of the others may still use.
///
/// Carriers that have applied the record are on all such lists if they are settled, or if
/// every other carrier has reported a version that includes their row. If these outnumber
/// the others, the others cannot form a majority of any such list by themselves, and so
/// cannot extend their grants. `unlisted` is the number of further carriers that may exist.
pub fn is_majority_of_every_list(carriers: &[CarrierState], unlisted: usize) -> bool {
    let others = carriers.iter().filter(|carrier| !carrier.applied);
    let known_to_all = others.clone().map(|carrier| carrier.shown).min().unwrap_or(u64::MAX);
    let on_all_lists = carriers
        .iter()
        .filter(|carrier| carrier.applied && (carrier.settled || carrier.listed <= known_to_all));
    on_all_lists.count() > others.count() + unlisted
}
