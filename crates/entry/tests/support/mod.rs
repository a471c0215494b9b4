//! Starts the daemon process, a client and the stand-in of the users' platform.

mod client;
pub mod daemon;
mod link;
mod peer;

use base::Span;
use standins::lines::{Options, Platform};

pub use self::{client::Client, daemon::Daemon, link::Link, peer::Peer};

/// Starts a platform with one group of three members; `svc1-m1` is the primary.
pub fn start_platform() -> Platform {
    let options = Options {
        groups: vec!["svc1".to_owned()],
        lag: Span::ZERO,
        databases: databases(&["orders", "lookups"]),
    };
    Platform::start(&options).expect("test setup failed")
}

/// Returns the database names as those of a single group.
pub fn databases(names: &[&str]) -> Vec<Vec<String>> {
    vec![names.iter().map(|name| (*name).to_owned()).collect()]
}
