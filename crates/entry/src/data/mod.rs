//! The data thread: sockets of callers and members.

mod context;
mod group;
mod lease;
mod member_conn;
mod names;
mod relay;
mod serve;
mod session;
mod task;

pub(crate) use self::task::{Setup, run};
