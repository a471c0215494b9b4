//! Members of database groups: the PostgreSQL protocol on top of an embedded SQL
//! engine, with terms, log positions, asynchronous replication and fault injection.

mod response;
mod extended_query;
mod control;
mod engine;
mod log_entry;
mod error;
mod faults;
mod semaphore;
mod group;
mod node;
mod rows;
mod serve;
mod session;
mod session_control;
mod session_copy;
mod session_transaction;
mod statement;
mod transaction;
mod values;

pub use crate::member::{
    faults::Faults,
    serve::{BoundMember, MembersConfig, bind_members, run_members},
};
