//! A member drains some seconds after another writer has once written an entry under its id that names
//! no known state.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::{Outcome, Writers};
use crate::{
    client::{Client, Reply},
    cluster::{self, Cluster, Route},
    failover_api,
    record::Record,
};

const GROUP: &str = "base-a";
/// `drain_ms` of the deployment.
const DRAIN_MS: u64 = 7_000;
/// How long a draining member goes on to serve.
const SERVES_FOR: Duration = Duration::from_millis(13_000);
/// Number in the foreign entry.
const FOREIGN_SEQUENCE: u64 = 1_000_000;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::start(record, &[GROUP])?;
    let route = |database, kind| Route { database, group: GROUP, kind };
    let routes = [route("orders", "primary"), route("lookups", "bounded")];
    cluster.configure(&routes, &[GROUP], 0)?;
    let api = failover_api::start(&cluster.world);
    cluster.start_daemons(3, api)?;
    let writers = Writers::start(&cluster, &["orders"]);
    writers.wait_until_served()?;
    let stop = Arc::new(AtomicBool::new(false));
    for daemon in &cluster.daemons {
        for number in 0..4 {
            let name = format!("r{number}-{}", daemon.name);
            let (record, addr, stop) = (record.clone(), daemon.callers, Arc::clone(&stop));
            thread::spawn(move || read_steadily(&record, &name, addr, &stop));
        }
    }
    thread::sleep(Duration::from_secs(2));

    let id = format!("{GROUP}-m3");
    if trouble {
        let foreign = cluster.world.change(GROUP, &id, |member| {
            cluster::entry(GROUP, member, "maintenance", FOREIGN_SEQUENCE)
        });
        record.line(&format!("TROUBLE another writer writes servers/{id}: {foreign}"));
        cluster::put_entry(cluster.store, &id, Some(&foreign))?;
    }
    thread::sleep(Duration::from_secs(5));
    record.line(&format!("{id} reports that it drains"));
    cluster.world.change(GROUP, &id, |member| member.state = "draining");
    thread::sleep(SERVES_FOR);
    stop.store(true, Ordering::Relaxed);
    writers.stop();

    let acknowledged = cluster.world.change(GROUP, &id, |member| member.acknowledged);
    let Some(("draining", at)) = acknowledged else {
        return Err("the store did not acknowledge that the member drains".to_owned());
    };
    let state = cluster.world.lock();
    let before = state.reads.iter().filter(|it| it.member == id && it.at < at).count();
    record.line(&format!("{id} ran {before} reads before it drained"));
    if before == 0 {
        return Err("the member ran nothing before it drained".to_owned());
    }
    let late = state.reads.iter().filter(|it| it.member == id && it.at > at + DRAIN_MS);
    let late = late.map(|it| {
        format!(
            "DRAIN: {} reached {id} at {} ms; the store acknowledged at {at} ms that it drains",
            it.request, it.at
        )
    });
    Ok(late.collect())
}

fn read_steadily(record: &Record, name: &str, addr: std::net::SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(record, name, addr, "lookups") else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !stop.load(Ordering::Relaxed) {
            if matches!(client.query("FETCH item").1, Reply::Nothing) {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}
