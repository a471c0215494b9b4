use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use base::FastMap;
use futures_channel::mpsc;

use crate::group::RequestUpdate;

/// The daemon's sessions by process ID, for cancel requests.
#[derive(Debug, Default)]
pub(crate) struct CancelRegistry {
    entries: FastMap<i32, Entry>,
}

/// Upstream backend that runs a session's current request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelTarget {
    /// Address of the upstream.
    pub(crate) addr: SocketAddr,
    /// Process ID of the upstream's backend, for the cancel request.
    pub(crate) pid: i32,
    /// Secret key that authorises the cancel request at the upstream.
    pub(crate) secret: i32,
}

/// Outcome of a cancel request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CancelOutcome {
    /// This daemon has no session with that process ID and secret.
    Unknown,
    /// The session has no request at an upstream; a waiting one is cancelled.
    Waiting,
    /// The request runs at this upstream and must be cancelled there.
    Running(CancelTarget),
}

/// Current target of a session, shared with the registry; `None` while no
/// request runs at an upstream.
pub(crate) type CancelTargetCell = Rc<RefCell<Option<CancelTarget>>>;

#[derive(Debug)]
struct Entry {
    secret: i32,
    target: CancelTargetCell,
    updates: mpsc::UnboundedSender<RequestUpdate>,
}

impl CancelRegistry {
    /// Registers a session; returns the cell in which it stores its target.
    pub(crate) fn insert(
        &mut self,
        pid: i32,
        secret: i32,
        updates: mpsc::UnboundedSender<RequestUpdate>,
    ) -> CancelTargetCell {
        let target = CancelTargetCell::default();
        self.entries.insert(pid, Entry { secret, target: Rc::clone(&target), updates });
        target
    }

    pub(crate) fn remove(&mut self, pid: i32) {
        self.entries.remove(&pid);
    }

    /// Cancels a waiting request, or returns the upstream at which the running one
    /// must be cancelled.
    pub(crate) fn cancel(&self, pid: i32, secret: i32) -> CancelOutcome {
        let entry = self.entries.get(&pid).filter(|entry| entry.secret == secret);
        let Some(entry) = entry else { return CancelOutcome::Unknown };
        match *entry.target.borrow() {
            Some(target) => CancelOutcome::Running(target),
            None => {
                let _ = entry.updates.unbounded_send(RequestUpdate::Cancelled);
                CancelOutcome::Waiting
            }
        }
    }
}
