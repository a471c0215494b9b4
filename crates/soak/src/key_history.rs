use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use standins::lines::RunStatement;

/// Time after its revocation for which a key may be used, as in the daemons' settings.
pub(crate) const REVOKE_LIMIT: Duration = Duration::from_millis(5_000);
/// Time that the stand-in may need beyond the delay that it was given until it writes again.
const REWRITE_MARGIN: Duration = Duration::from_millis(500);

/// API keys of a run, the times at which they might be used, and the requests made with them.
#[derive(Debug, Default)]
pub(crate) struct KeyHistory {
    keys: BTreeMap<String, Key>,
    /// Key and sending time of each request.
    requests: BTreeMap<String, (String, Instant)>,
    /// Newest key of each organisation, by name.
    newest: BTreeMap<String, String>,
    /// Keys in the last copy of the store.
    copied: Vec<String>,
}

#[derive(Debug)]
struct Key {
    organisation: String,
    /// Periods within which a statement may be sent. The last one is open until the key is revoked.
    periods: Vec<(Instant, Option<Instant>)>,
}

impl KeyHistory {
    /// Records that a key is about to be added.
    pub(crate) fn add(&mut self, organisation: &str, key: &str) {
        let periods = vec![(Instant::now(), None)];
        self.keys.insert(key.to_owned(), Key { organisation: organisation.to_owned(), periods });
    }

    /// Makes a key the one that an organisation's callers use from now on.
    pub(crate) fn set_newest(&mut self, organisation: &str, key: &str) {
        self.newest.insert(organisation.to_owned(), key.to_owned());
    }

    /// The newest key of an organisation; any word in a deployment without organisations.
    pub(crate) fn newest(&self, organisation: &str) -> String {
        self.newest.get(organisation).cloned().unwrap_or_else(|| "soak".to_owned())
    }

    /// Number of keys so far.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Records that the store has accepted the revocation of a key.
    pub(crate) fn revoke(&mut self, key: &str) {
        let end = Instant::now() + REVOKE_LIMIT;
        if let Some((_, last @ None)) = self.keys.get_mut(key).and_then(|it| it.periods.last_mut())
        {
            *last = Some(end);
        }
    }

    /// Records that the store is copied.
    pub(crate) fn copy(&mut self) {
        let valid = self.keys.iter().filter(|(_, key)| key.is_valid());
        self.copied = valid.map(|(name, _)| name.clone()).collect();
    }

    /// Records that the store is about to be restored from the copy, and that the operator writes
    /// again after a delay: keys that were revoked meanwhile are valid until then.
    pub(crate) fn restore(&mut self, rewrite_after: Duration) {
        let now = Instant::now();
        let end = now + rewrite_after + REWRITE_MARGIN + REVOKE_LIMIT;
        for name in &self.copied {
            if let Some(key) = self.keys.get_mut(name).filter(|key| !key.is_valid()) {
                key.periods.push((now, Some(end)));
            }
        }
    }

    /// Records a request that is about to be sent.
    pub(crate) fn send(&mut self, request: &str, key: &str) {
        self.requests.insert(request.to_owned(), (key.to_owned(), Instant::now()));
    }

    /// Checks the statements that members have run. Their names are checked if `check_names` is set.
    pub(crate) fn violations(&self, run: &[RunStatement], check_names: bool) -> Vec<String> {
        run.iter().filter_map(|it| self.violation(it, check_names)).collect()
    }

    fn violation(&self, run: &RunStatement, check_names: bool) -> Option<String> {
        let RunStatement { request, organisation, member, .. } = run;
        let (key, sent_at) = self.requests.get(request)?;
        let Some(Key { organisation: owner, periods }) = self.keys.get(key) else {
            // Without a key, only a public database is served, in nobody's name.
            let is_owned = self.keys.values().any(|key| key.organisation == *organisation);
            return (check_names && is_owned).then(|| {
                format!("name: {request} without a key ran as {organisation} at {member}")
            });
        };
        if check_names && organisation != owner {
            return Some(format!("name: {request} of {owner} ran as {organisation} at {member}"));
        }
        let is_in = |(from, until): &(Instant, Option<Instant>)| {
            from <= sent_at && until.is_none_or(|until| *sent_at <= until)
        };
        if periods.iter().any(is_in) {
            return None;
        }
        let ends = periods.iter().filter_map(|(_, until)| *until).filter(|until| until < sent_at);
        let late = ends.max().map(|until| sent_at.duration_since(until));
        Some(format!("revoked: {request} of {owner} ran at {member}, sent {late:?} too late"))
    }
}

impl Key {
    fn is_valid(&self) -> bool {
        self.periods.last().is_some_and(|(_, until)| until.is_none())
    }
}

#[cfg(test)]
mod tests;
