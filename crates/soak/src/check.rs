use std::collections::{BTreeMap, BTreeSet};

use crate::history::{History, WriteOutcome};

/// Writes of the transactions of callers.
const WRITES_PER_TRANSACTION: usize = 2;

/// Compares what callers were told with what the primaries hold in the end.
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
                history.violations.push(format!("lost: {request} was acknowledged and is gone"));
            }
            WriteOutcome::NotCommitted if is_committed => {
                history.violations.push(format!("kept: {request} was refused and is there"));
            }
            _ => {}
        }
    }
    for request in kept {
        if !history.writes.contains_key(request) {
            history.violations.push(format!("unasked: {request} was committed by nobody's order"));
        }
    }
}

#[cfg(test)]
mod tests;
