use std::{io, net::SocketAddr, thread};

use base::FastMap;
use monoio::LegacyDriver;

use crate::{
    deployment::Deployment,
    member::{self, MembersConfig},
    platform,
};

/// Stand-ins that run on threads of this process until this is dropped.
#[derive(Debug)]
pub struct RunningStandIns {
    /// Address of the platform's HTTP service.
    pub platform: SocketAddr,
    /// Addresses of the members by name.
    pub members: FastMap<String, SocketAddr>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl RunningStandIns {
    /// Binds every address of `deployment` and starts to serve.
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
        let for_platform = stopped.clone();
        let threads = vec![
            thread::Builder::new().name("members".into()).spawn(move || {
                on_members_runtime(member::run_members(cfg, bound, stopped));
            })?,
            thread::Builder::new().name("platform".into()).spawn(move || {
                on_platform_runtime(platform::run_platform(service, for_platform));
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

fn on_members_runtime(work: impl Future<Output = ()>) {
    let runtime = monoio::RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    match runtime {
        Ok(mut runtime) => runtime.block_on(work),
        Err(error) => logs::error(&format!("members: {error}")),
    }
}

fn on_platform_runtime(work: impl Future<Output = io::Result<()>>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    if let Err(error) = runtime.and_then(|runtime| runtime.block_on(work)) {
        logs::error(&format!("platform: {error}"));
    }
}
