use adapter::StoreClient;
use base::store_version;
use standins::lines::{Options, Platform};

use super::{CoordinationState, STATE_TABLE};

/// Reads the state table as a daemon does that has just started.
async fn read(store: &StoreClient) -> CoordinationState {
    let rows = store.rows(STATE_TABLE).await.expect("the store answers");
    let mut coordination = CoordinationState::default();
    coordination.begin_era(store_version::era(rows.version), false);
    coordination.apply_rows(&rows.rows);
    coordination
}

fn holder(coordination: &CoordinationState) -> Option<&str> {
    coordination.lease().map(|(lease, _)| lease.holder.as_str())
}

/// The store gives out again the version on which the write depends, to the same row.
#[test]
fn a_late_write_of_an_earlier_era_changes_nothing() {
    let options = Options::default();
    let platform = Platform::start(&options).expect("test setup failed");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("test setup failed").block_on(write_late(&platform));
}

async fn write_late(platform: &Platform) {
    let store = StoreClient::new(platform.addr);
    let claim = |coordination: &CoordinationState, holder: &str| {
        coordination.claim_lease(holder, 1, 1_000).0
    };
    let first = claim(&read(&store).await, "a");
    store.apply(&first).await.expect("the claim succeeds");
    platform.copy_store();
    let second = claim(&read(&store).await, "b");
    let lost_version = store.apply(&second).await.expect("the claim succeeds");
    let late = claim(&read(&store).await, "c");

    platform.restore_store();
    assert_eq!(holder(&read(&store).await), None, "a lease of the earlier era has ended");
    let new = claim(&read(&store).await, "d");
    let new_version = store.apply(&new).await.expect("the claim succeeds");
    assert_eq!(store_version::era(new_version), store_version::era(lost_version) + 1);
    let era_difference = new_version - lost_version;
    assert!(era_difference.is_power_of_two(), "the store has given out the same number");
    assert!(store.apply(&late).await.is_err());
    assert_eq!(holder(&read(&store).await), Some("d"));
}
