use std::{sync::Arc, time::Duration};

use base::{FastMap, VmId};
use membership::{Vm, Vms};
use peers::{CallError, DaemonClient, Heartbeat};
use tokio::sync::{mpsc, watch};

use crate::control::control_event::ControlEvent;

/// Tasks that exchange heartbeats with the other daemons, one for each daemon.
pub(crate) struct PeerHeartbeats {
    secret: String,
    interval: Duration,
    heartbeat: watch::Sender<Arc<Heartbeat>>,
    tx: mpsc::Sender<ControlEvent>,
    tasks: FastMap<VmId, (Vm, tokio::task::JoinHandle<()>)>,
}

impl PeerHeartbeats {
    /// Creates an empty set of tasks, which will send `heartbeat`.
    pub(crate) fn new(
        secret: String,
        interval: Duration,
        heartbeat: Heartbeat,
        tx: mpsc::Sender<ControlEvent>,
    ) -> PeerHeartbeats {
        let (heartbeat, _) = watch::channel(Arc::new(heartbeat));
        PeerHeartbeats { secret, interval, heartbeat, tx, tasks: FastMap::default() }
    }

    /// Replaces the heartbeat; a changed one is sent at once.
    pub(crate) fn set_heartbeat(&self, heartbeat: Heartbeat) {
        self.heartbeat.send_if_modified(|known| {
            let changed = **known != heartbeat;
            if changed {
                *known = Arc::new(heartbeat);
            }
            changed
        });
    }

    /// Starts a task for each new VM, and replaces the task of a VM whose entry has changed.
    pub(crate) fn track(&mut self, vms: &Vms) {
        for vm in vms.others() {
            let known = self.tasks.get(&vm.id).is_some_and(|(known, _)| known == vm);
            if known {
                continue;
            }
            let task = tokio::spawn(exchange_heartbeats(
                vm.clone(),
                DaemonClient::new(vm.control, self.secret.clone()),
                self.interval,
                self.heartbeat.subscribe(),
                self.tx.clone(),
            ));
            if let Some((_, old)) = self.tasks.insert(vm.id.clone(), (vm.clone(), task)) {
                old.abort();
            }
        }
    }
}

/// Sends the heartbeat at intervals, and at once when it has changed.
async fn exchange_heartbeats(
    vm: Vm,
    mut caller: DaemonClient,
    interval: Duration,
    mut heartbeat: watch::Receiver<Arc<Heartbeat>>,
    tx: mpsc::Sender<ControlEvent>,
) {
    loop {
        let message = Arc::clone(&heartbeat.borrow_and_update());
        let event = match caller.heartbeat((*message).clone()).await {
            Ok(answer) if answer.vm == vm.id => Some(ControlEvent::HeartbeatReceived(answer)),
            Ok(_) | Err(CallError::Refused) => Some(ControlEvent::PeerGone(vm.id.clone())),
            Err(CallError::Silent | CallError::Unauthenticated) => None,
        };
        if let Some(event) = event {
            if tx.send(event).await.is_err() {
                return;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            changed = heartbeat.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
