use std::collections::{BTreeMap, BTreeSet};

use crate::history::{Fate, History};

/// Writes of the transactions of callers.
const TRANSACTION_WRITES: usize = 2;

/// Compares what callers were told with what the primaries hold in the end.
pub(crate) fn commits(history: &mut History, groups: &[Vec<(String, usize)>]) {
    let mut kept = BTreeMap::new();
    for (request, writes) in groups.iter().flatten() {
        *kept.entry(request.as_str()).or_insert(0) += 1;
        if *writes > TRANSACTION_WRITES {
            history.broken.push(format!("mixed: {request} committed {writes} writes"));
        }
    }
    for (request, times) in &kept {
        if *times > 1 {
            history.broken.push(format!("twice: {request} was committed {times} times"));
        }
    }
    let kept: BTreeSet<_> = kept.into_keys().collect();
    for (request, fate) in &history.writes {
        let there = kept.contains(request.as_str());
        match fate {
            Fate::Acknowledged if !there => {
                history.broken.push(format!("lost: {request} was acknowledged and is gone"));
            }
            Fate::NotKept if there => {
                history.broken.push(format!("kept: {request} was refused and is there"));
            }
            _ => {}
        }
    }
    for request in kept {
        if !history.writes.contains_key(request) {
            history.broken.push(format!("unasked: {request} was committed by nobody's order"));
        }
    }
}

#[cfg(test)]
mod tests;
