//! Tests of the daemon process when another writer leaves entries among those of the members.

mod support;

use std::{thread, time::Duration};

use serde_json::{Value, json};
use standins::lines::Platform;
use support::{CONFIG_TIMEOUT, Daemon, client, eventually, start_platform, wait_for_writes};

const MEMBERS_TABLE: &str = "servers";
/// Interval at which members write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Rows that the store returns in one response.
const PAGE: usize = 500;

/// The entry that a member has written last.
fn entry(platform: &Platform, id: &str) -> Value {
    let row = platform.row(MEMBERS_TABLE, id).expect("an entry");
    serde_json::from_slice(&row).expect("an entry in JSON")
}

fn put_entry(platform: &Platform, id: &str, entry: &Value) {
    platform.put_row(MEMBERS_TABLE, id, entry.to_string().as_bytes());
}

/// An entry with some fields replaced.
fn with(entry: &Value, fields: &Value) -> Vec<u8> {
    let mut entry = entry.clone();
    for (name, value) in fields.as_object().expect("fields") {
        entry[name] = value.clone();
    }
    entry.to_string().into_bytes()
}

/// What another writer may leave, in the form of a member's entry.
fn foreign_entries(entry: &Value) -> Vec<Vec<u8>> {
    let nested = format!(r#"{{"state":{}1{}}}"#, "[".repeat(30_000), "]".repeat(30_000));
    let too_large = entry.to_string().replace(r#""capacity":3"#, r#""capacity":1e400"#);
    let beyond = entry.to_string().replace(r#""born":"#, r#""born":99999999999"#);
    vec![
        with(entry, &json!({"state": "maintenance", "sequence": 1_000_000})),
        with(entry, &json!({"state": "maintenance", "born": u64::MAX, "sequence": u64::MAX})),
        with(entry, &json!({"service": "another", "born": u64::MAX, "sequence": u64::MAX})),
        with(entry, &json!({"service": "svc1 x\r\nQUIT", "sequence": u64::MAX})),
        with(entry, &json!({"addr": "127.0.0.1:70000", "sequence": 2_000_000})),
        with(entry, &json!({"addr": "[::1", "sequence": 2_000_000})),
        with(entry, &json!({"capacity": -1, "sequence": 2_000_000})),
        with(entry, &json!({"capacity": 1u64 << 40, "sequence": 2_000_000})),
        with(entry, &json!({"db_role": null, "sequence": -1})),
        with(entry, &json!({"sequence": 1.5})),
        too_large.into_bytes(),
        beyond.into_bytes(),
        nested.into_bytes(),
        vec![b'{'; 60_000],
        b"\xff\xfe".to_vec(),
        Vec::new(),
    ]
}

/// A replica that runs reads.
fn reading_replica(platform: &Platform, session: &mut support::Client) -> String {
    let mut found = None;
    eventually(CONFIG_TIMEOUT, "a read at a replica", || {
        found = reader(session).filter(|member| *member != platform.primary(0));
        found.is_some()
    });
    found.expect("a replica")
}

/// The member that runs a read of a database that is read at all members.
fn reader(session: &mut support::Client) -> Option<String> {
    let signature = session.query("FETCH lot").result.ok()?;
    Some(signature.split('.').next()?.to_owned())
}

/// Guards against an entry of another writer under a member's key that hides what the member writes
/// later: it went on to get reads while it drained.
#[test]
fn a_member_drains_although_another_writer_has_written_under_its_key() {
    let platform = start_platform();
    let daemon = Daemon::start("d1", "127.0.4.1", 0.25, platform.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "lookups");
    let member = reading_replica(&platform, &mut session);
    let mut own = entry(&platform, &member);
    for (number, foreign) in foreign_entries(&own).into_iter().enumerate() {
        platform.put_row(MEMBERS_TABLE, &member, &foreign);
        own["sequence"] = json!(10 + number);
        thread::sleep(Duration::from_millis(20));
        put_entry(&platform, &member, &own);
        thread::sleep(Duration::from_millis(20));
    }
    eventually(CONFIG_TIMEOUT, "a read at the member", || {
        reader(&mut session).as_deref() == Some(member.as_str())
    });
    own["state"] = json!("draining");
    own["sequence"] = json!(100);
    put_entry(&platform, &member, &own);
    thread::sleep(HEARTBEAT);
    for _ in 0..200 {
        assert_ne!(reader(&mut session).as_deref(), Some(member.as_str()));
    }
}

/// Guards against a member that is used for good because an entry of another writer stands in the
/// place of its own, which was never written again.
#[test]
fn a_member_that_does_not_replace_another_writers_entry_is_dropped() {
    let platform = start_platform();
    let daemon = Daemon::start("d1", "127.0.4.2", 0.25, platform.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "lookups");
    let member = reading_replica(&platform, &mut session);
    platform.put_row(MEMBERS_TABLE, &member, b"{}");
    eventually(2 * CONFIG_TIMEOUT, "100 reads at other members", || {
        (0..100).all(|_| reader(&mut session).as_deref() != Some(member.as_str()))
    });
}

/// Guards against daemons that end, or stop to follow the members, because of a row that cannot be
/// read or whose key has a meaning in a query.
#[test]
fn members_are_followed_beside_entries_that_cannot_be_read() {
    let platform = start_platform();
    let own = entry(&platform, "svc1-m1");
    for (number, foreign) in foreign_entries(&own).into_iter().enumerate() {
        platform.put_row(MEMBERS_TABLE, &format!("other-{number}"), &foreign);
    }
    // They stand before those of the members, and the pages of a list end at some of them.
    for number in 0..2 * PAGE {
        platform.put_row(MEMBERS_TABLE, &format!("a&b=%41 #+\u{fc}{number}"), b"{}");
    }
    let mut daemon = Daemon::start("d1", "127.0.4.3", 0.25, platform.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "lookups");
    let member = reading_replica(&platform, &mut session);
    let drained = with(&entry(&platform, &member), &json!({"state": "draining", "sequence": 2}));
    platform.put_row(MEMBERS_TABLE, &member, &drained);
    thread::sleep(HEARTBEAT);
    for _ in 0..200 {
        assert_ne!(reader(&mut session).as_deref(), Some(member.as_str()));
    }
    daemon.terminate();
    drop(session);
    assert!(daemon.wait(), "the daemon did not end by itself before");
}
