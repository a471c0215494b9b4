//! Tests of the daemon process when a group's primary is replaced.

mod support;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;
use standins::lines::{Options, Platform};
use support::{
    CONFIG_TIMEOUT, Daemon, Link, client, eventually, wait_for_answers, wait_for_writes,
};

const STATE_TABLE: &str = "corianderwharf";
/// Time within which a daemon applies a changed row, well below the idle limit of transactions.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the failover API is cut off: longer than a daemon waits for a promotion.
const CUT: Duration = Duration::from_millis(4_000);
/// Longest time that the users allow for a failover.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(6);

/// Starts a platform with two groups and their databases.
fn start_two_groups(databases: Vec<Vec<String>>) -> Platform {
    let groups = vec!["svc1".to_owned(), "svc2".to_owned()];
    let options = Options { groups, databases, ..Options::default() };
    Platform::start(&options).expect("test setup failed")
}

/// A database for each of the two groups.
fn two_databases() -> Vec<Vec<String>> {
    vec![vec!["orders".to_owned()], vec!["orders-2".to_owned()]]
}

/// The databases of both groups, where `orders` belongs to the given one.
fn route(service: &str) -> Vec<Vec<String>> {
    ["svc1", "svc2"]
        .map(|name| if name == service { vec!["orders".to_owned()] } else { Vec::new() })
        .into()
}

/// Writes the record of a group's new primary as the daemon does that holds the failover lease.
fn record_primary(platform: &Platform, service: &str, id: &str) {
    let key = format!("lead/{service}");
    let record = platform.row(STATE_TABLE, &key).expect("a record of the primary");
    let mut record: Value = serde_json::from_slice(&record).expect("a record in JSON");
    record["primary"] = id.into();
    platform.put_row(STATE_TABLE, &key, record.to_string().as_bytes());
}

/// Guards against a COMMIT that is judged by the group that the database belongs to by now: it was
/// acknowledged by a replaced primary of the group that the transaction had begun in.
#[test]
fn a_commit_is_refused_if_the_route_has_moved_and_the_primary_was_replaced() {
    let platform = start_two_groups(route("svc1"));
    let daemon = Daemon::start("d1", "127.0.3.1", 0.25, platform.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "orders");
    session.query("BEGIN");
    assert!(session.query("STORE lot oak").result.is_ok());
    platform.configure(&route("svc2"));
    wait_for_writes(&daemon);
    eventually(CONFIG_TIMEOUT, "the new route", || {
        client(&daemon, "orders").query("STORE other x").result.is_ok()
            && platform.item(1, "other").is_some()
    });
    platform.replace_unnoticed(0, "svc1-m2");
    record_primary(&platform, "svc1", "svc1-m2");
    thread::sleep(RECORD_TIMEOUT);
    let answer = session.query("COMMIT").result;
    let refusal = answer.expect_err("the replaced primary's commit was acknowledged");
    assert!(refusal.starts_with("ABORTED"), "{refusal}");
    assert_eq!(platform.item(0, "lot"), None);
}

/// Guards against a healthy transaction that is aborted because its database has moved to a group
/// with another number of changes, or was dropped.
#[test]
fn a_transaction_goes_on_by_the_route_that_it_began_by() {
    let platform = start_two_groups(route("svc1"));
    let daemon = Daemon::start("d1", "127.0.3.2", 0.25, platform.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    for (item, databases) in [("moved", route("svc2")), ("dropped", route("none"))] {
        platform.configure(&route("svc1"));
        eventually(CONFIG_TIMEOUT, "the first route", || {
            client(&daemon, "orders").query(&format!("STORE before-{item} x")).result.is_ok()
                && platform.item(0, &format!("before-{item}")).is_some()
        });
        let mut session = client(&daemon, "orders");
        session.query("BEGIN");
        assert!(session.query(&format!("STORE {item} x")).result.is_ok());
        platform.configure(&databases);
        thread::sleep(RECORD_TIMEOUT);
        assert!(session.query(&format!("FETCH {item}")).result.is_ok());
        let answer = session.query("COMMIT").result;
        assert!(answer.is_ok(), "{item}: {answer:?}");
        assert_eq!(platform.item(0, item).as_deref(), Some("x"));
    }
}

/// Starts a daemon that reaches the failover API through a link, and fails over the first group, as
/// clients that reuse connections have one open afterwards.
fn start_behind_link(platform: &Platform, name: &str, ip: &str) -> (Daemon, Link) {
    let link = Link::start(platform.addr);
    let daemon = Daemon::start_with_failover_api(name, ip, 0.25, platform.addr, link.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    wait_for_write(daemon.callers, "orders-2");
    platform.crash("svc1-m1");
    wait_for_write(daemon.callers, "orders");
    (daemon, link)
}

/// Tries to write to a database for a while.
fn write_for(length: Duration, daemon: SocketAddr, database: &str) {
    let end = Instant::now() + length;
    while Instant::now() < end {
        if let Ok(mut session) = support::Client::connect(daemon, database) {
            // The primary may be missing.
            let _ = session.try_query("STORE lot y");
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until a write to a database succeeds.
fn wait_for_write(daemon: SocketAddr, database: &str) {
    eventually(2 * FAILOVER_TIMEOUT, "a write", || {
        let session = support::Client::connect(daemon, database);
        session.is_ok_and(|mut session| session.query("STORE lot x").result.is_ok())
    });
}

/// Guards against a failover call that a partition holds up and that takes effect after another
/// member was promoted: writes were lost, and all later ones were refused.
#[test]
fn a_failover_call_held_up_by_a_partition_replaces_no_later_primary() {
    let platform = start_two_groups(two_databases());
    let (daemon, link) = start_behind_link(&platform, "d1", "127.0.3.3");
    link.cut();
    platform.crash("svc2-m1");
    write_for(CUT, daemon.callers, "orders-2");
    link.heal();
    wait_for_write(daemon.callers, "orders-2");
    let mut session = client(&daemon, "orders-2");
    for number in 0..30 {
        let answer = session.query(&format!("STORE lot-{number} x")).result;
        assert!(answer.is_ok(), "{answer:?}");
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(platform.promotions(1), 1);
}

/// Guards against a failover call of a killed holder that arrives after its successor's.
#[test]
fn a_failover_call_of_a_killed_holder_is_not_delivered_after_its_successors() {
    let platform = start_two_groups(two_databases());
    let (holder, link) = start_behind_link(&platform, "d1", "127.0.3.4");
    // Two, so that the others are a majority without the holder.
    let others = [("d2", "127.0.3.5"), ("d3", "127.0.3.6")]
        .map(|(name, ip)| Daemon::start(name, ip, 0.25, platform.addr));
    for other in &others {
        other.wait_ready();
    }
    wait_for_answers(&[&holder, &others[0], &others[1]]);
    link.cut();
    platform.crash("svc2-m1");
    write_for(CUT / 2, others[0].callers, "orders-2");
    holder.kill();
    wait_for_write(others[0].callers, "orders-2");
    link.heal();
    thread::sleep(RECORD_TIMEOUT);
    assert_eq!(platform.fence_violations(), [""; 0]);
    assert_eq!(platform.promotions(1), 1);
}

/// Guards against the promotion of a replica that lacks acknowledged commits, while the one that has
/// confirmed them cannot be reached by the daemon.
#[test]
fn a_replica_that_lacks_acknowledged_commits_is_not_promoted() {
    let options = Options {
        groups: vec!["svc1".to_owned()],
        databases: vec![vec!["orders".to_owned()]],
        sync_replicas: 1,
        ..Options::default()
    };
    let platform = Platform::start(&options).expect("test setup failed");
    let link = Link::start(platform.member_addr("svc1-m2").expect("a member"));
    platform.advertise("svc1-m2", link.addr);
    let daemon = Daemon::start("d1", "127.0.3.7", 0.25, platform.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    platform.set_deaf("svc1-m3", true);
    let mut session = client(&daemon, "orders");
    assert!(session.query("STORE confirmed oak").result.is_ok());
    link.cut();
    platform.crash("svc1-m1");
    write_for(CUT, daemon.callers, "orders");
    assert_eq!(platform.promotions(0), 0);
    link.heal();
    eventually(FAILOVER_TIMEOUT, "a failover", || platform.promotions(0) == 1);
    assert_eq!(platform.primary(0), "svc1-m2");
    assert_eq!(platform.item(0, "confirmed").as_deref(), Some("oak"));
}
