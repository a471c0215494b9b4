//! A stand-in of the users' platform on loopback: the store, the failover call and the
//! members of one group, so that the daemon runs here as it does there.

mod client;
mod daemon;
mod member;
mod store;
mod world;

pub use self::{client::Client, daemon::Daemon, world::World};
