//! The store's stand-in, the operator, the members' entries and the daemons.

use std::{
    collections::HashMap,
    env, fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http, member,
    record::Record,
    world::{Group, Member, World},
};

static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Time from the start of the daemons to that of traffic.
const LEAD: Duration = Duration::from_secs(10);
/// Interval at which members write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Ends all processes that were started, and this one.
pub fn end(code: i32) -> ! {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
    process::exit(code)
}

pub struct Cluster {
    pub world: World,
    pub record: Record,
    pub store: SocketAddr,
    pub daemons: Vec<Daemon>,
    /// Address of the store for each daemon, if it is not the store itself.
    pub store_links: Vec<SocketAddr>,
    /// Availability zones of the deployment. All daemons are in the first one.
    pub zones: Vec<&'static str>,
    folder: PathBuf,
    version: u64,
}

pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    /// Its settings.
    file: PathBuf,
}

/// A route of the operator's configuration.
#[derive(Clone, Copy)]
pub struct Route {
    pub database: &'static str,
    pub group: &'static str,
    pub kind: &'static str,
}

impl Cluster {
    /// Starts the store and three members for each group, the first of which is primary.
    pub fn start(record: &Record, groups: &[&str]) -> Result<Cluster, String> {
        let folder = env::temp_dir().join(format!("corianderwharf-review-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let mut child = Command::new("target/release/corianderwharf-lines-standin")
            .args(["--groups", "1"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("the store's stand-in: {error}"))?;
        let stdout = child.stdout.take().ok_or("no output")?;
        CHILDREN.lock().unwrap().push(("store".to_owned(), child));
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).map_err(|error| error.to_string())?;
        let store = line.trim().strip_prefix("platform ").and_then(|addr| addr.parse().ok());
        let store = store.ok_or("the store's stand-in gave no address")?;
        let world = World::new(record);
        let cluster = Cluster {
            world,
            record: record.clone(),
            store,
            daemons: Vec::new(),
            store_links: Vec::new(),
            zones: vec!["a"],
            folder,
            version: 100,
        };
        // Only the store of that program is used; its own members leave.
        let place = |id: &str| format!("{{\"table\":\"servers\",\"part\":\"\",\"key\":\"{id}\"}}");
        let leave = ["group0-m1", "group0-m2", "group0-m3"].map(place).join(",");
        cluster.transaction("", &leave)?;
        for name in groups {
            let mut members = Vec::new();
            let mut listeners = Vec::new();
            for number in 1..=3 {
                let id = format!("{name}-m{number}");
                let listener = TcpListener::bind("127.0.0.1:0").map_err(|it| it.to_string())?;
                let addr = listener.local_addr().map_err(|it| it.to_string())?;
                members.push(Member::new(&id, addr, number == 1));
                listeners.push((id, listener));
            }
            cluster.world.lock().groups.push(Group::new(name, members));
            for (id, listener) in listeners {
                member::listen(&cluster.world, name, &id, listener);
            }
        }
        cluster.write_entries();
        Ok(cluster)
    }

    fn transaction(&self, set: &str, delete: &str) -> Result<(), String> {
        let body = format!("{{\"expect\":[],\"set_keys\":[{set}],\"delete_keys\":[{delete}]}}");
        match http::call(self.store, "POST", "/rows-tx", &body)? {
            (200, _) => Ok(()),
            (status, body) => Err(format!("the store answered {status} {body}")),
        }
    }

    /// Writes a new configuration, and returns its version.
    pub fn configure(
        &mut self,
        routes: &[Route],
        groups: &[&str],
        sync: u32,
    ) -> Result<u64, String> {
        self.version += 3;
        let version = self.version;
        let routes = routes.iter().map(|route| {
            format!(
                "{{\"name\":\"r-{0}\",\"host\":\"{0}\",\"prefix\":\"/\",\"kind\":\"{2}\",\
                 \"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":0,\"attempts\":2,\
                 \"service\":\"{1}\",\"max_staleness_ms\":1500}}",
                route.database, route.group, route.kind
            )
        });
        let routes = routes.collect::<Vec<_>>().join(",");
        let services = groups.iter().map(|name| {
            format!("{{\"name\":\"{name}\",\"max_conns\":50,\"sync_replicas\":{sync}}}")
        });
        let services = services.collect::<Vec<_>>().join(",");
        let config = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
             \"limits\":{{\"tx_idle_ms\":3000}}}}"
        );
        let value = http::base64(config.as_bytes());
        let set =
            format!("{{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"{value}\"}}");
        self.transaction(&set, "")?;
        self.record.line(&format!("CONFIG {version} acknowledged: {config}"));
        Ok(version)
    }

    /// Lets each member write its entry at each heartbeat, and when its role changes. The entry of
    /// one that is silent is removed after three intervals.
    fn write_entries(&self) {
        let (world, store) = (self.world.clone(), self.store);
        thread::spawn(move || {
            let mut written: HashMap<String, (Instant, bool, &str)> = HashMap::new();
            loop {
                let mut calls = Vec::new();
                for group in &mut world.lock().groups {
                    let name = group.name.clone();
                    for member in &mut group.members {
                        let last = written.get(&member.id).copied();
                        if member.dark {
                            if last.is_some_and(|(at, _, _)| at.elapsed() >= HEARTBEAT * 3) {
                                written.remove(&member.id);
                                calls.push((name.clone(), member.id.clone(), None));
                            }
                            continue;
                        }
                        let due = last.is_none_or(|(at, primary, state)| {
                            let changed = primary != member.primary || state != member.state;
                            changed || at.elapsed() >= HEARTBEAT
                        });
                        if !due {
                            continue;
                        }
                        member.sequence += 1;
                        let entry = entry(&name, member, member.state, member.sequence);
                        written.insert(
                            member.id.clone(),
                            (Instant::now(), member.primary, member.state),
                        );
                        calls.push((name.clone(), member.id.clone(), Some((entry, member.state))));
                    }
                }
                for (group, id, entry) in calls {
                    let (value, state) = entry.unzip();
                    let done = put_entry(store, &id, value.as_deref()).is_ok();
                    let Some(state) = state.filter(|_| done) else { continue };
                    world.change(&group, &id, |member| {
                        if member.acknowledged.is_none_or(|(known, _)| known != state) {
                            let at = world.record.now();
                            member.acknowledged = Some((state, at));
                            world.record.line(&format!("STORE acknowledges that {id} is {state}"));
                        }
                    });
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Kills a daemon's process.
    pub fn kill(&self, index: usize) {
        let name = &self.daemons[index].name;
        self.record.line(&format!("TROUBLE {name} is killed"));
        for (of, child) in CHILDREN.lock().unwrap().iter_mut() {
            if of == name {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Starts a daemon's process again.
    pub fn restart(&self, index: usize) -> Result<(), String> {
        let daemon = &self.daemons[index];
        self.record.line(&format!("{} starts again", daemon.name));
        start_daemon(&daemon.name, &daemon.file)
    }

    /// Starts daemons with the command and the settings of a deployment, and waits until they are
    /// ready.
    pub fn start_daemons(&mut self, count: u8, failover_api: SocketAddr) -> Result<(), String> {
        self.start_daemons_with(vec![failover_api; count.into()])
    }

    /// Starts a daemon for each of these addresses of the failover call.
    pub fn start_daemons_with(&mut self, failover_apis: Vec<SocketAddr>) -> Result<(), String> {
        let count = failover_apis.len() as u8;
        let [high, low] = ((process::id() % 16_000) as u16).to_be_bytes();
        for index in 1..=count {
            let ip = Ipv4Addr::new(127, 64 + high, low, index);
            let bind = || TcpListener::bind((ip, 0)).map_err(|error| error.to_string());
            let (callers, readiness, peers) = (bind()?, bind()?, bind()?);
            let port = |listener: &TcpListener| listener.local_addr().map(|addr| addr.port());
            let ports = [&callers, &readiness, &peers].map(|it| port(it).unwrap_or(0));
            // All three were open at once, so that no port is handed out twice.
            drop((callers, readiness, peers));
            let callers = SocketAddr::from((ip, ports[0]));
            let readiness = SocketAddr::from((ip, ports[1]));
            drop(UdpSocket::bind((ip, ports[2])).map_err(|error| error.to_string())?);
            let name = format!("edge-a-{index}");
            let place = usize::from(index) - 1;
            let store = self.store_links.get(place).copied().unwrap_or(self.store);
            let settings = settings(&name, ip, ports, store, failover_apis[place], &self.zones);
            let file = self.folder.join(format!("{name}.toml"));
            fs::write(&file, settings).map_err(|error| error.to_string())?;
            start_daemon(&name, &file)?;
            self.daemons.push(Daemon { name, callers, readiness, file });
        }
        let end = Instant::now() + Duration::from_secs(25);
        while !self.daemons.iter().all(is_ready) {
            if Instant::now() >= end {
                return Err("the daemons did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(LEAD);
        self.record.line(&format!("READY {count} daemons"));
        Ok(())
    }
}

/// Starts a daemon as the deploy file says. `DAEMON_LOGS` names a folder for what it writes.
fn start_daemon(name: &str, file: &Path) -> Result<(), String> {
    let output = |ending: &str| {
        let folder = env::var("DAEMON_LOGS").ok();
        let file = folder.and_then(|folder| {
            let path = format!("{folder}/{name}.{ending}");
            fs::OpenOptions::new().create(true).append(true).open(path).ok()
        });
        file.map_or(Stdio::null(), Stdio::from)
    };
    let child = Command::new("target/release/corianderwharf-entry")
        .env("CORIANDERWHARF_NODE_FILE", file)
        .stdout(output("log"))
        .stderr(output("err"))
        .spawn()
        .map_err(|error| format!("corianderwharf-entry: {error}"))?;
    CHILDREN.lock().unwrap().push((name.to_owned(), child));
    Ok(())
}

/// A member's entry.
pub fn entry(group: &str, member: &Member, state: &str, sequence: u64) -> String {
    let role = if member.primary { "primary" } else { "replica" };
    format!(
        "{{\"service\":\"{group}\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"capacity\":5,\"state\":\"{state}\",\"warmup_left_ms\":0,\"db_role\":\"{role}\",\
         \"sequence\":{sequence},\"born\":{}}}",
        member.addr, member.born
    )
}

/// Writes a member's entry, or removes it.
pub fn put_entry(store: SocketAddr, id: &str, value: Option<&str>) -> Result<(), String> {
    let place = format!("\"table\":\"servers\",\"part\":\"\",\"key\":\"{id}\"");
    let body = match value {
        Some(value) => format!(
            "{{\"expect\":[],\"set_keys\":[{{{place},\"value\":\"{}\"}}],\"delete_keys\":[]}}",
            http::base64(value.as_bytes())
        ),
        None => format!("{{\"expect\":[],\"set_keys\":[],\"delete_keys\":[{{{place}}}]}}"),
    };
    match http::call(store, "POST", "/rows-tx", &body)? {
        (200, _) => Ok(()),
        (status, body) => Err(format!("the store answered {status} {body}")),
    }
}

fn is_ready(daemon: &Daemon) -> bool {
    TcpStream::connect(daemon.readiness).is_ok()
        && http::call(daemon.readiness, "GET", "/readyz", "").is_ok_and(|(status, _)| status == 200)
}

fn settings(
    name: &str,
    ip: Ipv4Addr,
    ports: [u16; 3],
    store: SocketAddr,
    failover_api: SocketAddr,
    zones: &[&str],
) -> String {
    let zones: String = zones.iter().map(|zone| format!("{zone} = \"r\"\n")).collect();
    let [callers, readiness, peers] = ports;
    format!(
        "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n\
         ip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\nport_range = [{peers},{peers}]\nseeds = []\n\
         bootstrap = true\ndiscovery = \"platform\"\nentrypoint = \"vip\"\nheartbeat_ms = 1200\n\
         [zones]\n{zones}[listen]\nfrontend = \"{ip}:{callers}\"\nreadiness = \"{ip}:{readiness}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4300\nlink_mbps = 1000.0\n\
         [bounds]\ncontact_ms = 4000\nack_ms = 5000\ndrain_ms = 7000\ngrace_s = 6\n\
         config_apply_ms = 3000\nfencing = false\nunfreeze_ms = 300\n[platform]\naddr = \"{store}\"\n\
         form = \"table\"\nwrites_per_s = 400\nreads_per_s = 2000\ntx_ms = 5.0\nhistory_s = 20\n\
         [cloud_api]\naddr = \"{failover_api}\"\nrate_per_s = 50.0\nduties = [\"promote\"]\n\
         duty_per_s = 50.0\n"
    )
}
