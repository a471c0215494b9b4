use std::{sync::Arc, time::Duration};

use base::{FastMap, VmId};
use membership::{Vm, Vms};
use peers::{CallError, DaemonClient, Heartbeat};
use tokio::sync::{mpsc, watch};

use crate::control::inbound::Inbound;

/// Tasks that exchange heartbeats with the other daemons, one for each.
pub(crate) struct Neighbours {
    secret: String,
    every: Duration,
    heartbeat: watch::Sender<Arc<Heartbeat>>,
    tx: mpsc::Sender<Inbound>,
    tasks: FastMap<VmId, (Vm, tokio::task::JoinHandle<()>)>,
}

impl Neighbours {
    /// No neighbours yet; `heartbeat` is what they will hear.
    pub(crate) fn new(
        secret: String,
        every: Duration,
        heartbeat: Heartbeat,
        tx: mpsc::Sender<Inbound>,
    ) -> Neighbours {
        let (heartbeat, _) = watch::channel(Arc::new(heartbeat));
        Neighbours { secret, every, heartbeat, tx, tasks: FastMap::default() }
    }

    /// Changes what the neighbours will hear.
    pub(crate) fn say(&self, heartbeat: Heartbeat) {
        self.heartbeat.send_if_modified(|known| {
            let news = **known != heartbeat;
            if news {
                *known = Arc::new(heartbeat);
            }
            news
        });
    }

    /// Starts and ends tasks, so that there is one for each VM known.
    pub(crate) fn follow(&mut self, vms: &Vms) {
        for vm in vms.others() {
            let known = self.tasks.get(&vm.id).is_some_and(|(known, _)| known == vm);
            if known {
                continue;
            }
            let task = tokio::spawn(exchange(
                vm.clone(),
                DaemonClient::new(vm.control, self.secret.clone()),
                self.every,
                self.heartbeat.subscribe(),
                self.tx.clone(),
            ));
            if let Some((_, old)) = self.tasks.insert(vm.id.clone(), (vm.clone(), task)) {
                old.abort();
            }
        }
    }
}

/// Says heartbeat at intervals, and at once when there is news.
async fn exchange(
    vm: Vm,
    mut caller: DaemonClient,
    every: Duration,
    mut heartbeat: watch::Receiver<Arc<Heartbeat>>,
    tx: mpsc::Sender<Inbound>,
) {
    loop {
        let message = Arc::clone(&heartbeat.borrow_and_update());
        let heard = match caller.heartbeat((*message).clone()).await {
            Ok(answer) if answer.vm == vm.id => Some(Inbound::Heard(answer)),
            Ok(_) | Err(CallError::Refused) => Some(Inbound::Gone(vm.id.clone())),
            Err(CallError::Silent | CallError::Unauthenticated) => None,
        };
        if let Some(heard) = heard {
            if tx.send(heard).await.is_err() {
                return;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(every) => {}
            changed = heartbeat.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
