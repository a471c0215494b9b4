use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use base::MemberId;
use home::ConnectionState;

use crate::group::{
    daemon_pool::DaemonPool,
    handle::{GroupEvent, GroupHandle},
    pooled_conn::PooledConn,
};

/// A connection that a session keeps between requests, as in a transaction. Dropping it
/// without [`HeldConn::release`] closes the connection. For a member, the home is told even
/// then, so that a session which ends abruptly does not leave it counted as open.
#[derive(Debug)]
pub(crate) struct HeldConn {
    owner: Owner,
    conn: Option<PooledConn>,
    released: bool,
}

/// Origin of a held connection, to which it is returned.
#[derive(Clone, Debug)]
pub(crate) enum Owner {
    /// A member of a group whose home is this daemon.
    Member {
        /// Task of the group.
        group: GroupHandle,
        member: MemberId,
    },
    /// Another daemon, which is the group's home.
    Daemon {
        /// Idle connections to other daemons.
        pool: Rc<RefCell<DaemonPool>>,
        addr: SocketAddr,
    },
}

impl HeldConn {
    pub(crate) fn new(owner: Owner, conn: PooledConn) -> HeldConn {
        HeldConn { owner, conn: Some(conn), released: false }
    }

    pub(crate) fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Takes the connection for a request; `None` if it was not put back after the last one.
    pub(crate) fn take(&mut self) -> Option<PooledConn> {
        self.conn.take()
    }

    /// Returns the connection after a request.
    pub(crate) fn put_back(&mut self, conn: PooledConn) {
        self.conn = Some(conn);
    }

    /// Returns the connection to its owner for reuse.
    pub(crate) fn release(mut self) {
        let Some(conn) = self.conn.take() else { return };
        self.released = true;
        match &self.owner {
            Owner::Member { group, member } => {
                let connection = ConnectionState::Idle;
                group.send(GroupEvent::Released(member.clone(), connection, Some(conn)));
            }
            Owner::Daemon { pool, addr } => pool.borrow_mut().put_back(*addr, conn),
        }
    }
}

impl Drop for HeldConn {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        if let Owner::Member { group, member } = &self.owner {
            group.send(GroupEvent::Released(member.clone(), ConnectionState::Closed, None));
        }
    }
}
