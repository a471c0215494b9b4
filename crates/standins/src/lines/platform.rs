use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use base::Span;
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{control, group::Group, session::Session};
use crate::{clock::now, store::Store};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const MEMBERS_TABLE: &str = "servers";
const OPERATOR_TABLE: &str = "op";

/// What a platform holds.
#[derive(Clone, Debug)]
pub struct Options {
    /// Names of the groups on the wire.
    pub groups: Vec<String>,
    /// How late replicas apply commits.
    pub lag: Span,
    /// Databases of each group, by its place in `groups`. Those whose names begin with
    /// `orders` are read at the primary, the others with data of a stated age.
    pub databases: Vec<Vec<String>>,
}

impl Options {
    /// The usual databases of a group: one read at the primary, one not.
    pub fn default_databases(group: usize) -> Vec<String> {
        vec![format!("orders{group}"), format!("lookups{group}")]
    }
}

/// A platform that runs on a thread of its own until the process ends.
#[derive(Clone, Debug)]
pub struct Platform {
    pub(crate) shared: Arc<Shared>,
    /// Address of the store, the failover call and the control of this stand-in.
    pub addr: SocketAddr,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) store: Store,
    pub(crate) groups: Vec<(String, Arc<Mutex<Group>>)>,
    members: Mutex<BTreeMap<String, Member>>,
    config: Mutex<u64>,
}

/// A member with its listener.
#[derive(Debug)]
struct Member {
    service: String,
    addr: SocketAddr,
    /// Address in its entry, where it is reached through something else.
    told: SocketAddr,
    alive: watch::Sender<bool>,
    born: u64,
}

impl Platform {
    /// Starts the store and three members a group, on ports of their own.
    ///
    /// # Errors
    ///
    /// If the loopback interface cannot be listened on.
    pub fn start(options: &Options) -> io::Result<Platform> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let platform = runtime.block_on(Platform::serve(options))?;
        thread::Builder::new()
            .name("platform".into())
            .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
        Ok(platform)
    }

    async fn serve(options: &Options) -> io::Result<Platform> {
        let groups = options.groups.iter().map(|service| {
            let group = Group::new(&member_ids(service), options.lag);
            (service.clone(), Arc::new(Mutex::new(group)))
        });
        let shared = Arc::new(Shared {
            store: Store::default(),
            groups: groups.collect(),
            members: Mutex::default(),
            config: Mutex::new(0),
        });
        for (service, group) in &shared.groups {
            for id in member_ids(service) {
                let listener = TcpListener::bind((LOOPBACK, 0)).await?;
                shared.listen(service, &id, listener, Arc::clone(group))?;
            }
        }
        let listener = TcpListener::bind((LOOPBACK, 0)).await?;
        let addr = listener.local_addr()?;
        let platform = Platform { shared: Arc::clone(&shared), addr };
        platform.configure(&options.databases);
        let app = shared.store.clone().router().merge(control::router(platform.clone()));
        tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, app).await {
                logs::error(&format!("platform: {error}"));
            }
        });
        Ok(platform)
    }

    /// Puts a configuration in force with these databases for each group; its version.
    pub fn configure(&self, databases: &[Vec<String>]) -> u64 {
        let mut version = lock(&self.shared.config);
        *version += 3;
        let routes = self.shared.groups.iter().zip(databases).flat_map(|((service, _), names)| {
            names.iter().map(move |name| {
                let kind = if name.starts_with("orders") { "primary" } else { "own" };
                json!({"name": format!("r-{name}"), "host": name, "prefix": "/", "kind": kind,
                    "timeout_ms": 8_000, "target_latency_ms": 200, "priority": 0,
                    "service": service, "attempts": 2, "max_staleness_ms": 2_500})
            })
        });
        let services = self
            .shared
            .groups
            .iter()
            .map(|(service, _)| json!({"name": service, "max_conns": 21, "sync_replicas": 0}));
        let config = json!({"version": *version, "routes": routes.collect::<Vec<_>>(),
            "services": services.collect::<Vec<_>>(), "limits": {"tx_idle_ms": 3_000}});
        self.shared.store.put(OPERATOR_TABLE, "config", Some(&config));
        *version
    }

    /// Whether every call to the store is answered with 503 from now on.
    pub fn set_store_down(&self, down: bool) {
        self.shared.store.state().faults.down = down;
    }

    /// Number of rows of a table whose keys begin so.
    pub fn count_rows(&self, table: &str, prefix: &str) -> usize {
        let state = self.shared.store.state();
        state.rows.of(table).iter().filter(|(key, _, _)| key.starts_with(prefix)).count()
    }

    /// Ends a member; its connections close and its entry lapses.
    pub fn crash(&self, id: &str) {
        self.shared.set_alive(id, false);
    }

    /// Starts a member again that was ended; it has kept its log.
    pub fn restart(&self, id: &str) {
        self.shared.set_alive(id, true);
    }

    /// The member that leads a group.
    pub fn primary(&self, group: usize) -> String {
        self.group(group).primary().to_owned()
    }

    /// An item of a group as its primary holds it.
    pub fn item(&self, group: usize, item: &str) -> Option<String> {
        let group = self.group(group);
        group.read(group.primary(), item).map(str::to_owned)
    }

    pub(crate) fn group(&self, index: usize) -> MutexGuard<'_, Group> {
        let mut group = lock(&self.shared.groups[index].1);
        group.advance(now());
        group
    }
}

impl Shared {
    fn listen(
        self: &Arc<Shared>,
        service: &str,
        id: &str,
        listener: TcpListener,
        group: Arc<Mutex<Group>>,
    ) -> io::Result<()> {
        let addr = listener.local_addr()?;
        let (alive, lives) = watch::channel(true);
        let member =
            Member { service: service.to_owned(), addr, told: addr, alive, born: born_now() };
        lock(&self.members).insert(id.to_owned(), member);
        self.tell(id);
        let (service, id) = (service.to_owned(), id.to_owned());
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let session = Session::new(service.clone(), id.clone(), Arc::clone(&group));
                tokio::spawn(serve_while_alive(session, stream, lives.clone()));
            }
        });
        Ok(())
    }

    /// Writes a member's entry as it is now.
    fn tell(&self, id: &str) {
        let members = lock(&self.members);
        let Some(member) = members.get(id) else { return };
        let alive = *member.alive.borrow();
        let leads = self
            .groups
            .iter()
            .any(|(service, group)| *service == member.service && lock(group).is_primary(id));
        let role = if leads { "primary" } else { "replica" };
        let entry = json!({"service": member.service, "addr": member.told.to_string(),
            "zone": "a", "version": "v1", "capacity": 3, "state": "ready",
            "warmup_left_ms": 0, "db_role": role, "sequence": 1, "born": member.born});
        self.store.put(MEMBERS_TABLE, id, alive.then_some(&entry));
    }

    fn set_alive(&self, id: &str, alive: bool) {
        if let Some(member) = lock(&self.members).get_mut(id) {
            // Without a connection nobody needs to know.
            let _ = member.alive.send(alive);
            if alive {
                member.born = born_now();
            }
        }
        self.tell(id);
    }

    /// Sets the address by which others reach a member.
    pub(crate) fn advertise(&self, id: &str, addr: SocketAddr) {
        if let Some(member) = lock(&self.members).get_mut(id) {
            member.told = addr;
        }
        self.tell(id);
    }

    /// Names and addresses of all members.
    pub(crate) fn members(&self) -> Vec<(String, SocketAddr)> {
        lock(&self.members).iter().map(|(id, member)| (id.clone(), member.addr)).collect()
    }

    /// Has a member lead its group; whether it runs.
    pub(crate) fn fail_over(&self, service: &str, id: &str) -> bool {
        let runs = lock(&self.members).get(id).is_some_and(|member| *member.alive.borrow());
        let group = self.groups.iter().find(|(name, _)| name == service);
        let Some((_, group)) = group.filter(|_| runs) else { return false };
        lock(group).promote(now(), id);
        for id in member_ids(service) {
            self.tell(&id);
        }
        true
    }
}

async fn serve_while_alive(session: Session, stream: TcpStream, mut lives: watch::Receiver<bool>) {
    // Fails only while the process ends.
    if !*lives.borrow_and_update() {
        return;
    }
    tokio::select! {
        () = session.serve(stream) => {}
        _ = lives.changed() => {}
    }
}

fn member_ids(service: &str) -> [String; 3] {
    [1, 2, 3].map(|number| format!("{service}-m{number}"))
}

/// Unix time in ms.
fn born_now() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    since.as_millis() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
