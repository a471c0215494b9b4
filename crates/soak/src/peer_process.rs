use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

/// Process IDs of the daemons, by index. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct DaemonProcesses {
    ids: Arc<Mutex<Vec<u32>>>,
}

impl DaemonProcesses {
    /// Sets the process of a daemon.
    pub(crate) fn set(&self, daemon: usize, id: u32) {
        let mut ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        if ids.len() <= daemon {
            ids.resize(daemon + 1, 0);
        }
        ids[daemon] = id;
    }

    /// The daemon that has opened a connection from `peer` to `local`; `None` if it has ended or is
    /// none of them.
    pub(crate) fn find(&self, peer: SocketAddr, local: SocketAddr) -> Option<usize> {
        let ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if ids.is_empty() {
            return None;
        }
        let socket = format!("socket:[{}]", inode(peer.port(), local.port())?);
        ids.iter().position(|id| {
            let descriptors =
                fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
            descriptors
                .filter_map(|it| fs::read_link(it.path()).ok())
                .any(|target| target.to_str() == Some(&socket))
        })
    }
}

/// Inode of the socket that is connected from one port to the other on this machine.
fn inode(from: u16, to: u16) -> Option<String> {
    let (from, to) = (format!(":{from:04X}"), format!(":{to:04X}"));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| {
        row.get(1).is_some_and(|it| it.ends_with(&from))
            && row.get(2).is_some_and(|it| it.ends_with(&to))
    })?;
    row.get(9).map(|inode| (*inode).to_owned())
}

#[cfg(test)]
mod tests;
