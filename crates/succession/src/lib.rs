//! Who is primary of a group whose members take orders from nobody but the
//! platform's failover call: one daemon holds the duty to make that call, and
//! every daemon uses a primary only while it can tell that no change is under way.
//!
//! **Architecture invariant:** no sockets, clocks or wire formats. Times are of a
//! clock that runs on while the VM is suspended.

mod carriers;
mod grants;
mod judge;
mod records;
mod succession;

pub use crate::{
    carriers::{CarrierPlaces, Carriers},
    grants::{GRANT, Grants, SETTLED_AFTER, Standing, WITHOUT_STORE, have_stopped, is_majority},
    judge::{Opinion, Verdict, judge},
    records::{CarrierRecord, DutyRecord, LeadRecord},
    succession::{Action, Candidate, Outcome, Status, Succession, View},
};
