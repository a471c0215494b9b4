//! PostgreSQL wire protocol over the async runtime's sockets. Messages are encoded
//! and decoded by the `pgwire` library; this crate splits the byte stream into
//! messages, so that those that are only forwarded need not be decoded. It contains
//! no routing logic.

mod client;
mod conn;
mod error;
mod frame;
mod message;
mod scratch;
mod server;
pub mod sqlstate;
pub mod tags;

pub use pgwire::messages::{
    Message,
    cancel::CancelRequest,
    copy::{CopyData, CopyDone, CopyFail, CopyInResponse, CopyOutResponse},
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{
        Bind, BindComplete, Close, CloseComplete, Describe, Execute, Flush, Parse, ParseComplete,
        PortalSuspended, Sync,
    },
    response::{
        CommandComplete, EmptyQueryResponse, ErrorResponse, NoticeResponse, ReadyForQuery,
        TransactionStatus,
    },
    simplequery::Query,
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
    terminate::Terminate,
};

pub use crate::{
    client::{StartupResponse, Upstream, cancel, connect},
    conn::Conn,
    error::WireError,
    frame::{Fragment, Frame},
    message::{Encode, decode, encode, error_fields, error_response},
    server::{InitialMessage, accept},
};
