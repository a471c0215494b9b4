use std::collections::BTreeMap;

use standins::lines::RunStatement;

/// Bounds of the daemons' settings.
pub(crate) const WINDOW_S: u64 = 5;
pub(crate) const OVERSHOOT: f64 = 0.1;
pub(crate) const SLACK: f64 = 20.0;
/// How long a higher limit may stay in force after it was replaced: 5 s for keyed statements without
/// the store, and 8 s for the longest time for which the store can have lost the lower one.
const LIMIT_MEMORY_US: u64 = 13_000_000;

/// A limit of an organisation's operations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limit {
    pub(crate) rate_per_s: f64,
    pub(crate) burst: f64,
}

impl Limit {
    /// Most operations in a window.
    fn allowed(self) -> f64 {
        (self.rate_per_s * WINDOW_S as f64 + self.burst) * (1.0 + OVERSHOOT) + SLACK
    }
}

/// Limits of the organisations, each with the time in microseconds on the stand-in's clock at which
/// the store had accepted it.
#[derive(Debug, Default)]
pub(crate) struct LimitHistory {
    limits: BTreeMap<String, Vec<(u64, Limit)>>,
}

impl LimitHistory {
    pub(crate) fn set(&mut self, organisation: &str, accepted_at_us: u64, limit: Limit) {
        self.limits.entry(organisation.to_owned()).or_default().push((accepted_at_us, limit));
    }

    /// Checks every window of the operations that members have run. The statements are in the order
    /// in which they ran.
    pub(crate) fn violations(&self, run: &[RunStatement]) -> Vec<String> {
        let windows = self.limits.iter().filter_map(|(organisation, limits)| {
            let operations = run.iter().filter(|it| it.begins_operation);
            let times: Vec<_> = operations
                .filter(|it| it.organisation == *organisation)
                .map(|it| it.at.as_micros())
                .collect();
            // One violation for each organisation shows enough.
            times.iter().enumerate().find_map(|(index, from)| {
                let until = *from + WINDOW_S * 1_000_000;
                let count = times[index..].iter().take_while(|at| **at < until).count();
                let allowed = allowed(limits, *from, until);
                (count as f64 > allowed).then(|| {
                    format!("quota: {organisation} ran {count} operations in a window, allowed {allowed}")
                })
            })
        });
        windows.collect()
    }
}

/// Most operations in a window, by the highest limit that may have been in force in it.
fn allowed(limits: &[(u64, Limit)], from: u64, until: u64) -> f64 {
    let ends = limits.iter().skip(1).map(|(at, _)| Some(*at)).chain([None]);
    let relevant = limits.iter().zip(ends).filter(|((start, _), end)| {
        *start < until && end.is_none_or(|end| end + LIMIT_MEMORY_US > from)
    });
    relevant.map(|((_, limit), _)| limit.allowed()).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;
