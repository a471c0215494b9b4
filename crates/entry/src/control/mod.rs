//! The control thread: the store, the other daemons, the platform's probes.

mod carrier_roster;
mod coordination;
mod coordinator;
mod event;
mod heartbeat;
mod http;
mod member_calls;
mod peers;
mod pending_orders;
mod row_sync;
mod tables;
mod task;
mod watch;

pub(crate) use self::{event::Event, task::run};
