use std::net::SocketAddr;

use base::FastMap;

use crate::group::pooled_conn::PooledConn;

const MAX_IDLE_PER_DAEMON: usize = 32;

/// Idle connections to other daemons, by address.
#[derive(Debug, Default)]
pub(crate) struct DaemonPool {
    idle: FastMap<SocketAddr, Vec<PooledConn>>,
}

impl DaemonPool {
    /// Takes an idle connection that is still usable; `None` if there is none.
    pub(crate) fn take(&mut self, addr: SocketAddr) -> Option<PooledConn> {
        let idle = self.idle.get_mut(&addr)?;
        while let Some(mut conn) = idle.pop() {
            if conn.is_clean() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    pub(crate) fn put_back(&mut self, addr: SocketAddr, conn: PooledConn) {
        let idle = self.idle.entry(addr).or_default();
        if idle.len() < MAX_IDLE_PER_DAEMON {
            idle.push(conn);
        }
    }
}
