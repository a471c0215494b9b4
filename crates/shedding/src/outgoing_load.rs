use std::cmp::Reverse;

use base::{FastMap, Span, Time};
use quota::OrganisationKey;

use crate::load_report::{LimitWait, LoadReport, MAX_ENTRIES, QueueWait, RankWaits};

/// Older evidence is not reported: nobody would use it.
const MAX_AGE: Span = Span::from_millis(1_000);

/// Load of this carrier, from which its reports are made.
#[derive(Debug, Default)]
pub struct OutgoingLoad {
    /// Waits by group, and when they were estimated.
    waits: FastMap<String, (Time, Vec<(OrganisationKey, RankWaits)>)>,
    /// Time until a token is available, and when that was determined.
    limits: FastMap<OrganisationKey, (Time, Span)>,
}

impl OutgoingLoad {
    /// Replaces the expected waits of a group's requests by organisation.
    pub fn set_waits(&mut self, now: Time, group: &str, waits: Vec<(OrganisationKey, RankWaits)>) {
        if waits.is_empty() {
            self.waits.remove(group);
        } else {
            self.waits.insert(group.to_owned(), (now, waits));
        }
    }

    /// Records that an operation was refused, since its organisation would get a token only after
    /// `wait`.
    pub fn record_limit(&mut self, now: Time, organisation: OrganisationKey, wait: Span) {
        self.limits.insert(organisation, (now, wait));
    }

    /// Records that an organisation got a token.
    pub fn clear_limit(&mut self, organisation: OrganisationKey) {
        self.limits.remove(&organisation);
    }

    /// Forgets the limits of a configuration that was replaced: an organisation may have none any more,
    /// and so get no token that would clear its entry.
    pub fn clear_limits(&mut self) {
        self.limits.clear();
    }

    /// The report to send now: the longest waits, if there are too many.
    pub fn report(&mut self, now: Time) -> LoadReport {
        self.waits.retain(|_, (at, _)| now.since(*at) < MAX_AGE);
        self.limits.retain(|_, (at, wait)| now.since(*at) < MAX_AGE.min(*wait));
        let entries = self.waits.iter().flat_map(|(group, (at, waits))| {
            let age_ms = millis(now.since(*at));
            waits.iter().map(move |(organisation, waits_ms)| QueueWait {
                group: group.clone(),
                organisation: *organisation,
                waits_ms: *waits_ms,
                age_ms,
            })
        });
        let mut waits: Vec<_> = entries.collect();
        waits.sort_by_key(|it| Reverse(it.waits_ms.iter().flatten().max().copied()));
        waits.truncate(MAX_ENTRIES);
        let limits = self.limits.iter().map(|(organisation, (at, wait))| LimitWait {
            organisation: *organisation,
            wait_ms: millis(*wait),
            age_ms: millis(now.since(*at)),
        });
        let mut limits: Vec<_> = limits.collect();
        limits.sort_by_key(|it| Reverse(it.wait_ms));
        limits.truncate(MAX_ENTRIES);
        LoadReport { waits, limits }
    }
}

fn millis(span: Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
