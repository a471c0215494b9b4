//! The PostgreSQL protocol over the runtime's sockets. Messages are encoded and
//! decoded by a library; this crate frames them, so that what is only passed on
//! need not be decoded. Knows nothing of routing.

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
