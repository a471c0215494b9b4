//! Sessions of callers: a session reads requests, obtains a member or another
//! daemon to run each of them, and relays the responses.

mod account;
mod active_request;
mod cancel_registry;
mod context;
mod directory;
mod forward;
mod held;
mod idempotency;
mod listener;
mod local;
mod plan;
mod profile;
mod read_ahead;
mod relay;
mod relay_input;
mod remote;
mod request;
mod response_buffer;
mod run;
mod serve;
mod statements;

pub(crate) use crate::session::{
    context::Context,
    listener::{Origin, cancel_local, listen},
};
