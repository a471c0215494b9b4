use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use base::FastMap;
use futures_channel::mpsc;

use crate::group::Update;

/// Keys by which callers cancel each other's requests.
#[derive(Debug, Default)]
pub(crate) struct CancelRegistry {
    entries: FastMap<i32, Entry>,
}

/// Where a session's request runs at present.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelTarget {
    /// Address of the upstream.
    pub(crate) addr: SocketAddr,
    /// Process number there.
    pub(crate) pid: i32,
    /// Secret there.
    pub(crate) secret: i32,
}

/// What came of a cancel request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CancelOutcome {
    /// The session is not known here.
    Unknown,
    /// Its request was waiting, if there was one.
    Waiting,
    /// Its request runs there.
    Running(CancelTarget),
}

/// The place where a session notes its target.
pub(crate) type CancelTargetCell = Rc<RefCell<Option<CancelTarget>>>;

#[derive(Debug)]
struct Entry {
    secret: i32,
    target: CancelTargetCell,
    updates: mpsc::UnboundedSender<Update>,
}

impl CancelRegistry {
    /// Makes a session known by its key.
    pub(crate) fn insert(
        &mut self,
        pid: i32,
        secret: i32,
        updates: mpsc::UnboundedSender<Update>,
    ) -> CancelTargetCell {
        let target = CancelTargetCell::default();
        self.entries.insert(pid, Entry { secret, target: Rc::clone(&target), updates });
        target
    }

    /// Forgets a session.
    pub(crate) fn remove(&mut self, pid: i32) {
        self.entries.remove(&pid);
    }

    /// Cancels a waiting request, or tells where the running one is to be
    /// cancelled.
    pub(crate) fn cancel(&self, pid: i32, secret: i32) -> CancelOutcome {
        let entry = self.entries.get(&pid).filter(|entry| entry.secret == secret);
        let Some(entry) = entry else { return CancelOutcome::Unknown };
        match *entry.target.borrow() {
            Some(target) => CancelOutcome::Running(target),
            None => {
                let _ = entry.updates.unbounded_send(Update::Cancelled);
                CancelOutcome::Waiting
            }
        }
    }
}
