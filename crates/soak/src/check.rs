use std::collections::{BTreeMap, BTreeSet};

use crate::history::{History, WriteOutcome};

/// Number of writes in each transaction that callers commit.
const WRITES_PER_TRANSACTION: usize = 2;

/// Compares the outcomes reported to callers with the commits on the primaries at the end of
/// the run. Each group is a list of committed requests with their number of writes.
pub(crate) fn commits(history: &mut History, groups: &[Vec<(String, usize)>]) {
    let mut kept = BTreeMap::new();
    for (request, writes) in groups.iter().flatten() {
        *kept.entry(request.as_str()).or_insert(0) += 1;
        if *writes > WRITES_PER_TRANSACTION {
            history.violations.push(format!("mixed: {request} committed {writes} writes"));
        }
    }
    for (request, times) in &kept {
        if *times > 1 {
            history.violations.push(format!("twice: {request} was committed {times} times"));
        }
    }
    let kept: BTreeSet<_> = kept.into_keys().collect();
    for (request, outcome) in &history.writes {
        let is_committed = kept.contains(request.as_str());
        match outcome {
            WriteOutcome::Acknowledged if !is_committed => {
                history.violations.push(format!("lost: {request} was acknowledged but is gone"));
            }
            WriteOutcome::NotCommitted if is_committed => {
                history.violations.push(format!("kept: {request} was refused but is committed"));
            }
            _ => {}
        }
    }
    for request in kept {
        if !history.writes.contains_key(request) {
            history
                .violations
                .push(format!("unasked: {request} is committed but no caller sent it"));
        }
    }
}

#[cfg(test)]
mod tests;
