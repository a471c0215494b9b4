use std::{
    fs,
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// How long a daemon may take until the platform may send callers.
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_TICK: Duration = Duration::from_millis(20);
const METRICS_PORT: u16 = 9_464;

/// The real program as a process of its own.
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon; `ip` must be its own, in the loopback range.
    pub fn start(name: &str, ip: &str, cores: f64, platform: SocketAddr) -> Daemon {
        let ip: IpAddr = ip.parse().expect("the set-up of the test works");
        let (callers, readiness) = (free(ip), free(ip));
        let inner = free_for_datagrams(ip).port();
        let text = format!(
            "node_name = \"{name}\"\nzone = \"a\"\nport_range = [{inner}, {inner}]\n\
             heartbeat_ms = 1200\n[zones]\na = \"r\"\n[listen]\nfrontend = \"{callers}\"\n\
             readiness = \"{readiness}\"\n[limits]\ncpu_share = {cores}\ncores = 1\n\
             [bounds]\ngrace_s = 6\n[platform]\naddr = \"{platform}\"\n\
             [cloud_api]\naddr = \"{platform}\"\n"
        );
        let settings = std::env::temp_dir().join(format!("entry-{}-{callers}.toml", name));
        fs::write(&settings, text).expect("the set-up of the test works");
        let child = Command::new(env!("CARGO_BIN_EXE_corianderwharf-entry"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the set-up of the test works");
        Daemon { child, callers, readiness, settings }
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self) {
        let end = Instant::now() + READY_LIMIT;
        while !self.is_ready() {
            assert!(Instant::now() < end, "not ready in time");
            thread::sleep(READY_TICK);
        }
    }

    /// What the daemon tells the platform's ready probe.
    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/readyz").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Whether the other daemons' answers alone let it use primaries.
    pub fn is_granted_without_store(&self) -> bool {
        let metrics = SocketAddr::new(self.callers.ip(), METRICS_PORT);
        get(metrics, "/metrics")
            .is_some_and(|answer| answer.contains("corianderwharf_grant_without_store 1\n"))
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .arg(&pid)
                .status()
                .expect("the set-up of the test works")
                .success()
        );
    }

    /// Waits for the end; whether it was an orderly one.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the set-up of the test works").success()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both fail where the test has ended the process already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// The whole answer to an HTTP request, if there is one.
fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    let req = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn free(ip: IpAddr) -> SocketAddr {
    TcpListener::bind((ip, 0))
        .expect("the set-up of the test works")
        .local_addr()
        .expect("the set-up of the test works")
}

fn free_for_datagrams(ip: IpAddr) -> SocketAddr {
    UdpSocket::bind((ip, 0))
        .expect("the set-up of the test works")
        .local_addr()
        .expect("the set-up of the test works")
}
