//! A daemon that passes sessions on to two others, one of which cannot reach the store while a route
//! moves between two services.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::Outcome;
use crate::{
    client::{Client, Reply},
    cluster::{Cluster, Route},
    failover_api,
    record::Record,
};

const OLD: &str = "base-old";
const NEW: &str = "base-new";
const SESSIONS: usize = 12;
/// `rollback_slack_ms` of the deployment.
const ROLLBACK_SLACK_MS: u64 = 250;
/// Changes of the configuration while one daemon cannot reach the store, and the time between them.
const CHANGES: u32 = 5;
const CHANGE_INTERVAL: Duration = Duration::from_millis(930);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::start(record, &[OLD, NEW])?;
    let route = |database, group| Route { database, group, kind: "primary" };
    cluster.configure(&[route("orders", OLD)], &[OLD, NEW], 0)?;
    let api = failover_api::start(&cluster.world);
    let links = [1, 2, 3].map(|_| failover_api::Link::start(&cluster.world, cluster.store));
    cluster.store_links = links.iter().map(|link| link.addr).collect();
    cluster.zones = vec!["a", "b", "c", "d"];
    cluster.start_daemons(3, api)?;

    let connected = cluster.world.lock().connected.clone();
    let relay = cluster.daemons.iter().position(|it| !connected.contains(&it.name));
    let relay = relay.ok_or("every daemon connects to members itself")?;
    let name = cluster.daemons[relay].name.clone();
    record.line(&format!("{name} passes its sessions on to {connected:?}"));
    let cut = (0..3).rfind(|index| *index != relay).unwrap_or(0);

    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..SESSIONS {
        let (record, addr) = (record.clone(), cluster.daemons[relay].callers);
        let (sent, stop) = (Arc::clone(&sent), Arc::clone(&stop));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let name = format!("clerk{number}");
                let Ok(mut client) = Client::connect(&record, &name, addr, "orders") else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                while !stop.load(Ordering::Relaxed) {
                    let at = record.now();
                    let (id, reply) = client.query("FETCH item");
                    sent.lock().unwrap().insert(id, at);
                    if matches!(reply, Reply::Nothing) {
                        break;
                    }
                    thread::sleep(Duration::from_millis(15));
                }
            }
        });
    }
    thread::sleep(Duration::from_secs(6));
    if trouble {
        record.line(&format!("TROUBLE {} cannot reach the store", cluster.daemons[cut].name));
        links[cut].set_cut(true);
    }
    thread::sleep(Duration::from_millis(500));
    let mut changes = Vec::new();
    for number in 0..CHANGES {
        let group = if number % 2 == 0 { NEW } else { OLD };
        changes.push((record.now(), group));
        cluster.configure(&[route("orders", group)], &[OLD, NEW], 0)?;
        thread::sleep(CHANGE_INTERVAL);
    }
    changes.push((record.now(), ""));
    links[cut].set_cut(false);
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));

    let (state, sent) = (cluster.world.lock(), sent.lock().unwrap());
    let mut breaches = Vec::new();
    for change in changes.windows(2) {
        let ((from, group), (to, _)) = (change[0], change[1]);
        let seen = state.reads.iter().filter(|it| it.group == group && it.at >= from);
        let seen = seen.map(|it| it.at).min().filter(|at| *at < to);
        let seen = seen.ok_or("no request was run by the new service")?;
        record.line(&format!("a member of {group} ran a request of {name} at {seen} ms"));
        breaches.extend(state.reads.iter().filter_map(|it| {
            let sent_at = *sent.get(&it.request)?;
            let late = sent_at > seen + ROLLBACK_SLACK_MS && sent_at < to && it.group != group;
            late.then(|| {
                format!(
                    "CONFIG: {} was sent to {name} at {sent_at} ms and run by {} at {} ms; {group} had \
                     run requests of the same daemon from {seen} ms on",
                    it.request, it.group, it.at
                )
            })
        }));
    }
    Ok(breaches)
}
