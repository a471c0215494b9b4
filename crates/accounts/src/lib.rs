//! Applies the budget of callers ([`budget::Budget`]) to the sessions of a data thread: waits for
//! memory, closes sessions, counts and logs refusals, and lets sessions run in turns.

mod account;
mod accounts;
mod host;
mod log_limit;

pub use crate::{
    account::Account,
    accounts::{Accounts, yield_now},
    host::Host,
    log_limit::excerpt,
};
