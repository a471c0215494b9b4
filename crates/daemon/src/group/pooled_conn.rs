use std::collections::BTreeMap;

use base::{FastMap, Term};
use futures_util::FutureExt;
use wire::Upstream;

/// A connection to a member or to another daemon, with the session state that is known to
/// be set at the server.
#[derive(Debug)]
pub(crate) struct PooledConn {
    pub(crate) upstream: Upstream,
    /// Term that was last set on it; `None` if none was.
    pub(crate) term: Option<Term>,
    /// Session settings that differ from the server's defaults.
    pub(crate) settings: BTreeMap<String, String>,
    /// Prepared statements, by their name at the server.
    pub(crate) prepared: FastMap<String, Prepared>,
}

/// Whether the server has a prepared statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Prepared {
    /// It was sent to the server and no error has followed.
    Certain,
    /// An error followed, so the server may have skipped it.
    Uncertain,
}

impl PooledConn {
    /// Wraps a new connection, without any session state.
    pub(crate) fn new(upstream: Upstream) -> PooledConn {
        PooledConn { upstream, term: None, settings: BTreeMap::new(), prepared: FastMap::default() }
    }

    /// Whether an idle connection can be reused: it is still open and has no unread data.
    pub(crate) fn is_clean(&mut self) -> bool {
        self.upstream.conn.buffered() == 0 && self.upstream.conn.fill().now_or_never().is_none()
    }
}
