//! Tests of the daemon process when carriers learn of a configuration at different times.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use standins::lines::{Options, Platform};
use support::{
    CONFIG_TIMEOUT, Client, Daemon, Link, client, databases, eventually, wait_for_answers,
    wait_for_writes,
};

/// Time after which a request must not be run by an older configuration, once the effect of a newer
/// one has been seen.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// The group that runs a read of the session.
fn group(session: &mut Client) -> String {
    let signature = session.query("FETCH lot").result.expect("a read");
    signature.split('-').next().expect("the name of a member").to_owned()
}

/// Guards against a carrier without the store that runs requests by an older configuration for up to
/// half a second longer than the others: sessions that are relayed to both fall back to it.
#[test]
fn a_carrier_without_the_store_follows_the_configuration_of_another() {
    let options = Options {
        groups: vec!["svc1".to_owned(), "svc2".to_owned()],
        databases: vec![vec!["orders".to_owned()], Vec::new()],
        ..Options::default()
    };
    let platform = Platform::start(&options).expect("test setup failed");
    let link = Link::start(platform.addr);
    let one = Daemon::start("d1", "127.0.5.1", 0.25, link.addr);
    let two = Daemon::start("d2", "127.0.5.2", 0.25, platform.addr);
    for daemon in [&one, &two] {
        daemon.wait_ready();
        wait_for_writes(daemon);
    }
    wait_for_answers(&[&one, &two]);
    let (mut at_one, mut at_two) = (client(&one, "orders"), client(&two, "orders"));
    link.cut();
    for name in ["svc2", "svc1", "svc2", "svc1", "svc2"] {
        let mut routes = vec![Vec::new(), Vec::new()];
        routes[usize::from(name == "svc2")] = databases(&["orders"]).remove(0);
        platform.configure(&routes);
        eventually(CONFIG_TIMEOUT, "the new route", || group(&mut at_two) == name);
        let seen_at = Instant::now();
        thread::sleep(ROLLBACK_SLACK);
        assert_eq!(group(&mut at_one), name, "{:?} after the effect", seen_at.elapsed());
    }
}
