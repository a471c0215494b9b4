//! Which evidence shows that the copies of the configuration and of the members are recent.

use base::{Span, Time};
use succession::{COPY_WITHOUT_STORE, Copied, CopyLease, GRANT_DURATION, PeerCopy};

const AGE: Span = Span::from_millis(400);

/// Copies of a carrier that the store has not answered since it started.
const WITHOUT_STORE: [PeerCopy; 2] = [PeerCopy { newest: 5, age: None }; 2];

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn copies(newest: u64) -> [PeerCopy; 2] {
    [PeerCopy { newest, age: Some(AGE) }; 2]
}

/// The lease of a carrier, one of three, that has read version 5 of both tables at 1 s.
fn lease() -> CopyLease {
    let mut lease = CopyLease::default();
    lease.set_peers(["b", "c"].into_iter());
    for table in Copied::ALL {
        lease.rows_applied(table, 5);
        lease.store_answered(table, at(1_000));
    }
    lease
}

#[test]
fn a_copy_is_used_no_longer_than_a_grant_after_the_question_that_confirmed_it() {
    let mut lease = lease();
    assert_eq!(lease.expires_at(), at(1_000) + GRANT_DURATION);
    lease.peer_answered(at(1_300), "b", Some(at(1_200)), copies(5));
    assert_eq!(lease.expires_at(), at(1_200) + GRANT_DURATION);
    // What the carrier did not learn for 5.4 s does not count as unchanged.
    assert!(lease.expires_at() < at(1_200 + 5_400));
}

#[test]
fn a_confirmation_travels_with_its_age() {
    let mut lease = lease();
    lease.peer_answered(at(9_300), "b", Some(at(9_200)), copies(5));
    assert_eq!(lease.confirmed_at(Copied::Config), Some(at(8_800)));
    // An answer to no question of this daemon may be of any age.
    lease.peer_answered(at(9_500), "c", None, copies(5));
    assert_eq!(lease.confirmed_at(Copied::Config), Some(at(8_800)));
}

#[test]
fn a_carrier_that_lacks_rows_is_not_kept_going_by_those_that_lack_them_too() {
    let mut lease = lease();
    lease.peer_answered(at(2_000), "b", Some(at(1_900)), copies(6));
    for step in 0..20 {
        let now = 2_100 + step * 250;
        lease.peer_answered(at(now), "c", Some(at(now - 50)), WITHOUT_STORE);
    }
    assert_eq!(lease.expires_at(), at(2_000) + GRANT_DURATION);
    lease.rows_applied(Copied::Config, 6);
    lease.rows_applied(Copied::Members, 6);
    lease.peer_answered(at(8_000), "b", Some(at(7_950)), copies(6));
    assert_eq!(lease.expires_at(), at(7_950) + GRANT_DURATION);
}

#[test]
fn members_that_may_be_outdated_end_the_lease_as_well() {
    let mut lease = lease();
    lease.store_answered(Copied::Config, at(9_000));
    assert_eq!(lease.expires_at(), at(1_000) + GRANT_DURATION);
}

#[test]
fn carriers_keep_each_other_going_while_the_store_is_silent_but_not_for_ever() {
    let mut lease = lease();
    for step in 0..100 {
        let now = 1_300 + step * 250;
        lease.peer_answered(at(now), "b", Some(at(now - 50)), WITHOUT_STORE);
    }
    assert_eq!(lease.expires_at(), at(1_000) + COPY_WITHOUT_STORE);
}
