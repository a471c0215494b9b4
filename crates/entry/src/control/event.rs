use std::{net::SocketAddr, path};

use adapter::{CallError, Rows};
use base::Time;
use futures_channel::oneshot;
use succession::{CandidateStatus, PromotionOutcome};

use crate::{
    control::{beat::Beat, tables::TableCopy},
    messages::Report,
};

/// What happens to the control thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// Rows of a table.
    Rows {
        table: &'static str,
        rows: Rows,
        /// Whether these are all rows of the table.
        whole: bool,
        asked_at: Time,
    },
    /// Another daemon asks for all rows.
    RowsAsked(oneshot::Sender<Vec<TableCopy>>),
    /// Another daemon's rows.
    RowsOfPeer(Vec<TableCopy>),
    /// The store did not answer as hoped.
    StoreFailed { table: &'static str, error: CallError },
    /// A write to this project's rows has ended.
    Written { what: &'static str, result: Result<u64, CallError> },
    /// A heartbeat of another daemon, and where it came from.
    Beat(Beat, SocketAddr),
    /// News of the data thread.
    Data(Report),
    /// A member was asked for its state.
    Status { member: String, status: Option<CandidateStatus> },
    /// A member was to be promoted.
    Promoted { group: String, member: String, outcome: PromotionOutcome },
    /// The settings file has changed.
    Reload(path::PathBuf),
    /// The process should end.
    Stop,
}
