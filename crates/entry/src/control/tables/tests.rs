use adapter::{Row, Rows};

use super::TableCache;

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
fn merge(cache: &mut TableCache, rows: Rows, complete: bool) -> Vec<String> {
    let updates = cache.merge(TABLE, rows, complete);
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
