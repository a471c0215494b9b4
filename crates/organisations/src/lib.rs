//! Organisations and their API keys. The crate performs no I/O.
//!
//! **Architecture invariant:** an API key leaves this crate only towards the daemon that a session
//! is relayed to: it has no `Display`, and its `Debug` shows nothing of it.

mod api_key;
mod directory;
mod organisation;

pub use crate::{
    api_key::{ApiKey, MAX_KEY_BYTES},
    directory::{Directory, Lookup},
    organisation::{Organisation, RateLimit},
};

#[cfg(test)]
mod tests;
