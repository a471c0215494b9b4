//! One caller's session: reads its requests, obtains the right to run them, and
//! passes on the answers.

mod cancels;
mod context;
mod directory;
mod forward;
mod held;
mod keyed;
mod listener;
mod local;
mod plan;
mod profile;
mod relay;
mod request;
mod run;
mod serve;
mod statements;
mod tail;
mod there;
mod turn;

pub(crate) use crate::session::{
    context::Context,
    listener::{Origin, cancel_local, listen},
};
