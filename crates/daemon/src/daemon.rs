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

const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A daemon that runs on threads of this process.
#[derive(Debug)]
pub struct Daemon {
    /// Address for callers, with the port that was bound.
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

/// Addresses of a daemon, bound and not served yet.
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
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
}

impl BoundListeners {
    /// Binds the addresses of the settings.
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

    /// Address for the other daemons' control calls.
    pub fn control(&self) -> SocketAddr {
        self.own.control
    }

    /// Address for the other daemons' forwarded requests.
    pub fn forward(&self) -> SocketAddr {
        self.own.forward
    }
}

impl Daemon {
    /// Binds the addresses and starts to serve.
    pub fn start(settings: &Settings) -> Result<Daemon, StartError> {
        Daemon::start_bound(settings, BoundListeners::new(settings)?)
    }

    /// Starts to serve on addresses that are bound already.
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

    /// Waits until the daemon has its table and knows where each group is;
    /// whether that came about within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        self.ready.recv_timeout(limit).is_ok()
    }

    /// Stops as planned: hands its groups over, refuses new callers, lets
    /// requests and transactions end, and waits for that.
    pub fn stop(mut self) {
        self.hand_over();
        let _ = self.orders.unbounded_send(Order::Stop);
        self.join();
    }

    /// Ends at once, as if the process had been killed: every connection
    /// closes, nothing is handed over.
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

/// A number that no other run of this VM's daemon has: the time of its start.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since.as_nanos() as u64)
}

fn control_thread(setup: ControlSetup, stopped: async_channel::Receiver<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return logs::error(&format!("control thread: {error}")),
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
        Err(error) => logs::error(&format!("data thread: {error}")),
    }
}
