//! Fencing tokens of successive holders of the failover lease.

use succession::LeaseRecord;

fn next(previous: Option<&LeaseRecord>, era: u64, holder: &str) -> LeaseRecord {
    LeaseRecord::new(previous, era, holder.to_owned(), 1)
}

#[test]
fn a_token_is_above_those_whose_leases_an_older_copy_lacks() {
    let first = next(None, 1, "a");
    let second = next(Some(&first), 1, "b");
    assert!(second.token > first.token);
    // The copy has the first lease only, or none.
    for copy in [Some(&first), None] {
        assert!(next(copy, 2, "c").token > second.token);
    }
    // Two holders in the new era do not share a token either.
    let third = next(Some(&first), 2, "c");
    assert!(next(Some(&third), 2, "d").token > third.token);
}

#[test]
fn a_token_is_above_one_that_an_earlier_version_of_the_daemon_has_written() {
    let earlier: LeaseRecord =
        serde_json::from_str(r#"{"holder":"a","run":1,"token":41,"confirmed":3}"#)
            .expect("a record without an era");
    assert!(next(Some(&earlier), 0, "b").token > 41);
    assert!(next(Some(&earlier), 1, "b").token > 41);
}
