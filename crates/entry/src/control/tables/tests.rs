use adapter::{MemberEntry, OPERATOR_TABLE, Revision, Row, Rows};

use super::{ReceivedRows, TableCache};

const TABLE: &str = "servers";

/// Rows of `keys`, each at its version, as of a version of the store.
fn rows(version: u64, keys: &[(&str, u64)]) -> Rows {
    let row = |(key, version): &(&str, u64)| Row {
        key: (*key).to_owned(),
        value: Some(b"entry".to_vec()),
        version: *version,
    };
    Rows { rows: keys.iter().map(row).collect(), version, clock_ms: 0 }
}

/// Merges rows and returns the keys of those that changed the cache, deleted ones with a minus.
fn merge(cache: &mut TableCache, rows: impl Into<ReceivedRows>, complete: bool) -> Vec<String> {
    let revision_of = |row: &Row| {
        let entry = MemberEntry::decode(&row.key, row.value.as_deref()?)?;
        (entry.group == "svc").then(|| Revision::of_entry(&entry))
    };
    let updates = cache.merge(TABLE, rows.into(), complete, revision_of);
    let name = |row: Row| if row.value.is_some() { row.key } else { format!("-{}", row.key) };
    updates.into_iter().map(name).collect()
}

/// A daemon restarts after a member has left, and asks a daemon that still lists the member for
/// rows of another table.
#[test]
fn a_restarted_daemon_ignores_rows_that_were_deleted_before_it_read_the_store() {
    let mut cache = TableCache::default();
    assert_eq!(merge(&mut cache, rows(90, &[("m1", 10), ("m2", 20)]), true), ["m1", "m2"]);
    let stale = rows(70, &[("m1", 10), ("m2", 20), ("left", 30)]);
    assert_eq!(merge(&mut cache, stale, true), Vec::<String>::new());
}

#[test]
fn rows_of_a_daemon_that_knows_more_are_taken_over() {
    let mut cache = TableCache::default();
    merge(&mut cache, rows(50, &[("m1", 10), ("m2", 20)]), true);
    assert_eq!(merge(&mut cache, rows(80, &[("m1", 60), ("m3", 70)]), true), ["-m2", "m1", "m3"]);
    assert_eq!(merge(&mut cache, rows(90, &[("m2", 85)]), false), ["m2"]);
}

/// A response to an earlier question that arrives late.
#[test]
fn an_older_list_neither_deletes_nor_restores_rows() {
    let mut cache = TableCache::default();
    merge(&mut cache, rows(50, &[("m1", 10)]), true);
    merge(&mut cache, rows(60, &[("m2", 55)]), false);
    assert_eq!(merge(&mut cache, rows(52, &[("m1", 10), ("left", 5)]), true), Vec::<String>::new());
}

/// Difference between versions with the same number of two successive eras.
const ERA: u64 = 1 << 40;

fn entry(key: &str, state: &str, sequence: u64, version: u64) -> Row {
    entry_of("svc", key, state, (100, sequence), version)
}

/// An entry with `born` and `sequence`.
fn entry_of(
    service: &str,
    key: &str,
    state: &str,
    (born, sequence): (u64, u64),
    version: u64,
) -> Row {
    let value = serde_json::json!({"service": service, "addr": "127.0.0.1:1", "zone": "a",
        "capacity": 3, "state": state, "db_role": "replica", "sequence": sequence, "born": born});
    Row { key: key.to_owned(), value: Some(value.to_string().into_bytes()), version }
}

fn config(number: u64, version: u64) -> Row {
    let value = format!(r#"{{"version":{number}}}"#);
    Row { key: "config".to_owned(), value: Some(value.into_bytes()), version }
}

fn list(version: u64, rows: &[Row]) -> Rows {
    Rows { rows: rows.to_vec(), version, clock_ms: 0 }
}

#[test]
fn a_draining_member_stays_so_when_an_older_copy_of_the_store_shows_it_ready() {
    let mut cache = TableCache::default();
    let ready = entry("m1", "ready", 1, ERA + 10);
    merge(&mut cache, list(ERA + 50, &[entry("m1", "draining", 7, ERA + 50)]), true);
    let copy = Row { version: 2 * ERA + 10, ..ready };
    assert!(merge(&mut cache, list(2 * ERA + 20, &[copy]), true).is_empty());
    // The member repeats what it said before, and then what it said last.
    let repeated = list(2 * ERA + 21, &[entry("m1", "ready", 5, 2 * ERA + 21)]);
    assert!(merge(&mut cache, repeated, false).is_empty());
    let latest = list(2 * ERA + 22, &[entry("m1", "draining", 8, 2 * ERA + 22)]);
    assert_eq!(merge(&mut cache, latest, false), ["m1"]);
}

#[test]
fn a_member_that_left_stays_so_when_an_older_copy_of_the_store_lists_it() {
    let mut cache = TableCache::default();
    merge(&mut cache, list(ERA + 10, &[entry("m1", "ready", 1, ERA + 10)]), true);
    merge(&mut cache, list(ERA + 20, &[]), true);
    let copy = list(2 * ERA + 15, &[entry("m1", "ready", 1, 2 * ERA + 10)]);
    assert!(merge(&mut cache, copy, true).is_empty());
    // It lives, and its entry had only lapsed.
    let back = list(2 * ERA + 16, &[entry("m1", "ready", 1, 2 * ERA + 16)]);
    assert_eq!(merge(&mut cache, back, false), ["m1"]);
}

/// Its clock may have been set back before it was started again.
#[test]
fn a_restarted_member_is_used_although_its_clock_went_back() {
    let mut cache = TableCache::default();
    merge(&mut cache, list(ERA + 10, &[entry("m1", "ready", 9, ERA + 10)]), true);
    let restarted = entry_of("svc", "m1", "ready", (90, 1), 2 * ERA + 16);
    merge(&mut cache, list(2 * ERA + 15, &[entry("m1", "ready", 9, 2 * ERA + 10)]), true);
    assert_eq!(merge(&mut cache, list(2 * ERA + 16, &[restarted]), false), ["m1"]);
}

/// One daemon ran through and has the configuration that the store has lost, the other has read
/// the copy.
#[test]
fn a_daemon_takes_a_configuration_that_the_store_has_lost_from_another() {
    let merge = |cache: &mut TableCache, rows: ReceivedRows| {
        cache.merge(OPERATOR_TABLE, rows, true, Revision::of_config).len()
    };
    let (mut ran_through, mut started) = (TableCache::default(), TableCache::default());
    let copy = || list(2 * ERA + 20, &[config(10, 2 * ERA + 10)]);
    merge(&mut ran_through, list(ERA + 50, &[config(18, ERA + 50)]).into());
    assert_eq!(merge(&mut ran_through, copy().into()), 0);
    assert_eq!(merge(&mut ran_through, list(2 * ERA + 21, &[]).into()), 0);
    assert_eq!(merge(&mut started, copy().into()), 1);
    let snapshot = ran_through.snapshots(Some(OPERATOR_TABLE)).remove(0);
    assert_eq!(merge(&mut started, ReceivedRows::from(snapshot)), 1);
    // The older configuration comes back neither from the store nor from a daemon.
    assert_eq!(merge(&mut started, copy().into()), 0);
    assert_eq!(merge(&mut started, list(2 * ERA + 30, &[config(21, 2 * ERA + 30)]).into()), 1);
}

/// Guards against an entry of another writer that hides all that a member writes later, also that it
/// drains, because it states a higher number or a later start.
#[test]
fn a_members_entry_is_used_after_one_of_another_writer() {
    let foreign = [
        entry_of("svc", "m1", "maintenance", (100, 1_000_000), ERA + 20),
        entry_of("svc", "m1", "maintenance", (u64::MAX, 1), ERA + 20),
        entry_of("another", "m1", "ready", (100, u64::MAX), ERA + 20),
        entry_of("another", "m1", "ready", (u64::MAX, u64::MAX), ERA + 20),
        Row {
            value: Some(br#"{"sequence":9000,"born":100}"#.to_vec()),
            ..entry("m1", "", 0, ERA + 20)
        },
        Row { value: Some(b"\xff".to_vec()), ..entry("m1", "", 0, ERA + 20) },
        Row { value: Some(vec![b'['; 100_000]), ..entry("m1", "", 0, ERA + 20) },
    ];
    for foreign in foreign {
        // In the same era, and after the store has come back from an older copy.
        for (era, sequence) in [(ERA, 8), (2 * ERA, 8), (2 * ERA, 7)] {
            let mut cache = TableCache::default();
            merge(&mut cache, list(ERA + 10, &[entry("m1", "ready", 7, ERA + 10)]), true);
            merge(&mut cache, list(ERA + 20, std::slice::from_ref(&foreign)), false);
            let own = list(era + 30, &[entry("m1", "draining", sequence, era + 30)]);
            assert_eq!(merge(&mut cache, own, false), ["m1"], "{foreign:?}");
        }
    }
}

/// Guards against the same in rows that a daemon passes on: what another writer has left is older
/// there, whatever it states.
#[test]
fn an_entry_of_another_writer_does_not_come_back_from_a_daemon() {
    let foreign = entry_of("another", "m1", "ready", (u64::MAX, u64::MAX), ERA + 20);
    let (mut behind, mut cache) = (TableCache::default(), TableCache::default());
    merge(&mut behind, list(ERA + 20, &[foreign]), true);
    merge(&mut cache, list(ERA + 30, &[entry("m1", "draining", 8, ERA + 30)]), true);
    let snapshot = behind.snapshots(Some(TABLE)).remove(0);
    assert!(merge(&mut cache, snapshot, true).is_empty());
    let snapshot = cache.snapshots(Some(TABLE)).remove(0);
    assert_eq!(merge(&mut behind, snapshot, true), ["m1"]);
}

/// Guards against a draining member that is shown ready to a daemon which has its rows from another
/// one: the row is that of an older copy of the store, the value is not.
#[test]
fn a_value_that_the_store_has_lost_stays_in_force_at_a_daemon_that_has_it_from_another() {
    let (mut cache, mut other) = (TableCache::default(), TableCache::default());
    merge(&mut cache, list(ERA + 50, &[entry("m1", "draining", 7, ERA + 50)]), true);
    merge(&mut cache, list(2 * ERA + 20, &[entry("m1", "ready", 1, 2 * ERA + 10)]), true);
    let snapshot = cache.snapshots(Some(TABLE)).remove(0);
    assert_eq!(merge(&mut other, snapshot, true), ["m1"]);
    let repeated = list(2 * ERA + 21, &[entry("m1", "ready", 5, 2 * ERA + 21)]);
    assert!(merge(&mut other, repeated, false).is_empty());
}
