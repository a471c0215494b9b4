//! Tests of the daemon process after all carriers, or those of a zone, have been lost for good.

mod support;

use std::{thread, time::Duration};

use serde_json::Value;
use standins::lines::Platform;
use support::{
    Client, Daemon, DaemonOptions, eventually, start_platform, wait_for_answers, wait_for_writes,
};

/// With as many zones, each has a single carrier slot.
const ZONES: [[&str; 8]; 3] = [
    ["a", "b", "c", "d", "e", "f", "g", "h"],
    ["b", "a", "c", "d", "e", "f", "g", "h"],
    ["c", "a", "b", "d", "e", "f", "g", "h"],
];
/// Longest time that the users allow until requests are served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than the carriers' answers can replace those of the store.
const STORE_OUTAGE: Duration = Duration::from_secs(15);

/// Time that a doubted carrier has to answer.
const DOUBT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts a daemon in the zone with this index.
fn start(number: u8, zone: usize, platform: &Platform) -> Daemon {
    let (name, ip) = (format!("d{number}"), format!("127.0.22.{number}"));
    let options = DaemonOptions::new(&name, &ip, platform.addr);
    DaemonOptions { zones: &ZONES[zone], ..options }.start()
}

/// Starts a carrier in each of the first zones.
fn start_carriers(first_number: u8, zones: usize, platform: &Platform) -> Vec<Daemon> {
    let daemons = (0..zones).map(|zone| start(first_number + zone as u8, zone, platform));
    let daemons: Vec<_> = daemons.collect();
    for daemon in &daemons {
        daemon.wait_ready();
        wait_for_writes(daemon);
    }
    wait_for_answers(&daemons.iter().collect::<Vec<_>>());
    daemons
}

fn is_served(daemon: &Daemon) -> bool {
    let session = Client::connect(daemon.callers, "orders").ok();
    session.and_then(|mut it| it.try_query("STORE lot oak")).is_some_and(|it| it.result.is_ok())
}

fn wait_until_served(daemons: &[Daemon]) {
    eventually(RECOVERY_TIMEOUT, "service by every daemon", || daemons.iter().all(is_served));
}

fn wait_for_carriers(daemons: &[Daemon]) {
    let are_carriers = || daemons.iter().all(Daemon::is_carrier);
    eventually(RECOVERY_TIMEOUT, "a carrier in every zone", are_carriers);
}

fn lose(daemons: Vec<Daemon>) {
    for mut daemon in daemons {
        daemon.kill();
        daemon.wait();
    }
}

/// Guards against a fleet that never serves again: all carriers were replaced by VMs with other names
/// within the time in which a carrier loses its slot, and only a carrier could free a slot (review/9).
#[test]
fn new_vms_become_carriers_if_all_carriers_are_lost_at_once() {
    let platform = start_platform();
    lose(start_carriers(1, 2, &platform));
    let mut daemons = vec![start(3, 0, &platform), start(4, 1, &platform)];
    thread::sleep(Duration::from_millis(1_500));
    for daemon in &mut daemons {
        daemon.kill();
        daemon.wait();
        daemon.start_again();
    }
    wait_until_served(&daemons);
    wait_for_carriers(&daemons);
}

/// Guards against the same end if the carriers are lost one after the other, while others serve.
#[test]
fn new_vms_become_carriers_if_carriers_are_replaced_one_by_one() {
    let platform = start_platform();
    let mut daemons = start_carriers(11, 3, &platform);
    for zone in 0..3 {
        let lost = daemons.remove(0);
        lose(vec![lost]);
        daemons.push(start(14 + zone as u8, zone, &platform));
        thread::sleep(Duration::from_millis(1_000));
    }
    wait_until_served(&daemons);
    wait_for_carriers(&daemons);
}

/// Guards against the same end if the store is away when the new VMs start, and against a slot that is
/// taken because nobody could answer.
#[test]
fn new_vms_become_carriers_once_the_store_is_back() {
    let platform = start_platform();
    let lost = start_carriers(21, 2, &platform);
    platform.set_store_down(true);
    lose(lost);
    let daemons = vec![start(23, 0, &platform), start(24, 1, &platform)];
    thread::sleep(STORE_OUTAGE);
    platform.set_store_down(false);
    wait_until_served(&daemons);
}

/// Guards against the loss of a slot because daemons of the zone cannot hear a carrier that the store
/// reaches.
#[test]
fn a_doubted_carrier_that_reads_the_store_keeps_its_slot() {
    let platform = start_platform();
    let carriers = start_carriers(41, 2, &platform);
    let record = || -> Value {
        let row = platform.row("corianderwharf", "carrier/a/0").expect("a carrier's record");
        serde_json::from_slice(&row).expect("a record in JSON")
    };
    let mut doubted = record();
    doubted["doubted"] = true.into();
    platform.put_row("corianderwharf", "carrier/a/0", doubted.to_string().as_bytes());
    eventually(DOUBT_TIMEOUT, "an answer", || record().get("doubted").is_none());
    assert_eq!(record()["vm"], "d41");
    assert!(carriers[0].is_carrier() && is_served(&carriers[0]));
}

/// Guards against a zone that is not served because its carrier stands still, and against two carriers
/// in a slot when it goes on.
#[test]
fn a_carrier_that_stands_still_for_long_is_replaced_and_relays_afterwards() {
    let platform = start_platform();
    let carriers = start_carriers(51, 2, &platform);
    let relay = start(53, 0, &platform);
    relay.wait_ready();
    assert!(!relay.is_carrier());
    carriers[0].suspend();
    eventually(RECOVERY_TIMEOUT, "a new carrier", || relay.is_carrier() && is_served(&relay));
    carriers[0].resume();
    eventually(RECOVERY_TIMEOUT, "a relay", || {
        !carriers[0].is_carrier() && is_served(&carriers[0])
    });
    assert!(relay.is_carrier());
}

/// Guards against a daemon that has just started and takes the slot of a carrier which it has not heard
/// yet, as when all processes are restarted and the carrier is the last.
#[test]
fn a_carrier_that_restarts_last_keeps_its_slot() {
    let platform = start_platform();
    let mut carriers = start_carriers(31, 2, &platform);
    let mut relay = start(33, 0, &platform);
    relay.wait_ready();
    for daemon in carriers.iter_mut().chain([&mut relay]) {
        daemon.kill();
        daemon.wait();
    }
    relay.start_again();
    thread::sleep(Duration::from_millis(2_500));
    carriers.iter_mut().for_each(Daemon::start_again);
    wait_until_served(&carriers);
    wait_until_served(&[relay]);
    assert!(carriers.iter().all(Daemon::is_carrier));
}
