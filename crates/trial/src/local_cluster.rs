use std::{io, net::SocketAddr, time::Duration};

use daemon::{BoundListeners, Daemon, StartError};
use settings::Settings;
use snafu::{ResultExt, Snafu};
use standins::{Deployment, RunningStandIns, VmSpec};

use crate::options::Options;

const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Secret shared by the daemons of a local cluster.
pub const PEER_SECRET: &str = "secret of the trial";

/// Stand-ins and daemons that run as threads of this process until the value is dropped.
#[derive(Debug)]
pub struct LocalCluster {
    // Declared before the stand-ins, so that the daemons are dropped before the services that
    // they use.
    daemons: Vec<Option<Daemon>>,
    addrs: Vec<SocketAddr>,
    settings: Vec<Settings>,
    standins: RunningStandIns,
}

/// Error from starting a local cluster or restarting one of its daemons.
#[derive(Debug, Snafu)]
pub enum LocalClusterError {
    /// The stand-ins could not start.
    #[snafu(display("stand-ins: {source}"))]
    Standins {
        /// Error from the operating system.
        source: io::Error,
    },
    /// A daemon could not start.
    #[snafu(display("daemon {number}: {source}"))]
    Daemon {
        /// Number of the daemon, from 1.
        number: usize,
        /// Error from the daemon.
        source: StartError,
    },
    /// A daemon did not receive its table and groups within the time limit.
    #[snafu(display("daemon {number}: did not become ready in time"))]
    NotReady {
        /// Number of the daemon, from 1.
        number: usize,
    },
}

impl LocalCluster {
    /// Starts the stand-ins and the daemons, and waits until all daemons are ready.
    pub fn start(options: &Options) -> Result<LocalCluster, LocalClusterError> {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut bound_daemons = Vec::new();
        let mut deployment = deployment(options);
        for index in 0..options.daemons {
            let settings = settings(options, index, unset);
            let bound =
                BoundListeners::new(&settings).context(DaemonSnafu { number: index + 1 })?;
            deployment.vms.push(vm_spec(&settings, &bound));
            bound_daemons.push((settings, bound));
        }
        let standins = RunningStandIns::start(&deployment).context(StandinsSnafu)?;
        let mut cluster =
            LocalCluster { daemons: Vec::new(), addrs: Vec::new(), settings: Vec::new(), standins };
        for (index, (mut settings, bound)) in bound_daemons.into_iter().enumerate() {
            settings.platform = cluster.standins.platform;
            cluster.pin_addresses(&mut settings, &bound);
            let daemon = Daemon::start_bound(&settings, bound);
            let daemon = daemon.context(DaemonSnafu { number: index + 1 })?;
            settings.listen = daemon.listen;
            cluster.addrs.push(daemon.listen);
            cluster.settings.push(settings);
            cluster.daemons.push(Some(daemon));
        }
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Restarts a daemon that was stopped or killed, on the same addresses, and waits until
    /// it is ready.
    pub fn restart_daemon(&mut self, index: usize) -> Result<(), LocalClusterError> {
        let number = index + 1;
        let daemon = Daemon::start(&self.settings[index]).context(DaemonSnafu { number })?;
        snafu::ensure!(daemon.wait_ready(READY_TIMEOUT), NotReadySnafu { number });
        self.daemons[index] = Some(daemon);
        Ok(())
    }

    /// Removes a running daemon from the cluster and returns it. The caller stops it.
    pub fn take_daemon(&mut self, index: usize) -> Daemon {
        self.daemons[index].take().expect("the daemon is running")
    }

    /// Stops a daemon immediately, as if its process had been killed.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill();
        }
    }

    fn wait_ready(&self) -> Result<(), LocalClusterError> {
        for (index, daemon) in self.daemons.iter().flatten().enumerate() {
            snafu::ensure!(daemon.wait_ready(READY_TIMEOUT), NotReadySnafu { number: index + 1 });
        }
        Ok(())
    }

    /// Stores the ports that were bound in the settings, so that a restart uses the same ones.
    fn pin_addresses(&self, settings: &mut Settings, bound: &BoundListeners) {
        settings.forward = bound.forward();
        settings.control = bound.control();
    }

    /// Addresses that the daemons accept callers on, by index of the daemon.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Address that a daemon accepts control calls on.
    pub fn control(&self, index: usize) -> SocketAddr {
        self.settings[index].control
    }

    /// Address that a daemon accepts forwarded requests on.
    pub fn forward(&self, index: usize) -> SocketAddr {
        self.settings[index].forward
    }

    /// Address of a stand-in member, or `None` if there is no member with this ID.
    pub fn member(&self, id: &str) -> Option<SocketAddr> {
        self.standins.members.get(id).copied()
    }

    /// Address of the platform stand-in.
    pub fn platform(&self) -> SocketAddr {
        self.standins.platform
    }

    /// Stops a daemon in an orderly way, as in a planned stop, and waits until it has ended.
    pub fn stop_daemon(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.stop();
        }
    }
}

fn deployment(options: &Options) -> Deployment {
    options.preset.deployment(options.lag_ms, options.service_us, options.table.clone())
}

fn settings(options: &Options, index: usize, platform: SocketAddr) -> Settings {
    let zones = options.preset.zones();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        vm: vm_id(index),
        zone: zone(zones[index % zones.len()]),
        listen: options.listen(index),
        forward: any_port,
        control: any_port,
        platform,
        peer_secret: PEER_SECRET.to_owned(),
        log: options.log,
        timing: options.timing,
        limits: options.limits,
        metrics: settings::Metrics::default(),
    }
}

fn vm_spec(settings: &Settings, bound: &BoundListeners) -> VmSpec {
    VmSpec {
        id: settings.vm.to_string(),
        zone: settings.zone.to_string(),
        control: bound.control(),
        forward: bound.forward(),
        leaving: false,
    }
}

fn vm_id(index: usize) -> base::VmId {
    base::VmId::new(format!("entry-{}", index + 1))
}

fn zone(name: &str) -> base::Zone {
    base::Zone::new(name)
}
