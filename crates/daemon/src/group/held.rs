use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use base::MemberId;
use home::ConnectionState;

use crate::group::{
    handle::{GroupEvent, GroupHandle},
    links::Links,
    pooled::Pooled,
};

/// A connection that a session keeps between requests. Its owner hears of its
/// end even if the session dies.
#[derive(Debug)]
pub(crate) struct Held {
    owner: Owner,
    conn: Option<Pooled>,
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
        links: Rc<RefCell<Links>>,
        /// Address of the daemon.
        addr: SocketAddr,
    },
}

impl Held {
    /// Keeps a connection.
    pub(crate) fn new(owner: Owner, conn: Pooled) -> Held {
        Held { owner, conn: Some(conn), released: false }
    }

    /// Where the connection came from.
    pub(crate) fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Takes the connection for a request; [`Held::put_back`] returns it.
    pub(crate) fn take(&mut self) -> Option<Pooled> {
        self.conn.take()
    }

    /// Returns the connection after a request.
    pub(crate) fn put_back(&mut self, conn: Pooled) {
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
            Owner::Daemon { links, addr } => links.borrow_mut().give(*addr, conn),
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        if let Owner::Member { group, member } = &self.owner {
            group.send(GroupEvent::Released(member.clone(), ConnectionState::Closed, None));
        }
    }
}
