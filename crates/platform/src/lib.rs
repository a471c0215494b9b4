//! Types of the records that the daemons share through the platform's store, and a client
//! that reads and writes them by way of the store client in `platform/`. This crate makes
//! no decisions on what the records should contain.

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
