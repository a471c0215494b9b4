use std::{cell::RefCell, net::SocketAddr, rc::Rc};

/// Addresses at which callers reach the daemons, by index. They change when a daemon is replaced. Clones
/// share them.
#[derive(Clone, Debug)]
pub(crate) struct DaemonAddrs {
    addrs: Rc<RefCell<Vec<SocketAddr>>>,
}

impl DaemonAddrs {
    pub(crate) fn new(addrs: Vec<SocketAddr>) -> DaemonAddrs {
        DaemonAddrs { addrs: Rc::new(RefCell::new(addrs)) }
    }

    pub(crate) fn len(&self) -> usize {
        self.addrs.borrow().len()
    }

    pub(crate) fn get(&self, daemon: usize) -> SocketAddr {
        self.addrs.borrow()[daemon]
    }

    pub(crate) fn set(&self, daemon: usize, addr: SocketAddr) {
        self.addrs.borrow_mut()[daemon] = addr;
    }
}
