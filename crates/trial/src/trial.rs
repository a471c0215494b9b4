use std::{io, net::SocketAddr, time::Duration};

use daemon::{Bound, Daemon, StartError};
use settings::Settings;
use snafu::{ResultExt, Snafu};
use standins::{Deployment, RunningStandIns, VmSpec};

use crate::options::Options;

const READY_LIMIT: Duration = Duration::from_secs(10);
/// Secret that the daemons of a trial share.
pub const PEER_SECRET: &str = "secret of the trial";

/// Stand-ins and daemons that run until this is dropped.
#[derive(Debug)]
pub struct Trial {
    // Declared first, so that the daemons end before what they rely on.
    daemons: Vec<Option<Daemon>>,
    addrs: Vec<SocketAddr>,
    settings: Vec<Settings>,
    standins: RunningStandIns,
}

/// Why a trial could not start.
#[derive(Debug, Snafu)]
pub enum TrialError {
    /// The stand-ins could not start.
    #[snafu(display("stand-ins: {source}"))]
    Standins {
        /// The system's error.
        source: io::Error,
    },
    /// A daemon could not start.
    #[snafu(display("daemon {number}: {source}"))]
    Daemon {
        /// Number of the daemon, from 1.
        number: usize,
        /// Why.
        source: StartError,
    },
    /// A daemon has not learnt its table and groups in time.
    #[snafu(display("daemon {number}: did not become ready"))]
    NotReady {
        /// Number of the daemon, from 1.
        number: usize,
    },
}

impl Trial {
    /// Starts the stand-ins and the daemons.
    pub fn start(options: &Options) -> Result<Trial, TrialError> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut all = Vec::new();
        let mut deployment = deployment(options);
        for index in 0..options.daemons {
            let settings = settings(options, index, nowhere);
            let bound = Bound::new(&settings).context(DaemonSnafu { number: index + 1 })?;
            deployment.vms.push(vm_spec(&settings, &bound));
            all.push((settings, bound));
        }
        let standins = RunningStandIns::start(&deployment).context(StandinsSnafu)?;
        let mut trial =
            Trial { daemons: Vec::new(), addrs: Vec::new(), settings: Vec::new(), standins };
        for (index, (mut settings, bound)) in all.into_iter().enumerate() {
            settings.platform = trial.standins.platform;
            trial.pin_addresses(&mut settings, &bound);
            let daemon = Daemon::start_bound(&settings, bound);
            let daemon = daemon.context(DaemonSnafu { number: index + 1 })?;
            settings.listen = daemon.listen;
            trial.addrs.push(daemon.listen);
            trial.settings.push(settings);
            trial.daemons.push(Some(daemon));
        }
        trial.wait_ready()?;
        Ok(trial)
    }

    /// Starts a daemon again that was stopped or killed, on the same addresses.
    pub fn restart_daemon(&mut self, index: usize) -> Result<(), TrialError> {
        let number = index + 1;
        let daemon = Daemon::start(&self.settings[index]).context(DaemonSnafu { number })?;
        snafu::ensure!(daemon.wait_ready(READY_LIMIT), NotReadySnafu { number });
        self.daemons[index] = Some(daemon);
        Ok(())
    }

    /// Takes a daemon out, to be stopped by whoever has it.
    pub fn take_daemon(&mut self, index: usize) -> Daemon {
        self.daemons[index].take().expect("a daemon that runs")
    }

    /// Ends a daemon at once, as if its process had been killed.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill();
        }
    }

    fn wait_ready(&self) -> Result<(), TrialError> {
        for (index, daemon) in self.daemons.iter().flatten().enumerate() {
            snafu::ensure!(daemon.wait_ready(READY_LIMIT), NotReadySnafu { number: index + 1 });
        }
        Ok(())
    }

    /// Keeps the ports that were bound, so that a restart finds them again.
    fn pin_addresses(&self, settings: &mut Settings, bound: &Bound) {
        settings.forward = bound.forward();
        settings.control = bound.control();
    }

    /// Addresses for callers, in order.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Address of a daemon for control calls.
    pub fn control(&self, index: usize) -> SocketAddr {
        self.settings[index].control
    }

    /// Address of a daemon for forwarded requests.
    pub fn forward(&self, index: usize) -> SocketAddr {
        self.settings[index].forward
    }

    /// Address of a member.
    pub fn member(&self, id: &str) -> Option<SocketAddr> {
        self.standins.members.get(id).copied()
    }

    /// Address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.standins.platform
    }

    /// Stops a daemon as planned and waits for its end.
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
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        vm: base_vm(index),
        zone: zone(zones[index % zones.len()]),
        listen: options.listen(index),
        forward: any,
        control: any,
        platform,
        peer_secret: PEER_SECRET.to_owned(),
        log: options.log,
        timing: options.timing,
        limits: options.limits,
        metrics: settings::Metrics::default(),
    }
}

fn vm_spec(settings: &Settings, bound: &Bound) -> VmSpec {
    VmSpec {
        id: settings.vm.to_string(),
        zone: settings.zone.to_string(),
        control: bound.control(),
        forward: bound.forward(),
        leaving: false,
    }
}

fn base_vm(index: usize) -> base::VmId {
    base::VmId::new(format!("entry-{}", index + 1))
}

fn zone(name: &str) -> base::Zone {
    base::Zone::new(name)
}
