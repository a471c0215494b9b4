use base::{FastMap, Span, Time};

/// How long a daemon may use the primaries it knows after it last learnt that no
/// change is under way. A change waits this long for a daemon that cannot be asked.
pub const GRANT: Span = Span::from_millis(1_500);
/// How long answers of the other carriers can stand in for the store: longer than the
/// store's usual outages, since a change that finds no majority waits this long.
pub const WITHOUT_STORE: Span = Span::from_millis(12_000);
/// What is added before a grant of another daemon counts as lapsed: clocks run at
/// slightly different speeds, and timers fire late.
const MARGIN: Span = Span::from_millis(150);

/// Until when this carrier may use primaries.
///
/// Evidence is either an answer of the store, or answers of enough other carriers that
/// they and this one are a majority. A change goes on only after a majority has it in
/// force, and any two majorities share a carrier: from then on that one answers with a
/// higher version, which is no evidence before the rows are in force here too.
#[derive(Debug, Default)]
pub struct Grants {
    version: u64,
    store_at: Option<Time>,
    peers: FastMap<String, Option<Time>>,
}

impl Grants {
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
    pub fn applied(&mut self, version: u64) {
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
    pub fn until(&self) -> Time {
        let Some(store_at) = self.store_at else { return Time::default() };
        let by_peers = self.majority_at().map(|at| (at + GRANT).min(store_at + WITHOUT_STORE));
        (store_at + GRANT).max(by_peers.unwrap_or_default())
    }

    /// Whether the other carriers' answers alone keep the grant for `margin` more.
    pub fn peers_suffice(&self, now: Time, margin: Span) -> bool {
        let (Some(store_at), Some(at)) = (self.store_at, self.majority_at()) else { return false };
        (at + GRANT).min(store_at + WITHOUT_STORE) > now + margin
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

/// Whether no carrier uses the old primary any more: all have the change in force, or a
/// majority has and the others' grants have lapsed, or even those that the others'
/// answers could have prolonged have lapsed.
///
/// `stopped` of `carriers` have it in force, a majority since `majority_since`; the
/// change was learnt from the store at `learnt`.
pub fn have_stopped(
    now: Time,
    carriers: usize,
    stopped: usize,
    majority_since: Option<Time>,
    learnt: Time,
) -> bool {
    let lapsed = |since: Time| now.since(since) >= GRANT + MARGIN;
    stopped >= carriers
        || (is_majority(carriers, stopped) && majority_since.is_some_and(lapsed))
        || now.since(learnt) >= WITHOUT_STORE + GRANT + MARGIN
}

/// Whether `stopped` of `carriers` are a majority.
pub fn is_majority(carriers: usize, stopped: usize) -> bool {
    stopped >= majority(carriers)
}
