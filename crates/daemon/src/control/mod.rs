//! The control thread: polls the platform, exchanges heartbeats with the other daemons,
//! decides which groups this daemon is the home of, and calls the platform and the other
//! daemons for the data thread.

mod task;
mod control_event;
mod peer_heartbeats;
mod platform_writes;
mod records;
mod watch;

pub(crate) use crate::control::task::{Control, ControlSetup};
