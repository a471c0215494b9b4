//! A transaction that is open while its database's route moves to another service and its primary is
//! cut off and replaced.

use std::{thread, time::Duration};

use super::{Outcome, Writers, breaches_of_one, wait_promoted};
use crate::{
    client::{Acknowledged, Client, Reply},
    cluster::{Cluster, Route},
    failover_api,
    record::Record,
};

const OLD: &str = "base-old";
const NEW: &str = "base-new";

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::start(record, &[OLD, NEW])?;
    let route = |database, group| Route { database, group, kind: "primary" };
    let others = [route("agenda", OLD), route("ledger", NEW)];
    let before = [others[0], others[1], route("orders", OLD)];
    let after = [others[0], others[1], route("orders", NEW)];
    cluster.configure(&before, &[OLD, NEW], 0)?;
    let api = failover_api::start(&cluster.world);
    cluster.start_daemons(5, api)?;
    let writers = Writers::start(&cluster, &["agenda", "ledger"]);
    writers.wait_until_served()?;

    let daemon = &cluster.daemons[4];
    let mut client = Client::connect(record, "clerk", daemon.callers, "orders")?;
    client.query("BEGIN");
    let (_, reply) = client.query("STORE order-1 sheets-500");
    if !matches!(reply, Reply::Complete(_)) {
        return Err(format!("the transaction's first statement: {reply:?}"));
    }
    let primary = format!("{OLD}-m1");
    let names: Vec<String> = cluster.daemons.iter().take(2).map(|it| it.name.clone()).collect();
    if trouble {
        cluster.configure(&after, &[OLD, NEW], 0)?;
        client.query("FETCH order-1");
        thread::sleep(Duration::from_millis(500));
        record.line(&format!("TROUBLE {primary} is partitioned from the replicas and {names:?}"));
        cluster.world.change(OLD, &primary, |member| {
            member.isolated = true;
            member.cut_from.extend(names.clone());
        });
    }
    let world = cluster.world.clone();
    let waiting = trouble.then(|| thread::spawn(move || wait_promoted(&world, OLD, 1)));
    // The clerk goes on in the transaction, with pauses.
    for _ in 0..6 {
        thread::sleep(Duration::from_millis(700));
        client.query("FETCH order-1");
        if waiting.as_ref().is_some_and(|it| it.is_finished()) {
            break;
        }
    }
    if let Some(waiting) = waiting {
        waiting.join().map_err(|_| "a thread failed")??;
    }
    thread::sleep(Duration::from_millis(700));
    let (id, reply) = client.query("COMMIT");
    let committed = matches!(reply, Reply::Complete(_));
    if !trouble && !committed {
        return Err(format!("COMMIT without trouble: {reply:?}"));
    }
    let at = record.now();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record.line("the partition heals");
        cluster.world.change(OLD, &primary, |member| {
            member.isolated = false;
            member.cut_from.clear();
        });
    }
    thread::sleep(Duration::from_secs(3));
    let mut acknowledged = writers.stop();
    if committed {
        acknowledged.push(Acknowledged { id, at });
    }
    Ok(breaches_of_one(&cluster.world, &acknowledged))
}
