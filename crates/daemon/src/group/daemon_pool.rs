use std::net::SocketAddr;

use base::FastMap;

use crate::group::pooled_conn::PooledConn;

const KEPT_FOR_EACH: usize = 32;

/// Free connections to other daemons, by address.
#[derive(Debug, Default)]
pub(crate) struct DaemonPool {
    free: FastMap<SocketAddr, Vec<PooledConn>>,
}

impl DaemonPool {
    /// A free connection that is still usable.
    pub(crate) fn take(&mut self, addr: SocketAddr) -> Option<PooledConn> {
        let free = self.free.get_mut(&addr)?;
        while let Some(mut conn) = free.pop() {
            if conn.is_clean() {
                return Some(conn);
            }
        }
        None
    }

    /// Gives a connection back; it is closed if enough are free already.
    pub(crate) fn put_back(&mut self, addr: SocketAddr, conn: PooledConn) {
        let free = self.free.entry(addr).or_default();
        if free.len() < KEPT_FOR_EACH {
            free.push(conn);
        }
    }
}
