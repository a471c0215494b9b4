//! Who is primary of a group whose members take orders from nobody but the
//! platform's failover call: one daemon holds the duty to make that call, and
//! every daemon uses a primary only while it can tell that no change is under way.
//!
//! **Architecture invariant:** no sockets, clocks or wire formats. Times are of a
//! clock that runs on while the VM is suspended.

mod carrier_directory;
mod grant;
mod assessment;
mod records;
mod failover;

pub use crate::{
    assessment::{Assessment, PrimaryHealth, assess},
    carrier_directory::{CarrierDirectory, CarrierSlots},
    failover::{Action, Candidate, CandidateStatus, Failover, FailoverView, PromotionOutcome},
    grant::{
        CarrierState, GRANT_DURATION, GRANT_WITHOUT_STORE, PrimaryGrant, SETTLED_AFTER,
        is_majority_of_every_list, is_primary_unused,
    },
    records::{CarrierRecord, LeaseRecord, PrimaryRecord},
};
