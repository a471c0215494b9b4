use base::{FastMap, Span, Time};

/// How long a daemon may use the primaries it knows after it last learnt that no
/// change is under way. A change waits this long for a daemon that cannot be asked.
pub const GRANT: Span = Span::from_millis(1_500);
/// How long answers of the other daemons can stand in for the store. A daemon that
/// is new waits this long before it counts silence of the others as consent.
const WITHOUT_STORE: Span = Span::from_millis(60_000);

/// Until when this daemon may use primaries.
///
/// Evidence is either an answer of the store, or an answer of *every* other daemon
/// on the list: whoever changes a primary is on it, and from then on answers with a
/// higher version, which is no evidence before its rows are in force here too.
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
        let by_peers = self.peers.values().copied().min().flatten();
        let by_peers = by_peers.map(|at| (at + GRANT).min(store_at + WITHOUT_STORE));
        (store_at + GRANT).max(by_peers.unwrap_or_default())
    }

    /// Whether the other daemons' answers alone keep the grant for `margin` more.
    pub fn peers_suffice(&self, now: Time, margin: Span) -> bool {
        let least = self.peers.values().copied().min().flatten();
        least.is_some_and(|at| at + GRANT > now + margin)
    }
}
