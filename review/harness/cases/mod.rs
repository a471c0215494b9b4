//! The cases. Each returns the breaches of its rule that were seen.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Acknowledged},
    cluster::Cluster,
    world::World,
};

pub mod foreign_entry;
pub mod late_call;
pub mod route_back;
pub mod route_change;
pub mod stale_holder;
pub mod sync_replica;

pub type Outcome = Result<Vec<String>, String>;

/// Pause between two writes of a steady writer.
const WRITE_PAUSE: Duration = Duration::from_millis(40);

/// Writers that go on until they are stopped.
pub struct Writers {
    pub acknowledged: Vec<Arc<Mutex<Vec<Acknowledged>>>>,
    stop: Arc<AtomicBool>,
}

impl Writers {
    /// Starts a writer for each database at each daemon.
    pub fn start(cluster: &Cluster, databases: &[&str]) -> Writers {
        let stop = Arc::new(AtomicBool::new(false));
        let mut acknowledged = Vec::new();
        for daemon in &cluster.daemons {
            for database in databases {
                let name = format!("w-{database}-{}", daemon.name);
                let (record, addr) = (&cluster.record, daemon.callers);
                let done =
                    client::write_steadily(record, &name, addr, database, WRITE_PAUSE, &stop);
                acknowledged.push(done);
            }
        }
        Writers { acknowledged, stop }
    }

    /// Waits until each writer has had some writes acknowledged.
    pub fn wait_until_served(&self) -> Result<(), String> {
        let is_served = || self.acknowledged.iter().all(|it| it.lock().unwrap().len() >= 3);
        wait_until("all writers are served", Duration::from_secs(15), is_served)
    }

    pub fn stop(&self) -> Vec<Acknowledged> {
        self.stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(300));
        self.acknowledged.iter().flat_map(|it| it.lock().unwrap().clone()).collect()
    }
}

pub fn wait_until(what: &str, limit: Duration, is_so: impl Fn() -> bool) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !is_so() {
        if Instant::now() >= end {
            return Err(format!("not within {limit:?}: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Waits until a group has had `count` promotions.
pub fn wait_promoted(world: &World, group: &str, count: usize) -> Result<(), String> {
    let promoted = || world.lock().promotions.iter().filter(|it| it.group == group).count();
    wait_until("a promotion has taken effect", Duration::from_secs(15), || promoted() >= count)
}

/// Rule ONE: writes that were committed at a primary after a promotion that replaced it had taken
/// effect, and acknowledged.
pub fn breaches_of_one(world: &World, acknowledged: &[Acknowledged]) -> Vec<String> {
    let state = world.lock();
    let mut breaches = Vec::new();
    for run in &state.runs {
        let Some(ack) = acknowledged.iter().find(|it| it.id == run.request) else { continue };
        let replaced = state.promotions.iter().find(|it| {
            it.group == run.group && it.term > run.term && it.member != run.member && it.at < run.at
        });
        if let Some(promotion) = replaced {
            let kept = state.groups.iter().find(|it| it.name == run.group).is_some_and(|group| {
                let lead = group.members.iter().find(|it| it.primary && it.term == group.term);
                lead.is_some_and(|it| it.log.iter().any(|it| it.request == run.request))
            });
            breaches.push(format!(
                "ONE: {} was committed at {} (term {}) at {} ms, after {} led term {} from {} ms on, \
                 and acknowledged at {} ms; in the log of the newest primary: {kept}",
                run.request,
                run.member,
                run.term,
                run.at,
                promotion.member,
                promotion.term,
                promotion.at,
                ack.at
            ));
        }
    }
    breaches
}

/// Rule LOST: commits that were acknowledged before a member was promoted, and are not in its log.
pub fn breaches_of_lost(world: &World, acknowledged: &[Acknowledged]) -> Vec<String> {
    let state = world.lock();
    let mut breaches = Vec::new();
    for promotion in &state.promotions {
        for ack in acknowledged.iter().filter(|ack| ack.at < promotion.at) {
            let in_group =
                state.runs.iter().any(|run| run.request == ack.id && run.group == promotion.group);
            let held = promotion.log.iter().any(|it| it.request == ack.id);
            if in_group && !held {
                breaches.push(format!(
                    "LOST: {} was acknowledged at {} ms and is not in the log of {}, promoted at {} ms",
                    ack.id, ack.at, promotion.member, promotion.at
                ));
            }
        }
    }
    breaches
}
