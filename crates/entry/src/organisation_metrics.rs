use std::fmt::Write;

use base::FastMap;

/// Largest number of organisations that the metrics list; those with the latest activity.
const MAX_LISTED: usize = 100;
/// Largest number of organisations whose counts are kept, some 1 MB. Beyond that, the half with the
/// earlier activity is dropped, so that names of former configurations cannot fill the memory.
const MAX_KEPT: usize = 4_096;

/// Event counted by organisation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OrganisationCounter {
    /// Operations that got a token of the limit.
    Tokens,
    /// Tokens returned because nothing of the operation was run.
    TokensRefunded,
    /// Tokens that were not available in time.
    TokensRefused,
    /// Requests refused because the API key may have been revoked meanwhile.
    RefusedKey,
    /// Requests refused because the limit was reached.
    RefusedQuota,
    /// Requests refused while they waited for a connection.
    RefusedQueue,
    /// Connections opened to members.
    ConnectionsOpened,
    /// Idle connections closed for the benefit of another organisation.
    ConnectionsEvicted,
}

impl OrganisationCounter {
    const ALL: [(OrganisationCounter, &str); 8] = [
        (OrganisationCounter::Tokens, "tokens"),
        (OrganisationCounter::TokensRefunded, "tokens_refunded"),
        (OrganisationCounter::TokensRefused, "tokens_refused"),
        (OrganisationCounter::RefusedKey, "refused_key"),
        (OrganisationCounter::RefusedQuota, "refused_quota"),
        (OrganisationCounter::RefusedQueue, "refused_queue"),
        (OrganisationCounter::ConnectionsOpened, "connections_opened"),
        (OrganisationCounter::ConnectionsEvicted, "connections_evicted"),
    ];
    const COUNT: usize = OrganisationCounter::ALL.len();
}

/// Counts by organisation, for the metrics. Counting costs a look-up by name.
#[derive(Debug, Default)]
pub(crate) struct OrganisationMetrics {
    counts: FastMap<Box<str>, Counts>,
    /// Number of events counted so far, by which activity is ordered.
    events: u64,
    /// Organisations whose counts were dropped.
    dropped: u64,
}

#[derive(Debug, Default)]
struct Counts {
    by_counter: [u64; OrganisationCounter::COUNT],
    /// Open connections to members.
    connections: u64,
    /// Operations per second over the whole fleet; `None` if there is no limit.
    limit: Option<f64>,
    last_event: u64,
}

impl OrganisationMetrics {
    pub(crate) fn count(&mut self, name: &str, counter: OrganisationCounter) {
        self.update(name, |counts| counts.by_counter[counter as usize] += 1);
    }

    /// Records the limit of an organisation that is counted already.
    pub(crate) fn set_limit(&mut self, name: &str, limit: Option<f64>) {
        if let Some(counts) = self.counts.get_mut(name) {
            counts.limit = limit;
        }
    }

    /// Counts an event of the limit, which may have changed.
    pub(crate) fn count_limited(
        &mut self,
        name: &str,
        counter: OrganisationCounter,
        limit: Option<f64>,
    ) {
        self.update(name, |counts| {
            counts.by_counter[counter as usize] += 1;
            counts.limit = limit;
        });
    }

    pub(crate) fn connection_opened(&mut self, name: &str) {
        self.update(name, |counts| {
            counts.by_counter[OrganisationCounter::ConnectionsOpened as usize] += 1;
            counts.connections += 1;
        });
    }

    pub(crate) fn connection_closed(&mut self, name: &str) {
        if let Some(counts) = self.counts.get_mut(name) {
            counts.connections = counts.connections.saturating_sub(1);
        }
    }

    /// Names of the organisations that [`OrganisationMetrics::write`] lists.
    pub(crate) fn listed(&self) -> Vec<Box<str>> {
        let mut names: Vec<_> =
            self.counts.iter().map(|(name, counts)| (counts.last_event, name)).collect();
        names.sort_unstable_by(|a, b| b.cmp(a));
        names.truncate(MAX_LISTED);
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Writes the counts of the listed organisations, each with the usable fraction of its limit.
    pub(crate) fn write(&self, text: &mut String, listed: &[(Box<str>, f64)]) {
        for (name, share) in listed {
            let Some(counts) = self.counts.get(name) else { continue };
            let label = escape(name);
            let mut line = |metric: &str, value: f64| {
                // Writing to a string does not fail.
                let _ = writeln!(
                    text,
                    "corianderwharf_organisation_{metric}{{organisation=\"{label}\"}} {value}"
                );
            };
            for (counter, metric) in OrganisationCounter::ALL {
                line(&format!("{metric}_total"), counts.by_counter[counter as usize] as f64);
            }
            line("connections", counts.connections as f64);
            if let Some(limit) = counts.limit {
                line("limit_per_s", limit);
                line("share", *share);
            }
        }
        let not_listed = self.counts.len().saturating_sub(listed.len());
        let _ = writeln!(text, "corianderwharf_organisations_not_listed {not_listed}");
        let _ = writeln!(text, "corianderwharf_organisations_dropped_total {}", self.dropped);
    }

    fn update(&mut self, name: &str, change: impl FnOnce(&mut Counts)) {
        self.events += 1;
        let event = self.events;
        if let Some(counts) = self.counts.get_mut(name) {
            counts.last_event = event;
            return change(counts);
        }
        if self.counts.len() >= MAX_KEPT {
            self.drop_inactive();
        }
        let mut counts = Counts { last_event: event, ..Counts::default() };
        change(&mut counts);
        self.counts.insert(name.into(), counts);
    }

    fn drop_inactive(&mut self) {
        let mut events: Vec<_> = self.counts.values().map(|counts| counts.last_event).collect();
        let middle = events.len() / 2;
        let (_, median, _) = events.select_nth_unstable(middle);
        let oldest_kept = *median;
        let before = self.counts.len();
        // The number of open connections would be wrong after its organisation was dropped.
        self.counts.retain(|_, it| it.last_event >= oldest_kept || it.connections > 0);
        self.dropped += (before - self.counts.len()) as u64;
    }
}

/// Escapes the characters that would end a label's value.
fn escape(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"")
}

#[cfg(test)]
mod tests;
