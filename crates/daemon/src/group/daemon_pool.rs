use std::net::SocketAddr;

use base::FastMap;

use crate::group::pooled_conn::PooledConn;

const MAX_IDLE_PER_DAEMON: usize = 32;

/// Idle connections to other daemons, by address.
#[derive(Debug, Default)]
pub(crate) struct DaemonPool {
    free: FastMap<SocketAddr, Vec<PooledConn>>,
}

impl DaemonPool {
    /// Takes an idle connection that is still usable; `None` if there is none.
    pub(crate) fn take(&mut self, addr: SocketAddr) -> Option<PooledConn> {
        let free = self.free.get_mut(&addr)?;
        while let Some(mut conn) = free.pop() {
            if conn.is_clean() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    pub(crate) fn put_back(&mut self, addr: SocketAddr, conn: PooledConn) {
        let free = self.free.entry(addr).or_default();
        if free.len() < MAX_IDLE_PER_DAEMON {
            free.push(conn);
        }
    }
}
