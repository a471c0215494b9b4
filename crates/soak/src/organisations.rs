use standins::lines::Organisation;

use crate::quota::Limit;

/// Number of organisations that callers belong to.
pub(crate) const COUNT: usize = 6;
/// The organisations before this one have a low limit, which their callers exceed.
const LOW_LIMITS: usize = 2;
const LOW_LIMIT: Limit = Limit { rate_per_s: 5.0, burst: 10.0 };
const HIGH_LIMIT: Limit = Limit { rate_per_s: 10_000.0, burst: 10_000.0 };
/// Organisation of the checks, whose key and limit stay.
pub(crate) const OPERATOR: &str = "operator";

/// Name of an organisation.
pub(crate) fn name(index: usize) -> String {
    format!("o{}", index % COUNT)
}

/// The organisations at the start, without keys.
pub(crate) fn all() -> Vec<(Organisation, Limit)> {
    let callers = (0..COUNT)
        .map(|index| (name(index), if index < LOW_LIMITS { LOW_LIMIT } else { HIGH_LIMIT }));
    let all = callers.chain([(OPERATOR.to_owned(), HIGH_LIMIT)]);
    all.map(|(name, limit)| {
        (Organisation::new(&name, &[]).with_limit(limit.rate_per_s, limit.burst), limit)
    })
    .collect()
}
