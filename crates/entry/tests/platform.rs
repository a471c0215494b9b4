//! The real daemon against a stand-in of the users' platform, on loopback.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use support::{Client, Daemon, databases, world};

/// The users' bound for a change of primary.
const CHANGE_LIMIT: Duration = Duration::from_secs(6);
/// How long a configuration may take to be in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);
/// Twice as long as an answer of the store lets a primary be used.
const TWO_GRANTS: Duration = Duration::from_secs(3);
/// Time between SIGTERM and SIGKILL in the settings of these tests, and what a statement
/// that was taken in last may need of it.
const GRACE: Duration = Duration::from_secs(6);
const LAST_STATEMENT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(20);

fn eventually(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < end, "{what}: not within {limit:?}");
        thread::sleep(PAUSE);
    }
}

fn client(daemon: &Daemon, database: &str) -> Client {
    Client::connect(daemon.callers, database).expect("a session")
}

/// Waits until the primary is known and may be used.
fn wait_for_writes(daemon: &Daemon) {
    let mut client = client(daemon, "orders");
    eventually(Duration::from_secs(15), "a first write", || {
        client.query("STORE warm up").result.is_ok()
    });
}

#[test]
fn statements_transactions_values_and_names_work() {
    let world = world();
    let daemon = Daemon::start("d1", "127.0.1.1", 0.25, world.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let (mut one, mut other) = (client(&daemon, "orders"), client(&daemon, "lookups"));
    assert!(one.query("STORE lot-1 oak tree").result.is_ok());
    assert_eq!(one.query("FETCH lot-1").rows, ["oak tree"]);

    assert_eq!(one.query("BEGIN").state, "T");
    assert!(one.query("STORE lot-2 elm").result.is_ok());
    assert_eq!(world.item(0, "lot-2"), None);
    let commit = one.query("COMMIT");
    assert_eq!((commit.result, commit.state.as_str()), (Ok("svc1-m1.sig".to_owned()), "I"));
    assert_eq!(world.item(0, "lot-2").as_deref(), Some("elm"));

    one.query("BEGIN");
    one.query("STORE lot-3 ash");
    assert_eq!(one.query("ROLLBACK").state, "I");
    assert_eq!(world.item(0, "lot-3"), None);

    one.query("SET region south");
    one.query("PREPARE s1 STORE shape");
    other.query("PREPARE s1 FETCH shape");
    assert!(one.query("EXECUTE s1 lot-4 fir").result.is_ok());
    assert_eq!(other.query("EXECUTE s1 lot-4").rows, ["fir"]);
    assert_eq!(one.query("FETCH values").rows, [r#"{"region": "south"}"#]);
    assert_eq!(other.query("FETCH values").rows, ["{}"]);
    one.query("DEALLOC s1");
    assert!(one.query("EXECUTE s1 lot-4 x").result.unwrap_err().starts_with("NOSTMT"));
    assert!(one.query("NONSENSE").result.unwrap_err().starts_with("MALFORMED"));
}

/// The caller has prepared the name, so only the members lack it: nothing ran, and the
/// caller may come back.
#[test]
fn a_name_that_members_lack_again_and_again_is_answered_busy() {
    let world = world();
    let daemon = Daemon::start("d1", "127.0.1.8", 0.25, world.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "orders");
    assert!(session.query("PREPARE s1 STORE forgotten").result.is_ok());
    let refusal = session.query("EXECUTE s1 lot-1 oak").result.unwrap_err();
    assert!(refusal.starts_with("BUSY"), "{refusal}");
    assert_eq!(world.item(0, "lot-1"), None);
}

#[test]
fn a_crashed_primary_is_replaced_and_no_write_is_lost() {
    let world = world();
    let daemon = Daemon::start("d1", "127.0.1.2", 0.25, world.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "orders");
    let mut acknowledged = Vec::new();
    for number in 0..20 {
        if session.query(&format!("STORE before-{number} x")).result.is_ok() {
            acknowledged.push(format!("before-{number}"));
        }
    }
    world.crash("svc1-m1");
    let mut number = 0;
    eventually(CHANGE_LIMIT, "a write after the crash", || {
        number += 1;
        let item = format!("after-{number}");
        let done = session.query(&format!("STORE {item} x")).result.is_ok();
        if done {
            acknowledged.push(item);
        }
        done
    });
    assert_ne!(world.primary(0), "svc1-m1");
    for item in acknowledged {
        assert_eq!(world.item(0, &item).as_deref(), Some("x"), "{item}");
    }
}

#[test]
fn configurations_come_into_force_and_unknown_names_are_refused() {
    let world = world();
    let daemon = Daemon::start("d1", "127.0.1.3", 0.25, world.addr);
    daemon.wait_ready();
    let refusal = Client::connect(daemon.callers, "nobody").err().expect("a refusal");
    assert!(refusal.starts_with("ERROR NODB"), "{refusal}");
    world.configure(&databases(&["orders", "lookups", "nobody"]));
    eventually(CONFIG_LIMIT, "a new name", || Client::connect(daemon.callers, "nobody").is_ok());
    let mut session = client(&daemon, "lookups");
    world.configure(&databases(&["orders"]));
    eventually(CONFIG_LIMIT, "a dropped name", || {
        session.query("FETCH x").result.is_err_and(|error| error.starts_with("NODB"))
    });
}

#[test]
fn a_daemon_alone_stops_using_the_primary_when_the_store_is_gone() {
    let world = world();
    let daemon = Daemon::start("d1", "127.0.1.4", 0.25, world.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "orders");
    world.set_store_down(true);
    eventually(Duration::from_secs(4), "a refusal", || {
        session.query("STORE a x").result.is_err_and(|error| error.starts_with("READONLY"))
    });
    assert!(!daemon.is_ready());
    world.set_store_down(false);
    eventually(Duration::from_secs(4), "writes again", || {
        session.query("STORE a x").result.is_ok()
    });
}

#[test]
fn two_daemons_stand_in_for_the_store_and_see_each_others_writes() {
    let world = world();
    let one = Daemon::start("d1", "127.0.1.5", 0.25, world.addr);
    let two = Daemon::start("d2", "127.0.1.6", 0.25, world.addr);
    for daemon in [&one, &two] {
        daemon.wait_ready();
        wait_for_writes(daemon);
    }
    eventually(Duration::from_secs(3), "two carriers", || {
        world.count_rows("corianderwharf", "carrier/") == 2
    });
    eventually(Duration::from_secs(3), "answers of each other", || {
        one.is_granted_without_store() && two.is_granted_without_store()
    });
    world.set_store_down(true);
    let (mut here, mut there) = (client(&one, "orders"), client(&two, "orders"));
    let end = Instant::now() + TWO_GRANTS;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        assert!(here.query(&format!("STORE lot {number}")).result.is_ok());
        assert_eq!(there.query("FETCH lot").rows, [number.to_string()]);
    }
}

#[test]
fn a_planned_stop_lets_a_transaction_end_and_leaves_in_order() {
    let world = world();
    let mut daemon = Daemon::start("d1", "127.0.1.7", 0.25, world.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "orders");
    session.query("BEGIN");
    assert!(session.query("STORE last one").result.is_ok());
    daemon.terminate();
    eventually(Duration::from_secs(1), "not ready", || !daemon.is_ready());
    assert!(session.query("COMMIT").result.is_ok());
    assert_eq!(world.item(0, "last").as_deref(), Some("one"));
    drop(session);
    assert!(daemon.wait());
}

/// Load pattern: a caller without pauses, so that no moment is quiet. Its session must
/// end between two statements and early enough for the last one.
#[test]
fn a_busy_session_ends_between_two_statements_before_the_process_does() {
    let world = world();
    let mut daemon = Daemon::start("d1", "127.0.1.9", 0.25, world.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let mut session = client(&daemon, "orders");
    daemon.terminate();
    let stopped = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        match session.try_query(&format!("STORE n{number} x")) {
            Some(reply) => assert!(reply.result.is_ok(), "{reply:?}"),
            None => break,
        }
    }
    assert!(stopped.elapsed() < GRACE - LAST_STATEMENT, "{:?}", stopped.elapsed());
    assert_eq!(world.item(0, &format!("n{number}")), None, "taken in and cut");
    assert!(daemon.wait());
}

/// Golden sessions of the line protocol, word for word.
#[test]
fn sessions_read_as_agreed() {
    let world = world();
    let daemon = Daemon::start("d1", "127.0.1.10", 0.25, world.addr);
    daemon.wait_ready();
    wait_for_writes(&daemon);
    let transcript = |database, statements: &[&str]| {
        let mut session = client(&daemon, database);
        for statement in statements {
            session.query(statement);
        }
        // Any member may serve the reads of lookups.
        session.transcript.replace("-m2.sig", "-m1.sig").replace("-m3.sig", "-m1.sig")
    };
    let single = ["STORE lot oak tree", "FETCH lot", "FETCH nothing", "NONSENSE", "FETCH"];
    insta::assert_snapshot!("single", transcript("orders", &single));
    let kept = ["BEGIN", "STORE lot elm", "FETCH lot", "COMMIT", "FETCH lot", "COMMIT"];
    insta::assert_snapshot!("transaction", transcript("orders", &kept));
    let dropped = ["BEGIN", "STORE lot ash", "BEGIN", "FETCH lot", "ROLLBACK", "FETCH lot"];
    insta::assert_snapshot!("failed_transaction", transcript("orders", &dropped));
    let read_only = ["BEGIN FETCH", "FETCH lot", "COMMIT"];
    insta::assert_snapshot!("read_only_transaction", transcript("lookups", &read_only));
    let names = [
        "SET region south",
        "PREPARE s1 FETCH shape",
        "EXECUTE s1 lot",
        "DEALLOC s1",
        "EXECUTE s1 lot",
        "DEALLOC s1",
    ];
    insta::assert_snapshot!("names", transcript("lookups", &names));
}
