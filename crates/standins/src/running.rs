use std::{io, net::SocketAddr, thread};

use base::FastMap;
use monoio::LegacyDriver;

use crate::{
    deployment::Deployment,
    member::{self, MembersConfig},
    platform,
};

/// The stand-ins of a deployment, running on threads of this process. Dropping it stops them.
#[derive(Debug)]
pub struct RunningStandIns {
    /// Address of the platform's HTTP service, with the port that was bound.
    pub platform: SocketAddr,
    /// Addresses of the members by name, with the ports that were bound.
    pub members: FastMap<String, SocketAddr>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl RunningStandIns {
    /// Binds every address of `deployment` and starts the threads. Connections that arrive after
    /// this returns are served.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or a thread cannot be started.
    pub fn start(deployment: &Deployment) -> io::Result<RunningStandIns> {
        let mut deployment = deployment.clone();
        let bound = member::bind_members(&deployment)?;
        let members: FastMap<String, SocketAddr> =
            bound.iter().map(|member| (member.id.clone(), member.addr)).collect();
        for spec in deployment.groups.iter_mut().flat_map(|group| &mut group.members) {
            spec.addr = members[&spec.id];
        }
        let service = platform::bind_platform(&deployment)?;
        let platform = service.addr;
        let (stop, stopped) = async_channel::bounded(1);
        let cfg = MembersConfig::from_deployment(&deployment);
        let platform_stopped = stopped.clone();
        let threads = vec![
            thread::Builder::new().name("members".into()).spawn(move || {
                block_on_monoio(member::run_members(cfg, bound, stopped));
            })?,
            thread::Builder::new().name("platform".into()).spawn(move || {
                block_on_tokio(platform::run_platform(service, platform_stopped));
            })?,
        ];
        Ok(RunningStandIns { platform, members, stop: Some(stop), threads })
    }
}

impl Drop for RunningStandIns {
    fn drop(&mut self) {
        self.stop = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn block_on_monoio(future: impl Future<Output = ()>) {
    let runtime = monoio::RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    match runtime {
        Ok(mut runtime) => runtime.block_on(future),
        Err(error) => logs::error(&format!("members: {error}")),
    }
}

fn block_on_tokio(future: impl Future<Output = io::Result<()>>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    if let Err(error) = runtime.and_then(|runtime| runtime.block_on(future)) {
        logs::error(&format!("platform: {error}"));
    }
}
