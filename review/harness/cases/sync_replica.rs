//! A primary goes dark while one replica receives nothing and the other one, which has received all
//! commits, has lost the path to one daemon. The service has `sync_replicas` 1.

use std::{thread, time::Duration};

use super::{Outcome, Writers, breaches_of_lost, wait_promoted};
use crate::{
    cluster::{Cluster, Route},
    failover_api,
    record::Record,
};

const GROUP: &str = "base-a";
/// How long the primary is dark.
const DARK: Duration = Duration::from_millis(7_000);
/// How long the up-to-date replica has no path to one daemon.
const CUT: Duration = Duration::from_millis(5_000);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::start(record, &[GROUP])?;
    let route = Route { database: "orders", group: GROUP, kind: "primary" };
    cluster.configure(&[route], &[GROUP], 1)?;
    let api = failover_api::start(&cluster.world);
    cluster.start_daemons(4, api)?;
    let writers = Writers::start(&cluster, &["orders"]);
    writers.wait_until_served()?;
    thread::sleep(Duration::from_secs(2));

    let ids = [1, 2, 3].map(|number| format!("{GROUP}-m{number}"));
    record.line(&format!("TROUBLE {} receives nothing", ids[2]));
    cluster.world.change(GROUP, &ids[2], |member| member.deaf = true);
    thread::sleep(Duration::from_secs(2));
    let daemon = cluster.daemons[0].name.clone();
    if trouble {
        record.line(&format!("TROUBLE {} loses the path to {daemon}", ids[1]));
        cluster.world.change(GROUP, &ids[1], |member| member.cut_from.insert(daemon.clone()));
    }
    cluster.world.darken(GROUP, &ids[..1], DARK);
    thread::sleep(Duration::from_secs(4));
    cluster.world.change(GROUP, &ids[2], |member| member.deaf = false);
    thread::sleep(CUT - Duration::from_secs(4));
    record.line(&format!("{} has the path to {daemon}", ids[1]));
    cluster.world.change(GROUP, &ids[1], |member| member.cut_from.remove(&daemon));
    thread::sleep(DARK - CUT);
    wait_promoted(&cluster.world, GROUP, 1)?;
    thread::sleep(Duration::from_secs(2));
    let acknowledged = writers.stop();
    Ok(breaches_of_lost(&cluster.world, &acknowledged))
}
