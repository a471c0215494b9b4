use std::{
    cell::RefCell,
    fs, io,
    io::{BufRead, BufReader},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use standins::lines::{Options as StandInOptions, RunStatement, TestCmd};
use tokio::time;

use crate::{
    daemon_addrs::DaemonAddrs,
    fault::Fault,
    history::History,
    key_history::REVOKE_LIMIT,
    options::Options,
    organisations,
    peer_process::DaemonProcesses,
    process::Process,
    proxy::{FaultProxy, LinkFault, Mode},
    quota::{self, Limit},
    run::SoakError,
};

/// Replication lag while no fault changes it.
const DEFAULT_LAG_MS: u64 = 30;
/// How long a replica has received nothing when the members with the latest commits stop.
const DEAF_BEFORE_ABSENCE: Duration = Duration::from_millis(200);
/// Delay before the soak program restarts an exited daemon, as the platform would.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Limits of the smallest VM, in the settings of deployments with organisations.
const KEY_LIMITS: &str = "memory_mb = 160\nmax_fds = 4300\n";

/// The processes under test and the fault-injecting TCP proxies between them.
pub(crate) struct Deployment {
    _standin: Process,
    platform: SocketAddr,
    http: reqwest::Client,
    daemons: Vec<Daemon>,
    /// Addresses of the daemons' listeners for callers.
    pub(crate) addrs: DaemonAddrs,
    options: Options,
    members: Vec<(String, FaultProxy)>,
    groups: usize,
    /// Whether the newest configuration contains the extra database.
    has_extra_database: bool,
    /// Index of the group that the moving database belongs to.
    moving_group: usize,
    is_store_down: bool,
    /// Processes of the daemons.
    processes: DaemonProcesses,
}

/// A daemon's process, its files, and its links to the platform's store and failover API.
pub(crate) struct Daemon {
    process: Option<Process>,
    /// Number of daemons that it has replaced.
    generation: u8,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Address of the listener for callers.
    pub(crate) callers: SocketAddr,
    store_link: FaultProxy,
    failover_link: FaultProxy,
    /// Whether the process is suspended.
    is_suspended: bool,
    /// Number of active faults that keep the daemon stopped.
    active_kills: u32,
    /// Earliest time of the next start; `None` while the process runs.
    start_at: Option<Instant>,
    /// Whether the daemon was killed or told to stop, so that its exit is expected.
    stop_requested: bool,
}

impl Deployment {
    pub(crate) async fn start(
        options: &Options,
        history: &RefCell<History>,
    ) -> Result<Deployment, SoakError> {
        fs::create_dir_all(&options.logs)?;
        let groups = options.groups.to_string();
        let lag = DEFAULT_LAG_MS.to_string();
        let program = options.program_dir.join("corianderwharf-lines-standin");
        let sync_replicas = options.sync_replicas().to_string();
        let args = ["--groups", &groups, "--lag-ms", &lag, "--sync-replicas", &sync_replicas];
        let mut standin = Process::start_piped(&program, &args)?;
        let platform = read_platform_addr(&mut standin)?;
        let http = reqwest::Client::builder().no_proxy().build()?;
        let members: Vec<(String, SocketAddr)> =
            http.get(format!("http://{platform}/standin/members")).send().await?.json().await?;
        let mut deployment = Deployment {
            _standin: standin,
            platform,
            http,
            daemons: Vec::new(),
            addrs: DaemonAddrs::new(Vec::new()),
            options: options.clone(),
            members: Vec::new(),
            groups: options.groups,
            has_extra_database: false,
            moving_group: 0,
            is_store_down: false,
            processes: DaemonProcesses::default(),
        };
        for (id, addr) in members {
            let proxy = FaultProxy::start(addr, deployment.processes.clone()).await?;
            deployment.steer(&TestCmd::Advertise(id.clone(), proxy.addr)).await?;
            deployment.members.push((id, proxy));
        }
        deployment.configure().await?;
        if options.has_organisations() {
            deployment.configure_organisations(history).await?;
        }
        for index in 0..options.daemons {
            let daemon = Daemon::new(options, index, 0, platform).await?;
            deployment.daemons.push(daemon);
        }
        let addrs = deployment.daemons.iter().map(|daemon| daemon.callers).collect();
        deployment.addrs = DaemonAddrs::new(addrs);
        Ok(deployment)
    }

    async fn steer(&self, cmd: &TestCmd) -> Result<(), SoakError> {
        self.steer_organisations(cmd).await.map(drop)
    }

    /// Returns the time at which the store had accepted a change of organisations, in microseconds of
    /// the stand-in's clock.
    async fn steer_organisations(&self, cmd: &TestCmd) -> Result<u64, SoakError> {
        let url = format!("http://{}/standin/steer", self.platform);
        Ok(self.http.post(url).json(cmd).send().await?.error_for_status()?.json().await?)
    }

    /// Adds the organisations, with a key each, and makes the extra database public.
    async fn configure_organisations(&self, history: &RefCell<History>) -> Result<(), SoakError> {
        let all = organisations::all();
        let without_keys = all.iter().map(|(organisation, _)| organisation.clone()).collect();
        let accepted_at =
            self.steer_organisations(&TestCmd::SetOrganisations(without_keys)).await?;
        for (organisation, limit) in all {
            history.borrow_mut().limits.set(&organisation.name, accepted_at, limit);
            self.add_key(&organisation.name, history).await?;
        }
        self.steer(&TestCmd::SetPublic(vec![self.extra_database().0.to_owned()])).await
    }

    /// Adds a key to an organisation, whose callers then use it.
    async fn add_key(
        &self,
        organisation: &str,
        history: &RefCell<History>,
    ) -> Result<(), SoakError> {
        let key = format!("{organisation}-key-{}", history.borrow().keys.len());
        history.borrow_mut().keys.add(organisation, &key);
        self.steer(&TestCmd::AddKey(organisation.to_owned(), key.clone())).await?;
        history.borrow_mut().keys.set_newest(organisation, &key);
        Ok(())
    }

    /// Statements that members have run.
    pub(crate) async fn statements(&self) -> Result<Vec<RunStatement>, SoakError> {
        self.query("statements").await
    }

    async fn query<T: serde::de::DeserializeOwned>(&self, what: &str) -> Result<T, SoakError> {
        let url = format!("http://{}/standin/{what}", self.platform);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Returns the requests committed on each group's primary, each with its number of
    /// writes.
    pub(crate) async fn commits(&self) -> Result<Vec<Vec<(String, usize)>>, SoakError> {
        let groups: Vec<serde_json::Value> = self.query("commits").await?;
        let kept = groups.into_iter().map(|group| serde_json::from_value(group["kept"].clone()));
        Ok(kept.collect::<Result<_, _>>()?)
    }

    /// Returns the failover calls whose fencing token was not above those of earlier holders.
    pub(crate) async fn fence_violations(&self) -> Result<Vec<String>, SoakError> {
        self.query("fence-violations").await
    }

    /// Name of the database that moves between groups.
    pub(crate) fn moving_database(&self) -> &'static str {
        "orders-moving"
    }

    /// Name of the extra database, and whether the newest configuration contains it.
    pub(crate) fn extra_database(&self) -> (&'static str, bool) {
        ("extra", self.has_extra_database)
    }

    /// Whether a daemon that was killed or told to stop has not been started again.
    pub(crate) fn is_stop_pending(&self) -> bool {
        self.daemons.iter().any(|daemon| daemon.stop_requested)
    }

    /// Whether some daemon can follow the changes of the store.
    pub(crate) fn is_store_followed(&self) -> bool {
        !self.is_store_down && self.daemons.iter().any(Daemon::can_follow_store)
    }

    pub(crate) async fn inject(
        &mut self,
        fault: Fault,
        history: &RefCell<History>,
    ) -> Result<(), SoakError> {
        match fault {
            Fault::Kill(daemon) => self.daemons[daemon].kill()?,
            Fault::KillAll => {
                for daemon in &mut self.daemons {
                    daemon.kill()?;
                }
            }
            Fault::Pause(daemon) => self.daemons[daemon].signal(Signal::STOP)?,
            Fault::Terminate(daemon) => self.daemons[daemon].terminate()?,
            Fault::Hangup(daemon) => self.daemons[daemon].signal(Signal::HUP)?,
            Fault::StoreLink(daemon, mode) => {
                self.daemons[daemon].set_platform_fault(LinkFault::new(mode));
            }
            Fault::FailoverLink(daemon, mode) => {
                self.daemons[daemon].failover_link.set(LinkFault::new(mode));
            }
            Fault::MemberLink(member, link_fault) => self.members[member].1.set(link_fault),
            Fault::PrimaryLink(group, link_fault) => {
                self.set_primary_link_fault(group, link_fault).await?;
            }
            Fault::Freeze(group, daemons) => {
                self.isolate_primary(group, daemons).await?;
                self.signal(daemons, Signal::STOP)?;
            }
            Fault::Partition(group, daemons) => {
                self.isolate_primary(group, daemons).await?;
                for daemon in self.selected(daemons) {
                    daemon.set_platform_fault(LinkFault::new(Mode::Silent));
                }
            }
            Fault::MemberCrash(member) => {
                self.steer(&TestCmd::Crash(self.members[member].0.clone())).await?;
            }
            Fault::PrimaryCrash(group) => self.steer(&TestCmd::CrashPrimary(group)).await?,
            Fault::StoreDown => {
                self.is_store_down = true;
                self.steer(&TestCmd::StoreDown(true)).await?;
            }
            Fault::LoseAnswers(count) => self.steer(&TestCmd::LoseAnswers(count)).await?,
            Fault::Forget => self.steer(&TestCmd::Forget).await?,
            Fault::LoseWrites(_) => {
                history.borrow_mut().keys.copy();
                self.steer(&TestCmd::CopyStore).await?;
            }
            Fault::Lag(millis) => self.steer(&TestCmd::LagMs(millis)).await?,
            Fault::Configure => {
                self.has_extra_database = !self.has_extra_database;
                self.configure().await?;
            }
            Fault::MoveDatabase => {
                self.moving_group = (self.moving_group + 1) % self.groups;
                self.configure().await?;
            }
            Fault::RotateKey(index) => {
                let name = organisations::name(index);
                let revoked = history.borrow().keys.newest(&name);
                self.add_key(&name, history).await?;
                self.steer(&TestCmd::RevokeKey(name, revoked.clone())).await?;
                history.borrow_mut().keys.revoke(&revoked);
            }
            Fault::SetLimit(index, rate_per_s) => {
                let (name, rate_per_s) = (organisations::name(index), f64::from(rate_per_s));
                let limit = Limit { rate_per_s, burst: rate_per_s };
                let cmd = TestCmd::SetLimit(name.clone(), rate_per_s, rate_per_s);
                let accepted_at = self.steer_organisations(&cmd).await?;
                history.borrow_mut().limits.set(&name, accepted_at, limit);
            }
            Fault::ForeignEntry(member) => self.steer_entry(member, true).await?,
            Fault::Deaf(member) => {
                self.steer(&TestCmd::Deaf(self.members[member].0.clone(), true)).await?;
            }
            Fault::Replace(daemon) => self.replace(daemon).await?,
            Fault::AbsentMembers(group) => self.lose_holders(group).await?,
        }
        Ok(())
    }

    pub(crate) async fn revert(
        &mut self,
        fault: Fault,
        history: &RefCell<History>,
    ) -> Result<(), SoakError> {
        match fault {
            Fault::Kill(daemon) => self.daemons[daemon].end_kill(),
            Fault::KillAll => self.daemons.iter_mut().for_each(Daemon::end_kill),
            Fault::Pause(daemon) => self.daemons[daemon].signal(Signal::CONT)?,
            Fault::StoreLink(daemon, _) => self.daemons[daemon].set_platform_fault(LinkFault::NONE),
            Fault::FailoverLink(daemon, _) => {
                self.daemons[daemon].failover_link.set(LinkFault::NONE);
            }
            Fault::ForeignEntry(member) => self.steer_entry(member, false).await?,
            Fault::Deaf(member) => {
                self.steer(&TestCmd::Deaf(self.members[member].0.clone(), false)).await?;
            }
            Fault::MemberLink(member, _) => self.members[member].1.set(LinkFault::NONE),
            Fault::PrimaryLink(..) => self.clear_member_link_faults(),
            Fault::Freeze(group, daemons) => {
                self.signal(daemons, Signal::CONT)?;
                self.clear_member_link_faults();
                self.steer(&TestCmd::Part(group, false)).await?;
            }
            Fault::Partition(group, daemons) => {
                self.clear_member_link_faults();
                self.steer(&TestCmd::Part(group, false)).await?;
                for daemon in self.selected(daemons) {
                    daemon.set_platform_fault(LinkFault::NONE);
                }
            }
            Fault::MemberCrash(member) => {
                self.steer(&TestCmd::Restart(self.members[member].0.clone())).await?;
            }
            Fault::PrimaryCrash(_) => {
                for (id, _) in &self.members {
                    self.steer(&TestCmd::Restart(id.clone())).await?;
                }
            }
            Fault::AbsentMembers(group) => {
                for (id, _) in &self.members[group * 3..group * 3 + 3] {
                    self.steer(&TestCmd::Restart(id.clone())).await?;
                    self.steer(&TestCmd::Deaf(id.clone(), false)).await?;
                }
            }
            Fault::StoreDown => {
                self.is_store_down = false;
                self.steer(&TestCmd::StoreDown(false)).await?;
            }
            Fault::LoseAnswers(_) => self.steer(&TestCmd::LoseAnswers(0)).await?,
            Fault::LoseWrites(rewrite_after_ms) => {
                let rewrite_after = Duration::from_millis(rewrite_after_ms);
                history.borrow_mut().keys.restore(rewrite_after);
                self.steer(&TestCmd::RestoreStore(rewrite_after_ms)).await?;
            }
            Fault::Lag(_) => self.steer(&TestCmd::LagMs(DEFAULT_LAG_MS)).await?,
            Fault::Terminate(_)
            | Fault::Replace(_)
            | Fault::Hangup(_)
            | Fault::Forget
            | Fault::Configure
            | Fault::MoveDatabase
            | Fault::RotateKey(_)
            | Fault::SetLimit(..) => {}
        }
        Ok(())
    }

    /// Applies the present databases of the groups.
    async fn configure(&self) -> Result<(), SoakError> {
        let mut databases: Vec<_> =
            (0..self.groups).map(StandInOptions::default_databases).collect();
        if self.has_extra_database {
            databases[0].push(self.extra_database().0.to_owned());
        }
        databases[self.moving_group].push(self.moving_database().to_owned());
        self.steer(&TestCmd::Configure(databases)).await
    }

    async fn steer_entry(&self, member: usize, is_foreign: bool) -> Result<(), SoakError> {
        let id = self.members[member].0.clone();
        self.steer(&TestCmd::ForeignEntry(id, is_foreign)).await
    }

    async fn set_primary_link_fault(
        &self,
        group: usize,
        link_fault: LinkFault,
    ) -> Result<(), SoakError> {
        let primaries: Vec<String> = self.query("primaries").await?;
        for (_, proxy) in self.members.iter().filter(|(id, _)| *id == primaries[group]) {
            proxy.set(link_fault);
        }
        Ok(())
    }

    /// Isolates a group's primary from the other members, and from all daemons except those
    /// in the bit mask.
    async fn isolate_primary(&self, group: usize, daemon_mask: u64) -> Result<(), SoakError> {
        self.steer(&TestCmd::Part(group, true)).await?;
        self.set_primary_link_fault(group, LinkFault { mode: Mode::Silent, daemons: !daemon_mask })
            .await
    }

    /// Kills a daemon for good and starts another one with the same role.
    async fn replace(&mut self, index: usize) -> Result<(), SoakError> {
        self.daemons[index].kill()?;
        let generation = self.daemons[index].generation + 1;
        let daemon = Daemon::new(&self.options, index, generation, self.platform).await?;
        self.addrs.set(index, daemon.callers);
        self.daemons[index] = daemon;
        Ok(())
    }

    /// Stops the members that hold a group's latest commits, while another one receives nothing, and
    /// kills all daemons, which start again without having seen them.
    async fn lose_holders(&mut self, group: usize) -> Result<(), SoakError> {
        let primaries: Vec<String> = self.query("primaries").await?;
        let ids = self.members[group * 3..group * 3 + 3].iter().map(|(id, _)| id.clone());
        let (holders, replicas): (Vec<_>, Vec<_>) = ids.partition(|id| *id == primaries[group]);
        let mut replicas = replicas.into_iter();
        if let Some(deaf) = replicas.next() {
            self.steer(&TestCmd::Deaf(deaf, true)).await?;
        }
        time::sleep(DEAF_BEFORE_ABSENCE).await;
        for id in holders.into_iter().chain(replicas) {
            self.steer(&TestCmd::Crash(id)).await?;
        }
        for daemon in &mut self.daemons {
            daemon.kill()?;
            daemon.end_kill();
        }
        Ok(())
    }

    fn signal(&mut self, daemon_mask: u64, signal: Signal) -> Result<(), SoakError> {
        for (_, daemon) in
            self.daemons.iter_mut().enumerate().filter(|(it, _)| contains(daemon_mask, *it))
        {
            daemon.signal(signal)?;
        }
        Ok(())
    }

    fn clear_member_link_faults(&self) {
        for (_, proxy) in &self.members {
            proxy.set(LinkFault::NONE);
        }
    }

    /// Returns the daemons whose bits are set.
    fn selected(&self, daemon_mask: u64) -> impl Iterator<Item = &Daemon> {
        self.daemons
            .iter()
            .enumerate()
            .filter(move |(it, _)| contains(daemon_mask, *it))
            .map(|(_, it)| it)
    }

    /// Starts daemons at first and after they have exited. Returns the indices of those that exited
    /// unexpectedly.
    pub(crate) fn start_due_daemons(&mut self) -> Result<Vec<usize>, SoakError> {
        let mut unexpected = Vec::new();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if daemon.start_if_due()? {
                unexpected.push(index);
            }
            if let Some(process) = &daemon.process {
                self.processes.set(index, process.id());
            }
        }
        Ok(unexpected)
    }
}

impl Daemon {
    async fn new(
        options: &Options,
        index: usize,
        generation: u8,
        platform: SocketAddr,
    ) -> Result<Daemon, SoakError> {
        // Each daemon has an IP address of its own, because all use the same metrics port.
        let [high, low] = ((std::process::id() % 16_000) as u16).to_be_bytes();
        // A replaced daemon may not have ended yet.
        let high = 64 * (1 + generation % 2) + high;
        let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, index as u8 + 1));
        // All are bound before the first is closed, so that no port is handed out twice. The peer
        // port is used over TCP and UDP.
        let [callers, readiness, peers] = [0; 3].map(|port| TcpListener::bind((ip, port)));
        let (callers, readiness, peers) = (callers?, readiness?, peers?);
        let peer_port = peers.local_addr()?.port();
        drop(UdpSocket::bind((ip, peer_port))?);
        let (callers, readiness) = (callers.local_addr()?, readiness.local_addr()?);
        let store_link = FaultProxy::start(platform, DaemonProcesses::default()).await?;
        let failover_link = FaultProxy::start(platform, DaemonProcesses::default()).await?;
        let name = match generation {
            0 => format!("d{index}"),
            _ => format!("d{index}-{generation}"),
        };
        let (invariants, limits, bounds) = match options.has_organisations() {
            true => ("invariants = [\"tenants\"]\n", KEY_LIMITS, key_bounds()),
            false => ("", "", String::new()),
        };
        let text = format!(
            "node_name = \"{name}\"\nzone = \"z{}\"\nport_range = [{peer_port}, {peer_port}]\n\
             heartbeat_ms = 1200\n{invariants}[zones]\nz0 = \"r\"\nz1 = \"r\"\n[listen]\n\
             frontend = \"{callers}\"\nreadiness = \"{readiness}\"\n[limits]\n\
             cpu_share = 0.25\ncores = 1\n{limits}[bounds]\ngrace_s = 6\n{bounds}[platform]\n\
             addr = \"{}\"\n[cloud_api]\naddr = \"{}\"\n",
            index % 2,
            store_link.addr,
            failover_link.addr,
        );
        let settings = options.logs.join(format!("{name}-{}.toml", std::process::id()));
        fs::write(&settings, text)?;
        Ok(Daemon {
            process: None,
            generation,
            program: options.program_dir.join("corianderwharf-entry"),
            settings,
            log: options.logs.join(format!("{name}.log")),
            callers,
            store_link,
            failover_link,
            is_suspended: false,
            active_kills: 0,
            start_at: Some(Instant::now()),
            stop_requested: false,
        })
    }

    /// Sets the fault of the links to the store and to the failover API.
    fn set_platform_fault(&self, link_fault: LinkFault) {
        self.store_link.set(link_fault);
        self.failover_link.set(link_fault);
    }

    fn can_follow_store(&self) -> bool {
        self.process.is_some() && !self.is_suspended && !self.store_link.is_faulty()
    }

    fn signal(&mut self, signal: Signal) -> Result<(), SoakError> {
        match signal {
            Signal::STOP => self.is_suspended = true,
            Signal::CONT => self.is_suspended = false,
            _ => {}
        }
        match &mut self.process {
            Some(process) => Ok(process.signal(signal)?),
            None => Ok(()),
        }
    }

    fn kill(&mut self) -> Result<(), SoakError> {
        self.active_kills += 1;
        self.stop_requested = true;
        self.signal(Signal::KILL)
    }

    /// Ends one kill fault. The process is restarted when none is left.
    fn end_kill(&mut self) {
        self.active_kills = self.active_kills.saturating_sub(1);
    }

    fn terminate(&mut self) -> Result<(), SoakError> {
        self.stop_requested = true;
        self.signal(Signal::TERM)
    }

    /// Starts the process if its first start or a restart is due. Returns whether the process exited
    /// unexpectedly.
    fn start_if_due(&mut self) -> Result<bool, SoakError> {
        let mut unexpected = false;
        if let Some(process) = &mut self.process
            && process.has_ended()?
        {
            self.process = None;
            self.start_at = Some(Instant::now() + RESTART_DELAY);
            unexpected = !self.stop_requested;
        }
        let due = self.start_at.is_some_and(|at| Instant::now() >= at);
        if self.process.is_none() && self.active_kills == 0 && due {
            let settings = self.settings.to_string_lossy();
            let args = ["--settings", &settings];
            self.is_suspended = false;
            self.process = Some(Process::start(&self.program, &args, &self.log)?);
            (self.start_at, self.stop_requested) = (None, false);
        }
        Ok(unexpected)
    }
}

/// Settings of deployments with organisations.
fn key_bounds() -> String {
    format!(
        "fail_closed = true\nrevoke_ms = {}\nquota_window_s = {}\nquota_overshoot = {:?}\n\
         quota_slack = {:?}\n",
        REVOKE_LIMIT.as_millis(),
        quota::WINDOW_S,
        quota::OVERSHOOT,
        quota::SLACK
    )
}

/// Whether a bit mask of daemons contains the daemon `index`. A mask covers the first 64.
fn contains(daemon_mask: u64, index: usize) -> bool {
    daemon_mask.checked_shr(index as u32).is_some_and(|rest| rest & 1 == 1)
}

/// Reads the address that the stand-in prints when it is ready.
fn read_platform_addr(standin: &mut Process) -> Result<SocketAddr, SoakError> {
    let stdout = standin
        .child()
        .stdout
        .take()
        .ok_or_else(|| io::Error::other("stand-in has no output pipe"))?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    let addr = line.trim().strip_prefix("platform ").and_then(|addr| addr.parse().ok());
    addr.ok_or_else(|| io::Error::other(format!("stand-in printed {line:?}")).into())
}
