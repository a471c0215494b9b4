//! The real daemon and a caller, for tests against the stand-in of the users' platform.

mod client;
mod daemon;

use base::Span;
use standins::lines::{Options, Platform};

pub use self::{client::Client, daemon::Daemon};

/// A platform with one group of three members, of which `svc1-m1` leads.
pub fn world() -> Platform {
    let options = Options {
        groups: vec!["svc1".to_owned()],
        lag: Span::ZERO,
        databases: databases(&["orders", "lookups"]),
    };
    Platform::start(&options).expect("the set-up of the test works")
}

/// Databases of the one group.
pub fn databases(names: &[&str]) -> Vec<Vec<String>> {
    vec![names.iter().map(|name| (*name).to_owned()).collect()]
}
