use std::{net::SocketAddr, path};

use adapter::{CallError, Rows};
use base::Time;
use futures_channel::oneshot;
use succession::{CandidateStatus, PromotionOutcome};

use crate::{
    control::{heartbeat::Heartbeat, tables::TableSnapshot},
    messages::Report,
};

/// Input of the control thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// The store has returned rows of a table.
    Rows {
        table: &'static str,
        rows: Rows,
        /// Whether these are all rows of the table, so that rows missing here are deleted.
        complete: bool,
        asked_at: Time,
    },
    /// Another daemon requests the cached rows of a table, or of all tables.
    RowsRequested { table: Option<String>, tx: oneshot::Sender<Vec<TableSnapshot>> },
    /// Another daemon has returned its cached rows.
    PeerRows(Vec<TableSnapshot>),
    /// A read from the store has failed.
    StoreFailed { table: &'static str, error: CallError },
    /// A write to the state table has succeeded or failed.
    WriteFinished { what: &'static str, result: Result<u64, CallError> },
    /// A heartbeat of another daemon, with its source address.
    Heartbeat(Box<Heartbeat>, SocketAddr),
    /// A report from the data thread.
    Data(Report),
    /// A status query to a member has ended; `None` if it gave no status.
    MemberStatus { member: String, status: Option<CandidateStatus> },
    /// An attempt to promote a member has ended.
    PromotionFinished { group: String, member: String, outcome: PromotionOutcome },
    /// SIGHUP was received; the settings file is to be checked again.
    Reload(path::PathBuf),
    /// SIGINT or SIGTERM was received.
    Stop,
}
