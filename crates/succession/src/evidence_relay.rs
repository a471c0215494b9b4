use base::{FastMap, Span, Time};

use crate::copy_lease::PeerCopy;

/// Evidence is passed on only if it is newer than the carrier's own by this much.
const MIN_GAIN: Span = Span::from_millis(500);
/// Minimum interval between two messages with evidence to the same carrier.
const MIN_INTERVAL: Span = Span::from_millis(1_000);

/// What a daemon that is no carrier knows of how recent the configuration is, and which carriers it
/// tells.
///
/// Carriers that are partitioned from the store learn from other carriers that the configuration is
/// still the newest. If all that reach the store are partitioned from the rest, the daemons that
/// reach both sides pass this on. A freeze or delay anywhere on the way only makes the evidence
/// count as older: its age is taken before the answer to a question is sent, and the carrier counts
/// it from before the question.
#[derive(Debug, Default)]
pub struct EvidenceRelay {
    /// Latest moment at which a version is known to have been the newest, and that version.
    known: Option<(Time, u64)>,
    /// When carriers were last told.
    told: FastMap<String, Time>,
}

impl EvidenceRelay {
    /// Records a carrier's copy of the configuration, as an answer to a question of `asked_at`.
    pub fn observe(&mut self, asked_at: Time, copy: PeerCopy) {
        let confirmed = copy.age.map(|age| (asked_at.before(age), copy.newest));
        self.known = self.known.max(confirmed);
    }

    /// The evidence to send to a carrier whose copy is `theirs`, to be sent as the answer to that
    /// message; `None` if its own is not older than `due`, or it would gain little.
    pub fn evidence_for(
        &mut self,
        now: Time,
        carrier: &str,
        theirs: PeerCopy,
        due: Span,
    ) -> Option<PeerCopy> {
        let (confirmed_at, newest) = self.known?;
        let age = now.since(confirmed_at);
        if theirs.age.is_some_and(|theirs| theirs < due || theirs < age + MIN_GAIN) {
            return None;
        }
        self.told.retain(|_, at| now.since(*at) < MIN_INTERVAL);
        if self.told.contains_key(carrier) {
            return None;
        }
        self.told.insert(carrier.to_owned(), now);
        Some(PeerCopy { newest, age: Some(age) })
    }
}
