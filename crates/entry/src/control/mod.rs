//! The control thread: the store, the other daemons, the platform's probes.

mod beat;
mod event;
mod exchange;
mod http;
mod ledger;
mod member_calls;
mod peers;
mod pending;
mod roll;
mod stewardship;
mod tables;
mod task;
mod watch;

pub(crate) use self::{event::Event, task::run};
