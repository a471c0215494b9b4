use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
    sync::{Arc, atomic, mpsc as std_mpsc},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use futures_channel::mpsc;
use membership::{Incarnation, Vm};
use monoio::LegacyDriver;
use settings::Settings;
use snafu::{ResultExt, Snafu};

use crate::{
    clock::Clock,
    control::{Control, ControlSetup},
    data::{DataSetup, DataTask},
    orders::{Order, Report},
};

/// How long a stopping daemon waits for others to claim its groups.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A daemon that runs on threads of this process. Dropping it acts like [`Daemon::kill`].
#[derive(Debug)]
pub struct Daemon {
    /// Address on which callers are accepted, with the port that was bound.
    pub listen: SocketAddr,
    orders: mpsc::UnboundedSender<Order>,
    reports: mpsc::UnboundedSender<Report>,
    held_claims: Arc<atomic::AtomicUsize>,
    control_stop: async_channel::Sender<()>,
    kill: async_channel::Sender<()>,
    ready: std_mpsc::Receiver<()>,
    data: Option<thread::JoinHandle<()>>,
    control: Option<thread::JoinHandle<()>>,
}

/// Listeners of a daemon that are bound but do not accept connections yet.
#[derive(Debug)]
pub struct BoundListeners {
    callers: StdListener,
    forward: StdListener,
    control: StdListener,
    own: Vm,
    listen: SocketAddr,
}

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound or its listener cannot be set up.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// The address, as configured.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A thread cannot be spawned.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
}

impl BoundListeners {
    /// Binds the addresses of the settings; port 0 selects a free port.
    pub fn new(settings: &Settings) -> Result<BoundListeners, StartError> {
        let (callers, listen) = bind(settings.listen)?;
        let (forward, forward_addr) = bind(settings.forward)?;
        let (control, control_addr) = bind(settings.control)?;
        let own = Vm {
            id: settings.vm.clone(),
            zone: settings.zone.clone(),
            control: control_addr,
            forward: forward_addr,
        };
        Ok(BoundListeners { callers, forward, control, own, listen })
    }

    /// Address on which control calls of other daemons are accepted.
    pub fn control(&self) -> SocketAddr {
        self.own.control
    }

    /// Address on which other daemons' forwarded requests are accepted.
    pub fn forward(&self) -> SocketAddr {
        self.own.forward
    }
}

impl Daemon {
    /// Binds the addresses and starts the daemon's threads.
    pub fn start(settings: &Settings) -> Result<Daemon, StartError> {
        Daemon::start_bound(settings, BoundListeners::new(settings)?)
    }

    /// Starts the daemon's threads on listeners that are already bound.
    pub fn start_bound(settings: &Settings, bound: BoundListeners) -> Result<Daemon, StartError> {
        let clock = Clock::new();
        let incarnation = new_incarnation();
        let (orders, orders_rx) = mpsc::unbounded();
        let (reports, reports_rx) = mpsc::unbounded();
        let (control_stop, stopped) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded(1);
        let (ready_tx, ready) = std_mpsc::channel();
        let held_claims = Arc::new(atomic::AtomicUsize::new(0));
        let data_setup = DataSetup {
            settings: settings.clone(),
            clock,
            run: format!("{}/{}", settings.vm, incarnation.0),
            callers: bound.callers,
            forward: bound.forward,
            orders: orders_rx,
            reports: reports.clone(),
            ready: ready_tx,
            killed,
        };
        let control_setup = ControlSetup {
            settings: settings.clone(),
            own: bound.own,
            incarnation,
            clock,
            listener: bound.control,
            orders: orders.clone(),
            reports: reports_rx,
            held_claims: Arc::clone(&held_claims),
        };
        let data = thread::Builder::new()
            .name("data".to_owned())
            .spawn(move || data_thread(data_setup))
            .context(ThreadSnafu)?;
        let control = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control_thread(control_setup, stopped))
            .context(ThreadSnafu)?;
        Ok(Daemon {
            listen: bound.listen,
            orders,
            reports,
            held_claims,
            control_stop,
            kill,
            ready,
            data: Some(data),
            control: Some(control),
        })
    }

    /// Waits until the daemon has a table and can run or forward requests for each of its
    /// groups. Returns false if this takes longer than `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        self.ready.recv_timeout(limit).is_ok()
    }

    /// Stops gracefully: hands the groups over, refuses new callers, and waits until open
    /// requests and transactions have ended or the time limits have passed.
    pub fn stop(mut self) {
        self.hand_over();
        let _ = self.orders.unbounded_send(Order::Stop);
        self.join();
    }

    /// Stops at once, as if the process had been killed: every connection is closed and
    /// nothing is handed over.
    pub fn kill(mut self) {
        self.control_stop.close();
        self.kill.close();
        self.join();
    }

    fn hand_over(&self) {
        let _ = self.reports.unbounded_send(Report::Leave);
        let deadline = Instant::now() + HANDOVER_TIMEOUT;
        thread::sleep(HANDOVER_POLL_INTERVAL);
        while self.held_claims.load(atomic::Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(HANDOVER_POLL_INTERVAL);
        }
    }

    fn join(&mut self) {
        if let Some(data) = self.data.take() {
            let _ = data.join();
        }
        self.control_stop.close();
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill.close();
        self.join();
    }
}

fn bind(addr: SocketAddr) -> Result<(StdListener, SocketAddr), StartError> {
    let listener = StdListener::bind(addr).context(BindSnafu { addr })?;
    listener.set_nonblocking(true).context(BindSnafu { addr })?;
    let bound = listener.local_addr().context(BindSnafu { addr })?;
    Ok((listener, bound))
}

/// Returns the time of the start in nanoseconds, a number that no other run of this VM's
/// daemon has.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since.as_nanos() as u64)
}

fn control_thread(setup: ControlSetup, stopped: async_channel::Receiver<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return logs::error(&format!("cannot start the control thread: {error}")),
    };
    runtime.block_on(async {
        tokio::select! {
            () = Control::run(setup) => {}
            _ = stopped.recv() => {}
        }
    });
}

fn data_thread(setup: DataSetup) {
    let runtime = monoio::RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    match runtime {
        Ok(mut runtime) => runtime.block_on(DataTask::run(setup)),
        Err(error) => logs::error(&format!("cannot start the data thread: {error}")),
    }
}
