//! The data thread: sockets of callers and members.

mod context;
mod group;
mod lease;
mod member_conn;
mod names;
mod relay;
mod serve;
mod single;
mod session;
mod task;
mod transaction;
mod turn;

pub(crate) use self::task::{Setup, run};
