use base::{Span, Time};

use crate::{
    grants::{GRANT_DURATION, GRANT_WITHOUT_STORE},
    peer_answers::PeerAnswers,
};

/// How long answers of the other carriers can show that the copies are recent while the store does
/// not answer. It is counted from the last question that the store has answered, and a feed holds
/// that answer back for up to 4 s; otherwise as [`GRANT_WITHOUT_STORE`].
pub const COPY_WITHOUT_STORE: Span = Span::from_millis(GRANT_WITHOUT_STORE.as_millis() + 4_000);

/// A table of the store by whose copy a daemon refuses and routes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Copied {
    /// The configuration.
    Config,
    /// The members' entries.
    Members,
}

impl Copied {
    /// All copied tables; arrays with an element for each are in this order.
    pub const ALL: [Copied; 2] = [Copied::Config, Copied::Members];
}

/// Another carrier's copy of a table, as it describes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerCopy {
    /// Version of the newest row.
    pub newest: u64,
    /// How long ago the copy was last known to be complete; `None` if it never was.
    pub age: Option<Span>,
}

/// What is known of how recent this daemon's copies of the store's tables are.
///
/// A copy says nothing about its own age: the store may have changed while this process stood
/// still, was cut off, or waited for a silent store. So each copy carries the latest moment at
/// which it is known to have been complete, from a question that was asked at that moment and has
/// been answered since, by the store or by a carrier whose copy is the same.
#[derive(Debug, Default)]
pub struct CopyLease {
    copies: [OwnCopy; 2],
    /// Questions to which the other carriers reported no newer rows.
    peers: PeerAnswers,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnCopy {
    /// Version of the newest row.
    newest: u64,
    /// Latest moment at which the copy is known to have been complete.
    confirmed_at: Option<Time>,
    /// Version of a row that another carrier has and this daemon lacks, and when this daemon
    /// first learned of such a row.
    missing: Option<(u64, Time)>,
}

impl CopyLease {
    /// Replaces the set of the other carriers; the evidence of those that remain is kept.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers.set_peers(names);
    }

    /// Records the version of the newest row in a copy.
    pub fn rows_applied(&mut self, table: Copied, newest: u64) {
        let copy = &mut self.copies[table as usize];
        copy.newest = copy.newest.max(newest);
        copy.missing = copy.missing.filter(|(version, _)| *version > copy.newest);
    }

    /// Records that the store, asked at `asked_at`, has returned all changes of a table and that
    /// they have been applied.
    pub fn store_answered(&mut self, table: Copied, asked_at: Time) {
        self.copies[table as usize].confirm(asked_at);
    }

    /// Records the copies of another carrier. `asked_at` is when this daemon asked for them;
    /// `None` if it did not, so that they may be of any age.
    pub fn peer_answered(
        &mut self,
        now: Time,
        name: &str,
        asked_at: Option<Time>,
        theirs: [PeerCopy; 2],
    ) {
        let mut is_behind = false;
        for (copy, PeerCopy { newest, age }) in self.copies.iter_mut().zip(theirs) {
            if newest > copy.newest {
                is_behind = true;
                let since = copy.missing.map_or(now, |(_, since)| since);
                copy.missing = Some((newest, since));
            } else if let (Some(asked_at), Some(age)) = (asked_at, age) {
                copy.confirm(asked_at.before(age));
            }
        }
        if let Some(asked_at) = asked_at.filter(|_| !is_behind) {
            self.peers.record(name, asked_at);
        }
    }

    /// Records a carrier's copy of a table as a daemon that is no carrier knows it. `asked_at` is when
    /// this daemon sent the message that it answers. A newer version than that of the own copy
    /// confirms nothing.
    pub fn relay_answered(&mut self, table: Copied, asked_at: Time, theirs: PeerCopy) {
        let copy = &mut self.copies[table as usize];
        if let Some(age) = theirs.age.filter(|_| theirs.newest <= copy.newest) {
            copy.confirm(asked_at.before(age));
        }
    }

    /// Latest moment at which a copy is known to have been complete.
    pub fn confirmed_at(&self, table: Copied) -> Option<Time> {
        self.copies[table as usize].confirmed_at
    }

    /// Time until which requests may be run by the copies. It is in the past if they may be
    /// outdated: the store has not confirmed them lately, and too few carriers have answered, or
    /// one of them has newer rows.
    pub fn expires_at(&self) -> Time {
        let by_store = self.confirmed_by_store().map(|at| at + GRANT_DURATION);
        by_store.max(self.expiry_by_peers()).unwrap_or_default()
    }

    /// Whether the answers of the other carriers alone keep the copies usable for more than
    /// `margin` from now on.
    pub fn peers_suffice(&self, now: Time, margin: Span) -> bool {
        self.expiry_by_peers().is_some_and(|expiry| expiry > now + margin)
    }

    fn expiry_by_peers(&self) -> Option<Time> {
        let missing = self.copies.iter().filter_map(|copy| copy.missing);
        let complete_until = missing.map(|(_, since)| since).min();
        let answered_at = self.peers.majority_at()?;
        let answered_at = complete_until.map_or(answered_at, |until| answered_at.min(until));
        let limit = self.confirmed_by_store()? + COPY_WITHOUT_STORE;
        Some((answered_at + GRANT_DURATION).min(limit))
    }

    /// Latest moment at which all copies are known to have been complete.
    fn confirmed_by_store(&self) -> Option<Time> {
        let [config, members] = self.copies.map(|copy| copy.confirmed_at);
        Some(config?.min(members?))
    }
}

impl OwnCopy {
    fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
