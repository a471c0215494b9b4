use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Term;

use crate::member::node::Node;

const REPLICATION_TICK: Duration = Duration::from_millis(1);

/// The members of one group, which replicate within this process.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    nodes: Rc<Vec<RefCell<Node>>>,
}

impl Group {
    pub(crate) fn new(nodes: Vec<Node>) -> Group {
        Group { nodes: Rc::new(nodes.into_iter().map(RefCell::new).collect()) }
    }

    /// A member.
    pub(crate) fn node(&self, index: usize) -> &RefCell<Node> {
        &self.nodes[index]
    }

    /// Makes a member follow the primary of `term`.
    pub(crate) fn repoint(&self, index: usize, term: Term) {
        let mut node = self.nodes[index].borrow_mut();
        if term >= node.term && !(node.primary && node.term == term) {
            node.fence(term);
        }
    }

    /// Ships log entries to the replicas as they fall due, for ever.
    pub(crate) async fn replicate(self) {
        loop {
            monoio::time::sleep(REPLICATION_TICK).await;
            self.ship(Instant::now());
        }
    }

    fn ship(&self, now: Instant) {
        for index in 0..self.nodes.len() {
            let Some(source) = self.source_of(index) else { continue };
            let source = self.nodes[source].borrow();
            let mut node = self.nodes[index].borrow_mut();
            if node.position() == source.position() && node.applied == node.log.len() {
                continue;
            }
            let due = now.checked_sub(node.faults.replication_lag).unwrap_or(now);
            let _ = node.follow(&source.log, due);
        }
    }

    /// The primary of the member's own term, if replication reaches it.
    fn source_of(&self, index: usize) -> Option<usize> {
        let node = self.nodes[index].borrow();
        let off = |node: &Node| node.faults.cut || node.faults.down || node.faults.paused;
        if node.primary || off(&node) {
            return None;
        }
        (0..self.nodes.len()).filter(|&other| other != index).find(|&other| {
            let other = self.nodes[other].borrow();
            other.primary && other.term == node.term && !off(&other)
        })
    }
}
