//! The control thread: follows the platform's store, exchanges heartbeats with the other
//! daemons, takes part in failover and answers the platform's readiness probe.
//!
//! A *carrier* is a daemon that holds connections to members; the other daemons relay
//! their sessions to one. Each availability zone has a limited number of *carrier slots*.
//! The *failover lease* (the row `duty`) names the one carrier whose duty it is to replace
//! primaries, by *failover calls* to the platform. A *grant* is the time-limited right of
//! a carrier to use primaries.

mod bounded_listener;
mod carrier_roster;
mod coordination;
mod coordinator;
mod event;
mod feeds;
mod followed_since;
mod group_state;
mod heartbeat;
mod http;
mod member_calls;
mod peers;
mod pending_orders;
mod replicas_command;
mod row_sync;
mod tables;
mod task;

pub use self::replicas_command::{ReplicasCommand, ReplicasError};
pub(crate) use self::{event::Event, task::run};
