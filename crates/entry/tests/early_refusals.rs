//! Tests of the daemon process: refusals where requests enter, by the load that carriers report.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use standins::lines::Organisation;
use support::{
    CONFIG_TIMEOUT, Client, Daemon, DaemonOptions, eventually, start_platform,
    wait_for_writes_with_key,
};

/// With as many zones, each has a single carrier, so that the next daemon of the zone relays.
const EIGHT_ZONES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const LIMITED_KEY: &str = "limited-37ab01";
const OTHER_KEY: &str = "other-c2290e";
const OVERLOAD: Duration = Duration::from_secs(6);
/// Several intervals of heartbeats and the age up to which reports count.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

fn organisations(limited: bool) -> Vec<Organisation> {
    let first = Organisation::new("limited", &[LIMITED_KEY]);
    let first = if limited { first.with_limit(2.0, 1.0) } else { first };
    vec![first, Organisation::new("other", &[OTHER_KEY])]
}

fn start(name: &str, ip: &str, platform: std::net::SocketAddr) -> Daemon {
    let options = DaemonOptions::new(name, ip, platform);
    let daemon = DaemonOptions { has_key_settings: true, zones: &EIGHT_ZONES, ..options }.start();
    daemon.wait_ready();
    wait_for_writes_with_key(&daemon, OTHER_KEY);
    daemon
}

/// Milliseconds after which a refusal says to retry.
fn retry_ms(error: &str) -> Option<u64> {
    let (_, rest) = error.split_once("; retry after ")?;
    rest.strip_suffix(" ms")?.parse().ok()
}

/// Guards against operations of an organisation over its limit that take the way to the carrier only to
/// be refused there, against refusals without a time to retry, and against refusals that go on
/// after the limit has gone, or that hit another organisation.
#[test]
fn an_organisation_over_its_limit_is_refused_where_its_requests_enter() {
    let platform = start_platform();
    platform.set_organisations(&organisations(true));
    let carrier = start("d1", "127.0.19.1", platform.addr);
    let relay = start("d2", "127.0.19.2", platform.addr);
    let open = |key| Client::connect_with_key(relay.callers, "orders", key).expect("a session");
    let (mut limited, mut other) = (open(LIMITED_KEY), open(OTHER_KEY));
    let (mut served, mut refused) = (0, 0_u64);
    let started = Instant::now();
    while started.elapsed() < OVERLOAD {
        match limited.query("STORE lot oak").result {
            Ok(_) => served += 1,
            Err(error) => {
                refused += 1;
                assert!(error.starts_with("BUSY "), "{error}");
                assert!(retry_ms(&error).is_some_and(|ms| ms >= 20), "{error}");
            }
        }
        let answer = other.query("FETCH lot").result;
        assert!(answer.is_ok(), "{answer:?}");
        thread::sleep(Duration::from_millis(5));
    }
    let early = relay.counter("refused_early");
    let at_carrier = carrier.counter("quota_refused");
    println!(
        "{served} served, {refused} refused, {early} where they entered, {at_carrier} at the carrier"
    );
    assert!(served > 0);
    assert!(early * 2 > refused, "{early} of {refused}");
    assert_eq!(early + at_carrier, refused);
    assert_eq!(carrier.counter("refused_early"), 0);
    platform.set_organisations(&organisations(false));
    // The limit itself lets a single operation pass every half of a second.
    eventually(CONFIG_TIMEOUT + RECOVERY_TIMEOUT, "service without the limit", || {
        (0..20).all(|_| limited.query("STORE lot oak").result.is_ok())
    });
}
