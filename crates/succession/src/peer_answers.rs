use base::{FastMap, Time};

/// When each of the other carriers last gave an answer that counts as evidence.
#[derive(Debug, Default)]
pub(crate) struct PeerAnswers {
    /// When the question was sent to which the carrier gave its last such answer.
    peers: FastMap<String, Option<Time>>,
}

impl PeerAnswers {
    /// Replaces the set of the other carriers; the evidence of those that remain is kept.
    pub(crate) fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let mut peers = FastMap::default();
        for name in names {
            let known = self.peers.get(name).copied().flatten();
            peers.insert(name.to_owned(), known);
        }
        self.peers = peers;
    }

    /// Records an answer to a question that was sent at `asked_at`. Ignores a daemon that is not
    /// among the carriers.
    pub(crate) fn record(&mut self, name: &str, asked_at: Time) {
        if let Some(known) = self.peers.get_mut(name) {
            *known = (*known).max(Some(asked_at));
        }
    }

    /// Latest time for which a majority, this carrier included, has answered a question that
    /// was asked then or later. `None` if too few have ever answered.
    pub(crate) fn majority_at(&self) -> Option<Time> {
        let mut times: Vec<_> = self.peers.values().copied().flatten().collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // A single carrier has no peers to ask: only the store can give it evidence.
        let needed = majority(self.peers.len() + 1) - 1;
        times.get(needed.checked_sub(1)?).copied()
    }
}

fn majority(count: usize) -> usize {
    count / 2 + 1
}
