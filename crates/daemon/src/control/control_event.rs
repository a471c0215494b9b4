use base::{GroupId, Time, VmId};
use peers::{Heartbeat, IncomingCall, RowCopy};
use platform::{Row, Rows, VmRecord};

/// Event that the control task handles.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A poll of the platform's table service has succeeded.
    Polled {
        /// When the request was sent; claims are confirmed as of this time.
        asked_at: Time,
        /// Rows that have changed since the last poll, or all rows.
        rows: Rows,
        /// Whether the operators' table is known to be the newest one.
        is_table_current: bool,
    },
    /// A group's primary record and claim were read, in this order.
    LeadershipRead {
        /// The group.
        group: GroupId,
        /// The rows.
        rows: Vec<Row>,
    },
    /// Event for a group's election.
    Leadership {
        /// The group.
        group: GroupId,
        /// The event.
        event: leadership::Event,
    },
    /// Copy of the platform's rows that another daemon has cached.
    PeerRows(Vec<RowCopy>),
    /// A table was fetched from the platform or from another daemon.
    Table {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
    },
    /// The platform's VM list was read.
    Vms(Vec<VmRecord>),
    /// Another daemon or an operator's tool calls this daemon.
    IncomingCall(IncomingCall),
    /// Another daemon answered a heartbeat.
    HeartbeatReceived(Heartbeat),
    /// No daemon runs at the address of this VM: connections are refused, or the daemon of
    /// another VM answers.
    PeerGone(VmId),
}
