//! The data thread: accepts callers' sessions and runs their statements, on pooled
//! connections to members if this daemon is a carrier, otherwise through a carrier.

mod carrier_orders;
mod account;
mod context;
mod early_refusal;
mod group;
mod conn_lease;
mod member_conn;
mod names;
mod operation_token;
mod organisation_conn;
mod organisation_ids;
mod prepared_names;
mod reception;
mod relay;
mod retry_hint;
mod serve;
mod single;
mod session;
mod session_placement;
mod task;
mod transaction;
mod active_statement;
mod answer_memory;
mod caller_identity;

pub(crate) use self::{
    context::KeyPolicy,
    task::{Setup, run},
};
