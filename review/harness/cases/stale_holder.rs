//! A failover call of a holder that is killed, held up on a cut link. It arrives after its successor's.

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
/// How long the holder cannot reach the failover call's address.
const CUT: Duration = Duration::from_millis(5_500);
/// When the holder is killed, after the start of the cut.
const KILL_AFTER: Duration = Duration::from_millis(2_000);
/// When a killed process is started again.
const RESTART_AFTER: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::start(record, &[FIRST, SECOND])?;
    let route = |database, group| Route { database, group, kind: "primary" };
    cluster.configure(&[route("orders", FIRST), route("ledger", SECOND)], &[FIRST, SECOND], 0)?;
    let api = failover_api::start(&cluster.world);
    let links = [1, 2, 3].map(|_| failover_api::Link::start(&cluster.world, api));
    cluster.start_daemons_with(links.iter().map(|link| link.addr).collect())?;
    let writers = Writers::start(&cluster, &["orders", "ledger"]);
    writers.wait_until_served()?;
    thread::sleep(Duration::from_secs(2));

    cluster.world.darken(FIRST, &[format!("{FIRST}-m1")], DARK);
    wait_promoted(&cluster.world, FIRST, 1)?;
    thread::sleep(Duration::from_secs(10));

    let calls = cluster.world.lock().calls.clone();
    let holder = calls.last().map(|call| call.holder.clone()).ok_or("no failover call")?;
    let index = cluster.daemons.iter().position(|daemon| daemon.name == holder);
    let index = index.ok_or("an unknown holder")?;
    if trouble {
        record.line(&format!("TROUBLE {holder} is cut off from the failover call's address"));
        links[index].set_cut(true);
    }
    cluster.world.darken(SECOND, &[format!("{SECOND}-m1")], DARK);
    thread::sleep(KILL_AFTER);
    if trouble {
        cluster.kill(index);
    }
    thread::sleep(RESTART_AFTER);
    if trouble {
        cluster.restart(index)?;
    }
    thread::sleep(CUT - KILL_AFTER - RESTART_AFTER);
    links[index].set_cut(false);
    record.line("the failover call's address can be reached");
    wait_promoted(&cluster.world, SECOND, 1)?;
    thread::sleep(Duration::from_secs(10));
    let acknowledged = writers.stop();
    let mut breaches = breaches_of_one(&cluster.world, &acknowledged);
    let state = cluster.world.lock();
    for (index, call) in state.calls.iter().enumerate() {
        let higher = state.calls[..index].iter().find(|it| it.token > call.token);
        if let Some(higher) = higher {
            breaches.push(format!(
                "ONE: a call for {} with token {} of {} arrived at {} ms, after one with token {} of {} at {} ms",
                call.member, call.token, call.holder, call.at, higher.token, higher.holder, higher.at
            ));
        }
    }
    drop(state);
    Ok(breaches)
}
