//! The records that the daemons keep in the platform's store, read and written through
//! the one client of the store (`platform/`). Knows nothing of what is decided.

mod client;
mod error;
mod members;
mod primary;
mod row;
mod table_pointer;
mod vm;

pub use crate::{
    client::Client,
    error::PlatformError,
    members::{MemberRecord, MembersRecord},
    primary::PrimaryRecord,
    row::{Condition, Row, Rows, Write},
    table_pointer::{TablePointer, TableVersion},
    vm::VmRecord,
};
