use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Term;

use crate::member::node::Node;

const REPLICATION_INTERVAL: Duration = Duration::from_millis(1);

/// The members of a group, which replicate to each other within this process.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    nodes: Rc<Vec<RefCell<Node>>>,
}

impl Group {
    pub(crate) fn new(nodes: Vec<Node>) -> Group {
        Group { nodes: Rc::new(nodes.into_iter().map(RefCell::new).collect()) }
    }

    pub(crate) fn node(&self, index: usize) -> &RefCell<Node> {
        &self.nodes[index]
    }

    /// Makes a member follow the primary of `term`. Does nothing if the member has accepted a higher
    /// term or is itself the primary of `term`.
    pub(crate) fn repoint(&self, index: usize, term: Term) {
        let mut node = self.nodes[index].borrow_mut();
        if term >= node.term && !(node.primary && node.term == term) {
            node.fence(term);
        }
    }

    /// Replicates log entries to the replicas when their lag has passed. Never returns.
    pub(crate) async fn replicate(self) {
        loop {
            monoio::time::sleep(REPLICATION_INTERVAL).await;
            self.replicate_due(Instant::now());
        }
    }

    fn replicate_due(&self, now: Instant) {
        for index in 0..self.nodes.len() {
            let Some(source) = self.replication_source(index) else { continue };
            let source = self.nodes[source].borrow();
            let mut node = self.nodes[index].borrow_mut();
            if node.position() == source.position() && node.applied == node.log.len() {
                continue;
            }
            let due = now.checked_sub(node.faults.replication_lag).unwrap_or(now);
            let _ = node.follow(&source.log, due);
        }
    }

    /// Index of the primary of the member's term; `None` if a fault interrupts replication between
    /// the two, or if the member is a primary.
    fn replication_source(&self, index: usize) -> Option<usize> {
        let node = self.nodes[index].borrow();
        let interrupted = |node: &Node| node.faults.cut || node.faults.down || node.faults.paused;
        if node.primary || interrupted(&node) {
            return None;
        }
        (0..self.nodes.len()).filter(|&other| other != index).find(|&other| {
            let other = self.nodes[other].borrow();
            other.primary && other.term == node.term && !interrupted(&other)
        })
    }
}
