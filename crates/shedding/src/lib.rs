//! Early load shedding. Carriers report the load of their queues and the organisations over their
//! limit; the daemon where a request enters refuses it if it cannot be served in time by recent
//! reports, instead of passing it on to a carrier that would refuse it after a wait.
//!
//! **Architecture invariant:** this crate knows no sockets, clocks or wire formats. The time is passed
//! in.

mod entry_shedding;
mod load_report;
mod outgoing_load;

pub use crate::{
    entry_shedding::{EarlyRefusal, EntryShedding, Operation, RefusalCause},
    load_report::{LimitWait, LoadReport, MAX_ENTRIES, QueueWait, RankWaits},
    outgoing_load::OutgoingLoad,
};

#[cfg(test)]
mod tests;
