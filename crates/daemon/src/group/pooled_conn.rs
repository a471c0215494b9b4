use std::collections::BTreeMap;

use base::{FastMap, Term};
use futures_util::FutureExt;
use wire::Upstream;

/// A connection to a member or to another daemon, with what is known of the
/// state at its far end.
#[derive(Debug)]
pub(crate) struct PooledConn {
    /// The connection.
    pub(crate) upstream: Upstream,
    /// Term that was announced on it.
    pub(crate) term: Option<Term>,
    /// Settings that differ from the defaults.
    pub(crate) settings: BTreeMap<String, String>,
    /// Statements that were prepared on it, by the name used there.
    pub(crate) prepared: FastMap<String, Prepared>,
}

/// Whether a statement is prepared at the far end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Prepared {
    /// It is.
    Certain,
    /// An error came in between; nobody knows.
    Uncertain,
}

impl PooledConn {
    /// A fresh connection.
    pub(crate) fn new(upstream: Upstream) -> PooledConn {
        PooledConn { upstream, term: None, settings: BTreeMap::new(), prepared: FastMap::default() }
    }

    /// Whether an idle connection can be used: still open, nothing unread.
    pub(crate) fn is_clean(&mut self) -> bool {
        self.upstream.conn.buffered() == 0 && self.upstream.conn.fill().now_or_never().is_none()
    }
}
