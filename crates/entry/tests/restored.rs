//! Tests of the daemon process against a store that comes back from an older copy and has lost
//! what was written since.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use standins::lines::Platform;
use support::{
    CONFIG_TIMEOUT, Client, Daemon, client, databases, eventually, start_platform,
    wait_for_answers, wait_for_writes,
};

/// Longest time that the users allow until requests are served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest time of a failover while a carrier cannot be reached and lists may differ.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts daemons and waits until they serve.
fn start<const N: usize>(platform: &Platform, ips: [&str; N]) -> [Daemon; N] {
    let mut number = 0;
    let daemons = ips.map(|ip| {
        number += 1;
        Daemon::start(&format!("d{number}"), ip, 0.25, platform.addr)
    });
    for daemon in &daemons {
        daemon.wait_ready();
        wait_for_writes(daemon);
    }
    if N > 1 {
        wait_for_answers(&daemons.each_ref());
    }
    daemons
}

fn is_denied(daemon: &Daemon, database: &str) -> bool {
    let answer = Client::connect(daemon.callers, database).err();
    answer.is_some_and(|answer| answer.starts_with("ERROR NODB"))
}

/// Stops the primary and returns the new one's name.
fn fail_over(platform: &Platform, daemon: &Daemon) -> String {
    let old = platform.primary(0);
    platform.crash(&old);
    let mut session = client(daemon, "orders");
    eventually(FAILOVER_TIMEOUT, "a write after the crash", || {
        session.query("STORE after x").result.is_ok() && platform.primary(0) != old
    });
    platform.primary(0)
}

#[test]
fn a_configuration_whose_row_has_a_version_that_was_lost_comes_into_force() {
    let platform = start_platform();
    let [daemon] = start(&platform, ["127.0.2.1"]);
    platform.copy_store();
    for _ in 0..5 {
        platform.configure(&databases(&["orders", "lookups", "lost"]));
    }
    eventually(CONFIG_TIMEOUT, "the lost configuration", || {
        Client::connect(daemon.callers, "lost").is_ok()
    });
    platform.restore_store();
    platform.configure(&databases(&["orders", "lookups", "added"]));
    eventually(CONFIG_TIMEOUT, "the next configuration", || {
        Client::connect(daemon.callers, "added").is_ok() && is_denied(&daemon, "lost")
    });
}

#[test]
fn a_daemon_that_knows_only_the_older_copy_denies_no_lost_database() {
    let platform = start_platform();
    let [daemon] = start(&platform, ["127.0.2.2"]);
    platform.copy_store();
    platform.configure(&databases(&["orders", "lookups", "lost"]));
    eventually(CONFIG_TIMEOUT, "the configuration", || {
        Client::connect(daemon.callers, "lost").is_ok()
    });
    drop(daemon);
    platform.restore_store();
    let daemon = Daemon::start("d1", "127.0.2.2", 0.25, platform.addr);
    let restored = Instant::now();
    let mut is_rewritten = false;
    eventually(RECOVERY_TIMEOUT, "the database", || {
        // The operator notices the loss a moment later.
        if !is_rewritten && restored.elapsed() > Duration::from_secs(1) {
            platform.rewrite();
            is_rewritten = true;
        }
        assert!(!is_denied(&daemon, "lost"), "denied {:?} after the start", restored.elapsed());
        Client::connect(daemon.callers, "lost").is_ok()
    });
}

#[test]
fn a_primary_replaced_after_the_copy_is_not_used_by_daemons_that_know_only_the_copy() {
    let platform = start_platform();
    let [one, two] = start(&platform, ["127.0.2.3", "127.0.2.4"]);
    platform.copy_store();
    let primary = fail_over(&platform, &one);
    // When it starts again, the old primary does not learn of its successor.
    platform.set_acting_primary(0, "svc1-m1");
    let mut session = client(&one, "orders");
    assert!(session.query("STORE lot new").result.is_ok());
    drop((session, one, two));
    platform.restart("svc1-m1");
    platform.restore_store();
    platform.rewrite();
    let one = Daemon::start("d1", "127.0.2.3", 0.25, platform.addr);
    let _two = Daemon::start("d2", "127.0.2.4", 0.25, platform.addr);
    eventually(RECOVERY_TIMEOUT, "reads", || {
        let Ok(mut session) = Client::connect(one.callers, "orders") else { return false };
        let answer = session.query("FETCH lot");
        assert!(answer.result.is_err() || answer.rows == ["new"], "read behind: {answer:?}");
        answer.result.is_ok()
    });
    assert_eq!(platform.primary(0), primary);
}

/// The platform does not check tokens on all deployments, so the holders have to.
#[test]
fn no_fencing_token_of_a_lost_lease_is_used_again() {
    let platform = start_platform();
    // More than carrier slots that are free, in which carriers might be that the store has lost.
    let ips = ["127.0.2.5", "127.0.2.6", "127.0.2.9", "127.0.2.10", "127.0.2.11"];
    let [one, two, _three, _four, _five] = start(&platform, ips);
    platform.copy_store();
    // The holder changes, and the new one uses its token.
    one.suspend();
    thread::sleep(Duration::from_secs(3));
    let primary = fail_over(&platform, &two);
    platform.restore_store();
    platform.rewrite();
    one.resume();
    platform.crash(&primary);
    let mut session = client(&one, "orders");
    eventually(RECOVERY_TIMEOUT, "another primary", || {
        session.query("STORE later x").result.is_ok() && platform.primary(0) != primary
    });
    assert_eq!(platform.fence_violations(), [""; 0]);
}

/// The members' entries, the rows of carriers and the lease are lost and written again.
#[test]
fn daemons_that_run_through_serve_on_while_the_store_loses_writes() {
    let platform = start_platform();
    platform.copy_store();
    let [one, two] = start(&platform, ["127.0.2.7", "127.0.2.8"]);
    let (mut first, mut second) = (client(&one, "orders"), client(&two, "orders"));
    platform.restore_store();
    platform.rewrite();
    let restored = Instant::now();
    let mut served = 0;
    let mut number = 0;
    while restored.elapsed() < RECOVERY_TIMEOUT {
        number += 1;
        let write = first.query(&format!("STORE lot {number}")).result;
        let read = second.query("FETCH lot");
        if write.is_ok() && read.result.is_ok() {
            assert_eq!(read.rows, [number.to_string()]);
            served = number;
        }
    }
    assert_eq!(served, number, "not served to the end");
    let primary = fail_over(&platform, &one);
    assert_ne!(primary, "svc1-m1");
}
