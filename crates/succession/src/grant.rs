use base::{FastMap, Span, Time};

/// How long a daemon may use the primaries it knows after it last learnt that no
/// change is under way. A change waits this long for a daemon that cannot be asked.
pub const GRANT_DURATION: Span = Span::from_millis(1_500);
/// How long answers of the other carriers can stand in for the store: longer than the
/// store's usual outages, since a change that finds no majority waits this long.
pub const GRANT_WITHOUT_STORE: Span = Span::from_millis(12_000);
/// What is added before a grant of another daemon counts as lapsed: clocks run at
/// slightly different speeds, and timers fire late.
const MARGIN: Span = Span::from_millis(150);

/// How late the store may apply a write after its caller gave up on it.
const LATE_WRITE: Span = Span::from_millis(8_000);
/// Age of a carrier's row from which every list that is still gone by shows it, or, if it
/// says that the carrier lost its place, does not.
pub const SETTLED_AFTER: Span = Span::from_millis(
    GRANT_WITHOUT_STORE.as_millis()
        + GRANT_DURATION.as_millis()
        + MARGIN.as_millis()
        + LATE_WRITE.as_millis(),
);

/// Until when this carrier may use primaries.
///
/// Evidence is either an answer of the store, or answers of enough other carriers that
/// they and this one are a majority. A change goes on only after a majority has it in
/// force, and any two majorities share a carrier: from then on that one answers with a
/// higher version, which is no evidence before the rows are in force here too.
#[derive(Debug, Default)]
pub struct PrimaryGrant {
    version: u64,
    store_at: Option<Time>,
    peers: FastMap<String, Option<Time>>,
}

impl PrimaryGrant {
    /// Sets the other daemons on the list.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let mut peers = FastMap::default();
        for name in names {
            let known = self.peers.get(name).copied().flatten();
            peers.insert(name.to_owned(), known);
        }
        self.peers = peers;
    }

    /// Notes the version of the rows that are in force here.
    pub fn rows_applied(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Notes that the store, asked at `asked_at`, had nothing newer than `version`.
    pub fn store_answered(&mut self, asked_at: Time, version: u64) {
        if version <= self.version {
            self.store_at = self.store_at.max(Some(asked_at));
        }
    }

    /// Notes that a daemon, asked at `asked_at`, had rows up to `version` in force.
    pub fn peer_answered(&mut self, name: &str, asked_at: Time, version: u64) {
        if version > self.version {
            return;
        }
        if let Some(known) = self.peers.get_mut(name) {
            *known = (*known).max(Some(asked_at));
        }
    }

    /// Until when primaries may be used.
    pub fn expires_at(&self) -> Time {
        let Some(store_at) = self.store_at else { return Time::default() };
        let by_peers =
            self.majority_at().map(|at| (at + GRANT_DURATION).min(store_at + GRANT_WITHOUT_STORE));
        (store_at + GRANT_DURATION).max(by_peers.unwrap_or_default())
    }

    /// Whether the other carriers' answers alone keep the grant for `margin` more.
    pub fn peers_suffice(&self, now: Time, margin: Span) -> bool {
        let (Some(store_at), Some(at)) = (self.store_at, self.majority_at()) else { return false };
        (at + GRANT_DURATION).min(store_at + GRANT_WITHOUT_STORE) > now + margin
    }

    /// When the answers were asked for that make a majority with this carrier.
    fn majority_at(&self) -> Option<Time> {
        let mut times: Vec<_> = self.peers.values().copied().flatten().collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // Without others there is nobody to ask but the store.
        let needed = majority(self.peers.len() + 1) - 1;
        times.get(needed.checked_sub(1)?).copied()
    }
}

/// Carriers that are a majority of `count`.
fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// A carrier as the driver of a change knows it: one on the newest list, or one that
/// lost its place so lately that it may not know.
#[derive(Clone, Copy, Debug)]
pub struct CarrierState {
    /// Whether it has the change in force.
    pub applied: bool,
    /// Version of the row that lists it.
    pub listed: u64,
    /// Whether it was listed before any grant began that may still be prolonged without
    /// the store ([`SETTLED_AFTER`]).
    pub settled: bool,
    /// Version of the rows that it last showed to have in force, 0 if it showed none.
    pub shown: u64,
}

/// Whether no carrier uses the old primary any more: all have the change in force, or a
/// majority has and the others' grants have lapsed, or even those that the others'
/// answers could have prolonged have lapsed.
///
/// A majority has had it in force since `majority_since`; the change was learnt from the
/// store at `learnt`.
pub fn is_primary_unused(
    now: Time,
    carriers: &[CarrierState],
    majority_since: Option<Time>,
    learnt: Time,
) -> bool {
    let lapsed = |since: Time| now.since(since) >= GRANT_DURATION + MARGIN;
    carriers.iter().all(|carrier| carrier.applied)
        || (is_majority_of_every_list(carriers) && majority_since.is_some_and(lapsed))
        || now.since(learnt) >= GRANT_WITHOUT_STORE + GRANT_DURATION + MARGIN
}

/// Whether those that have stopped are a majority of every list of carriers that one of
/// the others may still go by.
///
/// Those on all such lists are the settled ones and those whose rows the others have
/// shown to know. If they outnumber everyone who has not stopped, no list without the
/// others' knowledge of the change has a majority left.
pub fn is_majority_of_every_list(carriers: &[CarrierState]) -> bool {
    let others = carriers.iter().filter(|carrier| !carrier.applied);
    let known_to_all = others.clone().map(|carrier| carrier.shown).min().unwrap_or(u64::MAX);
    let on_all_lists = carriers
        .iter()
        .filter(|carrier| carrier.applied && (carrier.settled || carrier.listed <= known_to_all));
    on_all_lists.count() > others.count()
}
