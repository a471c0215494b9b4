use std::{
    fs,
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Longest time until a daemon is ready for callers.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const METRICS_PORT: u16 = 9_464;

/// Memory in MiB and file descriptors of the smallest VM of deployments with organisations.
const SMALLEST_VM: (u64, u64) = (160, 4_300);
/// The users' bounds of deployments with organisations.
const KEY_BOUNDS: &str = "fail_closed = true\nrevoke_ms = 5000\nquota_window_s = 5\n\
                          quota_overshoot = 0.1\nquota_slack = 20\n";

/// The daemon as a separate process.
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    /// Address of heartbeats, and of row sync over TCP.
    pub peers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// What a daemon under test is started with.
pub struct DaemonOptions<'a> {
    pub name: &'a str,
    /// In the loopback range and not used by another daemon.
    pub ip: &'a str,
    pub cores: f64,
    pub platform: SocketAddr,
    pub failover_api: SocketAddr,
    /// Availability zones; the daemon is in the first.
    pub zones: &'a [&'a str],
    /// Whether the settings list `tenants` under `invariants` and have the bounds of keys and quotas.
    pub has_key_settings: bool,
    /// Limits of the memory, in MiB, and of the file descriptors; `None` for no such settings.
    pub limits: Option<(u64, u64)>,
}

impl<'a> DaemonOptions<'a> {
    pub fn new(name: &'a str, ip: &'a str, platform: SocketAddr) -> DaemonOptions<'a> {
        DaemonOptions {
            name,
            ip,
            cores: 0.25,
            platform,
            failover_api: platform,
            zones: &["a"],
            has_key_settings: false,
            limits: None,
        }
    }

    /// Starts the daemon.
    pub fn start(&self) -> Daemon {
        let DaemonOptions { name, cores, platform, failover_api, .. } = self;
        let ip: IpAddr = self.ip.parse().expect("test setup failed");
        let _lock = lock_spawn();
        let [callers, readiness, peers] = free_addrs(ip);
        let peer_port = peers.port();
        let zone = self.zones[0];
        let zones: String = self.zones.iter().map(|zone| format!("{zone} = \"r\"\n")).collect();
        let (invariants, bounds) = match self.has_key_settings {
            true => ("invariants = [\"tenants\"]\n", KEY_BOUNDS),
            false => ("", ""),
        };
        let limits = self.limits.or(self.has_key_settings.then_some(SMALLEST_VM));
        let limits = limits.map_or_else(String::new, |(memory_mb, max_fds)| {
            format!("memory_mb = {memory_mb}\nmax_fds = {max_fds}\n")
        });
        let text = format!(
            "node_name = \"{name}\"\nzone = \"{zone}\"\nport_range = [{peer_port}, {peer_port}]\n\
             heartbeat_ms = 1200\n{invariants}[zones]\n{zones}[listen]\nfrontend = \"{callers}\"\n\
             readiness = \"{readiness}\"\n[limits]\ncpu_share = {cores}\ncores = 1\n{limits}\
             [bounds]\ngrace_s = 6\n{bounds}[platform]\naddr = \"{platform}\"\n\
             [cloud_api]\naddr = \"{failover_api}\"\n"
        );
        let dir = std::env::temp_dir();
        let settings = dir.join(format!("entry-{name}-{callers}.toml"));
        let log = dir.join(format!("entry-{name}-{callers}.log"));
        fs::write(&settings, text).expect("test setup failed");
        let child = spawn(&settings, &log);
        Daemon { child, callers, peers, readiness, settings, log }
    }
}

impl Daemon {
    /// Starts a daemon. `ip` must be in the loopback range and not used by another daemon.
    pub fn start(name: &str, ip: &str, cores: f64, platform: SocketAddr) -> Daemon {
        DaemonOptions { cores, ..DaemonOptions::new(name, ip, platform) }.start()
    }

    /// Starts a daemon with limits on its memory (in MiB) and its file descriptors.
    pub fn start_with_limits(
        name: &str,
        ip: &str,
        platform: SocketAddr,
        memory_mb: u64,
        max_fds: u64,
    ) -> Daemon {
        let limits = Some((memory_mb, max_fds));
        DaemonOptions { limits, ..DaemonOptions::new(name, ip, platform) }.start()
    }

    /// Starts a daemon that makes failover calls to an address of their own.
    pub fn start_with_failover_api(
        name: &str,
        ip: &str,
        cores: f64,
        platform: SocketAddr,
        failover_api: SocketAddr,
    ) -> Daemon {
        DaemonOptions { cores, failover_api, ..DaemonOptions::new(name, ip, platform) }.start()
    }

    /// Starts a daemon in the first of these availability zones.
    pub fn start_with_zones(
        name: &str,
        ip: &str,
        cores: f64,
        platform: SocketAddr,
        failover_api: SocketAddr,
        zones: &[&str],
    ) -> Daemon {
        let options = DaemonOptions::new(name, ip, platform);
        DaemonOptions { cores, failover_api, zones, ..options }.start()
    }

    /// Addresses on which the daemon accepts TCP connections.
    pub fn addrs(&self) -> [SocketAddr; 4] {
        let metrics = SocketAddr::new(self.callers.ip(), METRICS_PORT);
        [self.callers, self.peers, self.readiness, metrics]
    }

    /// Waits until the daemon's readiness probe succeeds.
    pub fn wait_ready(&self) {
        let end = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            assert!(Instant::now() < end, "not ready within {READY_TIMEOUT:?}");
            thread::sleep(READY_POLL_INTERVAL);
        }
    }

    /// Whether the daemon's readiness probe, which the platform uses, succeeds.
    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/readyz").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Whether the other daemons' answers alone, without the store, grant it the use of
    /// primaries.
    pub fn is_granted_without_store(&self) -> bool {
        self.metrics()
            .is_some_and(|answer| answer.contains("corianderwharf_grant_without_store 1\n"))
    }

    /// Whether the daemon is a carrier, and serves the sessions that arrive by it.
    pub fn is_carrier(&self) -> bool {
        self.metric("carrier") == 1
    }

    /// What the daemon has written to its standard output so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    /// The daemon's metrics in the text format.
    pub fn metrics(&self) -> Option<String> {
        get(SocketAddr::new(self.callers.ip(), METRICS_PORT), "/metrics")
    }

    /// How long ago the configuration was last known to be the newest one.
    pub fn config_age(&self) -> Option<Duration> {
        let metrics = self.metrics()?;
        let age =
            metrics.lines().find_map(|line| line.strip_prefix("corianderwharf_config_age_ms "));
        Some(Duration::from_millis(age?.parse().ok()?))
    }

    /// Value of a counter in the daemon's metrics; 0 if it does not answer.
    pub fn counter(&self, name: &str) -> u64 {
        self.metric(&format!("{name}_total"))
    }

    /// Value of a metric of an organisation; `None` if the daemon does not list it.
    pub fn organisation_metric(&self, organisation: &str, name: &str) -> Option<f64> {
        let prefix =
            format!("corianderwharf_organisation_{name}{{organisation=\"{organisation}\"}} ");
        self.metrics_text().lines().find_map(|line| line.strip_prefix(&prefix)?.parse().ok())
    }

    /// The whole response with the metrics; empty if the daemon does not answer.
    pub fn metrics_text(&self) -> String {
        self.metrics().unwrap_or_default()
    }

    /// Version of the newest configuration that the daemon has received; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.metric("config_version")
    }

    fn metric(&self, name: &str) -> u64 {
        let metrics = get(SocketAddr::new(self.callers.ip(), METRICS_PORT), "/metrics");
        let prefix = format!("corianderwharf_{name} ");
        let value = metrics.as_deref().unwrap_or_default().lines();
        let mut value = value.filter_map(|line| line.strip_prefix(&prefix)?.parse().ok());
        value.next().unwrap_or_default()
    }

    /// Runs the daemon's program with its settings and these arguments and returns what it prints.
    pub fn run_command(&self, args: &[&str]) -> String {
        let _lock = lock_spawn();
        let mut command = Command::new(env!("CARGO_BIN_EXE_corianderwharf-entry"));
        let out = command.arg("--settings").arg(&self.settings).args(args).output();
        let out = out.expect("test setup failed");
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        String::from_utf8(out.stdout).expect("test setup failed")
    }

    /// Identifier of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Addresses of the readiness probe and of the metrics.
    pub fn http_addrs(&self) -> [SocketAddr; 2] {
        [self.readiness, SocketAddr::new(self.callers.ip(), METRICS_PORT)]
    }

    /// Starts the daemon again, with the same settings and addresses, after its process has ended.
    /// The log begins anew.
    pub fn start_again(&mut self) {
        let _lock = lock_spawn();
        self.child = spawn(&self.settings, &self.log);
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGKILL to the process.
    pub fn kill(&self) {
        self.signal("-KILL");
    }

    /// Suspends the process until [`Daemon::resume`].
    pub fn suspend(&self) {
        self.signal("-STOP");
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _lock = lock_spawn();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.expect("test setup failed").success());
    }

    /// Waits until the process exits and returns whether its exit code was 0.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("test setup failed").success()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both calls fail if the test has already stopped the process.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.log);
    }
}

/// Excludes other threads that start processes. Between its start and its program, a process has
/// copies of all open sockets: a port that another thread has just chosen and closed is still bound.
fn lock_spawn() -> MutexGuard<'static, ()> {
    static SPAWN: Mutex<()> = Mutex::new(());
    SPAWN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends bytes over a new connection and waits a moment for the daemon to answer or close it.
pub fn send_bytes(addr: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(addr).expect("the daemon accepts connections");
    stream.set_read_timeout(Some(READY_POLL_INTERVAL)).expect("test setup failed");
    stream.set_write_timeout(Some(READY_POLL_INTERVAL)).expect("test setup failed");
    // The daemon may close the connection while it is written to or read from.
    let _ = stream.write_all(bytes);
    let _ = stream.read(&mut [0; 64]);
}

/// Sends a datagram of at most the size that fits into one.
pub fn send_datagram(addr: SocketAddr, bytes: &[u8]) {
    const MAX_BYTES: usize = 60_000;
    let socket = UdpSocket::bind((addr.ip(), 0)).expect("test setup failed");
    let bytes = &bytes[..bytes.len().min(MAX_BYTES)];
    socket.send_to(bytes, addr).expect("test setup failed");
}

/// Sends an HTTP GET request and returns the complete response, or `None` on any error.
fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn spawn(settings: &Path, log: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_corianderwharf-entry"))
        .arg("--settings")
        .arg(settings)
        .stdout(fs::File::create(log).expect("test setup failed"))
        .spawn()
        .expect("test setup failed")
}

/// Returns three different addresses whose ports are free. All are bound before the first is
/// closed, so that no port is handed out twice. The last port is free over UDP as well.
fn free_addrs(ip: IpAddr) -> [SocketAddr; 3] {
    let listeners = [0; 3].map(|port| TcpListener::bind((ip, port)).expect("test setup failed"));
    let addrs = listeners.map(|listener| listener.local_addr().expect("test setup failed"));
    drop(UdpSocket::bind(addrs[2]).expect("test setup failed"));
    addrs
}
