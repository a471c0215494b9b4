use std::time::{Duration, Instant};

use super::{Change, ConfigHistory, Treatment};

/// Whether an answer to a request of second 5 is outdated after changes at these seconds.
fn is_outdated(treatment: Treatment, changes: &[(u64, bool)], unfollowed_at: Option<u64>) -> bool {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let changes = changes
        .iter()
        .map(|(seconds, exists)| Change { acknowledged_at: Some(at(*seconds)), exists: *exists });
    let history =
        ConfigHistory { changes: changes.collect(), unfollowed_at: unfollowed_at.map(at) };
    history.is_outdated(treatment, at(5))
}

#[test]
fn only_a_configuration_that_was_replaced_in_time_is_outdated() {
    assert!(is_outdated(Treatment::Denied, &[(0, false), (1, true)], None));
    assert!(!is_outdated(Treatment::Denied, &[(0, true), (1, false)], None));
    assert!(!is_outdated(Treatment::Denied, &[(0, true), (4, false)], None));
    assert!(!is_outdated(Treatment::Denied, &[(0, false), (4, true)], None));
    assert!(is_outdated(Treatment::Run, &[(0, true), (1, false)], None));
    assert!(!is_outdated(Treatment::Run, &[(0, true), (1, false)], Some(2)));
    assert!(is_outdated(Treatment::Denied, &[(0, false), (1, true)], Some(2)));
}
