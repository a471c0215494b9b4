use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use serde_json::json;
use tokio::runtime::Runtime;

use super::{
    member::{Group, Log, Member},
    store::Store,
};

/// Name of the group on the wire.
const SERVICE: &str = "svc1";

/// A platform with one group of three members, and the runtime that they live on.
pub struct World {
    _runtime: Runtime,
    pub store: Store,
    pub platform: SocketAddr,
    members: Arc<Mutex<BTreeMap<String, Member>>>,
    group: Arc<Mutex<Group>>,
    version: u64,
}

impl World {
    /// Starts the platform; `m1` leads.
    pub fn new() -> World {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the set-up of the test works");
        let store = Store::default();
        let group = Arc::new(Mutex::new(Group {
            members: ["m1", "m2", "m3"]
                .map(|id| (id.to_owned(), Log { term: 1, ..Log::default() }))
                .into(),
            primary: "m1".to_owned(),
            term: 1,
        }));
        let members = Arc::new(Mutex::new(BTreeMap::new()));
        let (led, present) = (Arc::clone(&group), Arc::clone(&members));
        let fail_over = Arc::new(move |id: &str| {
            let runs = present.lock().expect("nobody panicked").contains_key(id);
            let mut group = led.lock().expect("nobody panicked");
            if runs && group.primary != id {
                group.primary = id.to_owned();
                group.term += 1;
                let term = group.term;
                group.members.get_mut(id).expect("the set-up of the test works").term = term;
            }
            runs
        });
        let platform = runtime.block_on(store.clone().serve(fail_over));
        for id in ["m1", "m2", "m3"] {
            let member = runtime.block_on(Member::start(id, SERVICE, Arc::clone(&group)));
            let role = if id == "m1" { "primary" } else { "replica" };
            let entry = json!({"service": SERVICE, "addr": member.addr.to_string(), "zone": "a",
                "version": "v1", "capacity": 3, "state": "ready", "warmup_left_ms": 0,
                "db_role": role, "sequence": 1, "born": 1});
            store.put("servers", id, &entry);
            members.lock().expect("nobody panicked").insert(id.to_owned(), member);
        }
        let mut world = World { _runtime: runtime, store, platform, members, group, version: 0 };
        world.configure(&["orders", "lookups"]);
        world
    }

    /// Puts a configuration in force in which these databases exist.
    pub fn configure(&mut self, databases: &[&str]) {
        self.version += 3;
        let route = |database: &&str| {
            let kind = if *database == "orders" { "primary" } else { "own" };
            json!({"name": format!("r-{database}"), "host": database, "prefix": "/",
                "kind": kind, "timeout_ms": 8000, "target_latency_ms": 200, "priority": 0,
                "service": SERVICE, "attempts": 2, "max_staleness_ms": 2500})
        };
        let routes: Vec<_> = databases.iter().map(route).collect();
        let config = json!({"version": self.version, "routes": routes,
            "services": [{"name": SERVICE, "max_conns": 21, "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 3000}});
        self.store.put("op", "config", &config);
    }

    /// Ends a member; its connections close.
    pub fn crash(&self, id: &str) {
        if let Some(member) = self.members.lock().expect("nobody panicked").remove(id) {
            member.crash();
        }
    }

    /// The member that leads.
    pub fn primary(&self) -> String {
        self.group.lock().expect("nobody panicked").primary.clone()
    }

    /// An item as the primary holds it.
    pub fn item(&self, item: &str) -> Option<String> {
        let group = self.group.lock().expect("nobody panicked");
        group.members[&group.primary].items.get(item).cloned()
    }
}
