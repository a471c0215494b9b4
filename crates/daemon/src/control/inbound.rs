use base::{GroupId, Time, VmId};
use peers::{Heartbeat, IncomingCall, RowCopy};
use platform::{Row, VmRecord};

/// What the control task hears.
#[derive(Debug)]
pub(crate) enum Inbound {
    /// A look at the table service.
    Looked {
        /// When the query was sent.
        asked_at: Time,
        /// Rows that changed since the last look.
        rows: Vec<Row>,
    },
    /// A group's reign and claim, read in this order.
    Reread {
        /// The group.
        group: GroupId,
        /// The rows.
        rows: Vec<Row>,
    },
    /// News for the change of primary.
    Leadership {
        /// The group.
        group: GroupId,
        /// What happened.
        event: leadership::Event,
    },
    /// Rows as another daemon knows them.
    Copied(Vec<RowCopy>),
    /// A table that was fetched, from the platform or from a peer.
    Table {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
    },
    /// The platform's VM list.
    Vms(Vec<VmRecord>),
    /// A call of another daemon.
    IncomingCall(IncomingCall),
    /// Another daemon's answer to a heartbeat.
    Heard(Heartbeat),
    /// Another daemon's address refuses connections.
    Gone(VmId),
}
