use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use base::MemberId;
use home::ConnectionState;

use crate::group::{
    daemon_pool::DaemonPool,
    handle::{GroupEvent, GroupHandle},
    pooled_conn::PooledConn,
};

/// A connection that a session keeps between requests. Its owner hears of its
/// end even if the session dies.
#[derive(Debug)]
pub(crate) struct HeldConn {
    owner: Owner,
    conn: Option<PooledConn>,
    released: bool,
}

/// Where a held connection came from.
#[derive(Clone, Debug)]
pub(crate) enum Owner {
    /// A member of a group whose home is here.
    Member {
        /// The home.
        group: GroupHandle,
        /// The member.
        member: MemberId,
    },
    /// Another daemon, which is home.
    Daemon {
        /// Free connections to other daemons.
        links: Rc<RefCell<DaemonPool>>,
        /// Address of the daemon.
        addr: SocketAddr,
    },
}

impl HeldConn {
    /// Keeps a connection.
    pub(crate) fn new(owner: Owner, conn: PooledConn) -> HeldConn {
        HeldConn { owner, conn: Some(conn), released: false }
    }

    /// Where the connection came from.
    pub(crate) fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Takes the connection for a request; [`HeldConn::put_back`] returns it.
    pub(crate) fn take(&mut self) -> Option<PooledConn> {
        self.conn.take()
    }

    /// Returns the connection after a request.
    pub(crate) fn put_back(&mut self, conn: PooledConn) {
        self.conn = Some(conn);
    }

    /// Gives the connection back for others.
    pub(crate) fn release(mut self) {
        let Some(conn) = self.conn.take() else { return };
        self.released = true;
        match &self.owner {
            Owner::Member { group, member } => {
                let connection = ConnectionState::Idle;
                group.send(GroupEvent::Released(member.clone(), connection, Some(conn)));
            }
            Owner::Daemon { links, addr } => links.borrow_mut().put_back(*addr, conn),
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
