use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use base::{Span, Time};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    activity::{Activity, Connections, RunStatement},
    config::Config,
    control,
    group::Group,
    session::Session,
};
use crate::{clock::now, store::Store};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Store table of the members' entries.
const MEMBERS_TABLE: &str = "servers";
/// Store table of the rows that the operator writes.
const OPERATOR_TABLE: &str = "op";

/// Number in an entry of another writer.
const FOREIGN_SEQUENCE: u64 = 1_000_000;

/// What the platform and its groups are at the start.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Names of the groups, which the protocols call services.
    pub groups: Vec<String>,
    /// Time between a commit and its application on replicas.
    pub lag: Span,
    /// Databases of each group, in the order of `groups`. Those whose names begin with `orders`
    /// are read at the primary, the others at members with a limited staleness.
    pub databases: Vec<Vec<String>>,
    /// Number of replicas that must receive a commit before it is acknowledged, in all groups.
    pub sync_replicas: u32,
}

impl Options {
    /// Default databases of the group with this index: one is read at the primary, one is not.
    pub fn default_databases(group: usize) -> Vec<String> {
        vec![format!("orders{group}"), format!("lookups{group}")]
    }
}

/// A handle to a platform that runs on its own thread until the process ends.
#[derive(Clone, Debug)]
pub struct Platform {
    pub(crate) shared: Arc<Shared>,
    /// HTTP address of the store, the failover call and the commands of tests.
    pub addr: SocketAddr,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) store: Store,
    pub(crate) groups: Vec<(String, Arc<Mutex<Group>>)>,
    members: Mutex<BTreeMap<String, Member>>,
    config: Mutex<Config>,
    pub(crate) activity: Activity,
    fences: Mutex<Fences>,
}

/// Lease holders and fencing tokens of the failover calls.
#[derive(Debug, Default)]
struct Fences {
    /// Highest token so far, and the holder that used it first.
    highest: (u64, String),
    violations: Vec<String>,
}

/// A member of a group, which has a listener of its own.
#[derive(Debug)]
struct Member {
    service: String,
    addr: SocketAddr,
    /// Address in its entry; differs from `addr` if a test puts a proxy before it.
    advertised_addr: SocketAddr,
    alive: watch::Sender<bool>,
    born: u64,
    /// Number of entries that it has written since it was started.
    sequence: u64,
}

impl Platform {
    /// Starts the store and three members for each group, on free loopback ports.
    ///
    /// # Errors
    ///
    /// If no loopback port can be bound, or the thread cannot be started.
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
            let group = Group::new(&member_ids(service), options.lag)
                .with_sync_replicas(options.sync_replicas as usize);
            (service.clone(), Arc::new(Mutex::new(group)))
        });
        let shared = Arc::new(Shared {
            store: Store::default(),
            groups: groups.collect(),
            members: Mutex::default(),
            config: Mutex::new(Config::new(options.groups.clone(), options.sync_replicas)),
            activity: Activity::default(),
            fences: Mutex::default(),
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

    /// Stores a new configuration with these databases for each group, and returns its version.
    pub fn configure(&self, databases: &[Vec<String>]) -> u64 {
        self.shared.configure(|config| config.databases = databases.to_vec());
        lock(&self.shared.config).version
    }

    /// Replaces the organisations. Returns when the store has accepted it, as the other changes of
    /// organisations do.
    pub fn set_organisations(&self, organisations: &[impl Serialize]) -> Time {
        let tenants = organisations.iter().map(|it| json!(it)).collect();
        self.shared.configure(|config| config.tenants = tenants)
    }

    /// Sets the databases whose callers need no key.
    pub fn set_public(&self, databases: &[&str]) -> Time {
        let public = databases.iter().map(|name| (*name).to_owned()).collect();
        self.shared.configure(|config| config.public = public)
    }

    /// Adds a key to an organisation.
    pub fn add_key(&self, organisation: &str, key: &str) -> Time {
        self.shared.configure(|config| config.add_key(organisation, key))
    }

    /// Takes a key away from an organisation.
    pub fn revoke_key(&self, organisation: &str, key: &str) -> Time {
        self.shared.configure(|config| config.revoke_key(organisation, key))
    }

    /// Changes the limit of an organisation.
    pub fn set_limit(&self, organisation: &str, rate_per_s: f64, burst: f64) -> Time {
        self.shared.configure(|config| config.set_limit(organisation, rate_per_s, burst))
    }

    /// Sets the number of connections that each member accepts.
    pub fn set_max_conns(&self, max_conns: u32) -> Time {
        self.shared.configure(|config| config.max_conns = max_conns)
    }

    /// Makes the members count the connections that are open now for this time, also if they end
    /// before, as those of VMs that lose power. To be called immediately before the processes end.
    pub fn hold_connections(&self, span: Span) {
        self.shared.activity.hold_until(now() + span);
    }

    /// Statements that members have run so far, in the order in which they ran.
    pub fn statements(&self) -> Vec<RunStatement> {
        self.shared.activity.statements()
    }

    /// Connections to each member.
    pub fn connections(&self) -> BTreeMap<String, Connections> {
        self.shared.activity.connections()
    }

    /// Copies the store's contents.
    pub fn copy_store(&self) {
        self.shared.store.take_copy();
    }

    /// Restores the store from the last copy. What was written since is lost.
    pub fn restore_store(&self) {
        self.shared.store.restore();
    }

    /// Makes the operator and the members write again what they wrote last.
    pub fn rewrite(&self) {
        let config = lock(&self.shared.config).to_json();
        self.shared.store.put(OPERATOR_TABLE, "config", Some(&config));
        for (id, _) in self.shared.members() {
            self.shared.write_entry(&id);
        }
    }

    /// Failover calls whose fencing token was lower than an earlier one, or that of another
    /// holder.
    pub fn fence_violations(&self) -> Vec<String> {
        lock(&self.shared.fences).violations.clone()
    }

    /// Lets a replaced primary act as one again, cut off from the other members, so that it does
    /// not notice that it was replaced.
    pub fn set_acting_primary(&self, group: usize, id: &str) {
        self.group(group).set_acting_primary(now(), id);
        self.shared.write_entry(id);
    }

    /// Sets whether the store answers every call with 503.
    pub fn set_store_down(&self, down: bool) {
        self.shared.store.state().faults.down = down;
    }

    /// Writes a row with any content, as another writer of the store may.
    pub fn put_row(&self, table: &str, key: &str, value: &[u8]) {
        self.shared.store.put_bytes(table, key, Some(value));
    }

    /// Deletes a row, as in a copy of the store from before it was written.
    pub fn delete_row(&self, table: &str, key: &str) {
        self.shared.store.put(table, key, None);
    }

    /// Value of a row; `None` if it does not exist.
    pub fn row(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.store.state();
        let rows = state.rows.existing(table);
        let (_, value, _) = rows.into_iter().find(|(existing, _, _)| *existing == key)?;
        STANDARD.decode(value?).ok()
    }

    /// Cuts a group's primary off from the other members, so that it does not notice that it is
    /// replaced, and promotes another member.
    pub fn replace_unnoticed(&self, group: usize, id: &str) {
        self.group(group).set_partitioned(now(), true);
        let (service, _) = &self.shared.groups[group];
        self.shared.fail_over(service, id);
    }

    /// Number of a table's rows whose keys begin with `prefix`.
    pub fn count_rows(&self, table: &str, prefix: &str) -> usize {
        let state = self.shared.store.state();
        state.rows.existing(table).iter().filter(|(key, _, _)| key.starts_with(prefix)).count()
    }

    /// Stops a member: closes its connections and deletes its entry.
    pub fn crash(&self, id: &str) {
        self.shared.set_alive(id, false);
    }

    /// Starts a stopped member again. It still has its log.
    pub fn restart(&self, id: &str) {
        self.shared.set_alive(id, true);
    }

    /// Sets whether a replica receives nothing from its primary.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        for index in 0..self.shared.groups.len() {
            self.group(index).set_deaf(id, deaf);
        }
    }

    /// Address on which a member listens.
    pub fn member_addr(&self, id: &str) -> Option<SocketAddr> {
        lock(&self.shared.members).get(id).map(|member| member.addr)
    }

    /// Sets the address that a member's entry states, for example that of a link to it.
    pub fn advertise(&self, id: &str, addr: SocketAddr) {
        self.shared.advertise(id, addr);
    }

    /// Replaces the entry of a member by one of another writer: it has a state that is not known, and
    /// a number far above the member's.
    pub fn replace_entry(&self, id: &str) {
        let Some(row) = self.row(MEMBERS_TABLE, id) else { return };
        let Ok(mut entry) = serde_json::from_slice::<Value>(&row) else { return };
        entry["state"] = "maintenance".into();
        entry["sequence"] = FOREIGN_SEQUENCE.into();
        self.put_row(MEMBERS_TABLE, id, entry.to_string().as_bytes());
    }

    /// Deletes the entry of a member, as when it lapses while the store is away. The member goes
    /// on.
    pub fn drop_entry(&self, id: &str) {
        self.shared.store.put(MEMBERS_TABLE, id, None);
    }

    /// Name of the primary of the group with this index.
    pub fn primary(&self, group: usize) -> String {
        self.group(group).primary().to_owned()
    }

    /// Number of promotions in the group with this index.
    pub fn promotions(&self, group: usize) -> u64 {
        self.group(group).promotions()
    }

    /// Value of an item on the primary of the group with this index; `None` if never written.
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
        let (alive, alive_rx) = watch::channel(true);
        let member = Member {
            service: service.to_owned(),
            addr,
            advertised_addr: addr,
            alive,
            born: unix_time_ms(),
            sequence: 0,
        };
        lock(&self.members).insert(id.to_owned(), member);
        self.write_entry(id);
        let (service, id) = (service.to_owned(), id.to_owned());
        let activity = self.activity.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                // Otherwise each of several answers in a row waits for the receiver's delayed
                // acknowledgement of the one before, for 40 ms.
                let _ = stream.set_nodelay(true);
                let session =
                    Session::new(service.clone(), id.clone(), Arc::clone(&group), activity.clone());
                tokio::spawn(serve_while_alive(session, stream, alive_rx.clone()));
            }
        });
        Ok(())
    }

    /// Writes a changed configuration. Returns when the store has accepted it.
    pub(crate) fn configure(&self, change: impl FnOnce(&mut Config)) -> Time {
        let mut config = lock(&self.config);
        config.change(change);
        self.activity.set_max_conns(config.max_conns);
        self.store.put(OPERATOR_TABLE, "config", Some(&config.to_json()));
        now()
    }

    /// Writes a member's current entry to the store, or deletes it if the member is stopped.
    pub(crate) fn write_entry(&self, id: &str) {
        let mut members = lock(&self.members);
        let Some(member) = members.get_mut(id) else { return };
        member.sequence += 1;
        let alive = *member.alive.borrow();
        let is_primary = self
            .groups
            .iter()
            .any(|(service, group)| *service == member.service && lock(group).is_primary(id));
        let role = if is_primary { "primary" } else { "replica" };
        let entry = json!({"service": member.service, "addr": member.advertised_addr.to_string(),
            "zone": "a", "version": "v1", "capacity": 3, "state": "ready",
            "warmup_left_ms": 0, "db_role": role, "sequence": member.sequence, "born": member.born});
        self.store.put(MEMBERS_TABLE, id, alive.then_some(&entry));
    }

    fn set_alive(&self, id: &str, alive: bool) {
        // Stopped under the group's lock before this returns, so that no statement that arrives
        // afterwards is run; the connections are closed a moment later.
        for (_, group) in &self.groups {
            lock(group).set_stopped(id, !alive);
        }
        if let Some(member) = lock(&self.members).get_mut(id) {
            // The send fails only without a receiver: no connection has to be closed then.
            let _ = member.alive.send(alive);
            if alive {
                (member.born, member.sequence) = (unix_time_ms(), 0);
            }
        }
        self.write_entry(id);
    }

    /// Sets the address that a member's entry states.
    pub(crate) fn advertise(&self, id: &str, addr: SocketAddr) {
        if let Some(member) = lock(&self.members).get_mut(id) {
            member.advertised_addr = addr;
        }
        self.write_entry(id);
    }

    /// Names of all members and the addresses on which they listen.
    pub(crate) fn members(&self) -> Vec<(String, SocketAddr)> {
        lock(&self.members).iter().map(|(id, member)| (id.clone(), member.addr)).collect()
    }

    /// Checks the fencing token of a failover call.
    pub(crate) fn record_fence(&self, holder: &str, token: u64) {
        let mut fences = lock(&self.fences);
        let (highest, by) = fences.highest.clone();
        if token < highest || (token == highest && holder != by) {
            let violation = format!("fence: {holder} sent {token} after {by} had sent {highest}");
            fences.violations.push(violation);
        }
        if token > highest {
            fences.highest = (token, holder.to_owned());
        }
    }

    /// Promotes a member. Returns false, and changes nothing, if it is unknown or stopped.
    pub(crate) fn fail_over(&self, service: &str, id: &str) -> bool {
        let is_alive = lock(&self.members).get(id).is_some_and(|member| *member.alive.borrow());
        let group = self.groups.iter().find(|(name, _)| name == service);
        let Some((_, group)) = group.filter(|_| is_alive) else { return false };
        lock(group).promote(now(), id);
        for id in member_ids(service) {
            self.write_entry(&id);
        }
        true
    }
}

async fn serve_while_alive(
    session: Session,
    stream: TcpStream,
    mut alive_rx: watch::Receiver<bool>,
) {
    if !*alive_rx.borrow_and_update() {
        return;
    }
    // `changed` fails only if the sender is dropped, as the process ends.
    tokio::select! {
        () = session.serve(stream) => {}
        _ = alive_rx.changed() => {}
    }
}

fn member_ids(service: &str) -> [String; 3] {
    [1, 2, 3].map(|number| format!("{service}-m{number}"))
}

/// Unix time in milliseconds, as entries state the start of a member.
fn unix_time_ms() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    since.as_millis() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
