//! A failover call that is held up on a cut link and arrives after another member was promoted.

use std::{thread, time::Duration};

use super::{Outcome, Writers, breaches_of_one, wait_promoted};
use crate::{
    cluster::{Cluster, Route},
    failover_api,
    record::Record,
};

const FIRST: &str = "base-a";
const SECOND: &str = "base-b";
/// How long a primary is dark.
const DARK: Duration = Duration::from_millis(7_000);
/// How long the failover call's address cannot be reached.
const CUT: Duration = Duration::from_millis(5_000);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::start(record, &[FIRST, SECOND])?;
    let route = |database, group| Route { database, group, kind: "primary" };
    cluster.configure(&[route("orders", FIRST), route("ledger", SECOND)], &[FIRST, SECOND], 0)?;
    let api = failover_api::start(&cluster.world);
    let link = failover_api::Link::start(&cluster.world, api);
    cluster.start_daemons(3, link.addr)?;
    let writers = Writers::start(&cluster, &["orders", "ledger"]);
    writers.wait_until_served()?;
    thread::sleep(Duration::from_secs(2));

    cluster.world.darken(FIRST, &[format!("{FIRST}-m1")], DARK);
    wait_promoted(&cluster.world, FIRST, 1)?;
    thread::sleep(Duration::from_secs(10));

    if trouble {
        record.line("TROUBLE the failover call's address is cut off");
        link.set_cut(true);
    }
    cluster.world.darken(SECOND, &[format!("{SECOND}-m1")], DARK);
    thread::sleep(CUT);
    link.set_cut(false);
    record.line("the failover call's address can be reached");
    wait_promoted(&cluster.world, SECOND, 1)?;
    thread::sleep(Duration::from_secs(12));
    let acknowledged = writers.stop();
    Ok(breaches_of_one(&cluster.world, &acknowledged))
}
