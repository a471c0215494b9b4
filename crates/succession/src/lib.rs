//! Failover of groups whose members accept role changes only through the platform's
//! failover call, the request to promote a member. One daemon, the holder of the failover
//! lease, makes that call. Every daemon uses a
//! primary only while it has evidence that no failover is in progress, and its copies of the
//! configuration and the members only while it has evidence that they are recent.
//!
//! **Architecture invariant:** this crate uses no sockets, clocks or wire formats. The
//! caller passes times of a clock that keeps running while the VM is suspended.

mod acknowledged_end;
mod assessment;
mod carrier_directory;
mod copy_lease;
mod evidence_relay;
mod failover;
mod followed_tables;
mod grants;
mod part_claim;
mod peer_answers;
mod placement;
mod promotion_calls;
mod records;
mod replica_set;

pub use crate::{
    assessment::{Assessment, PrimaryHealth, assess},
    carrier_directory::{CarrierDirectory, CarrierSlots},
    copy_lease::{COPY_WITHOUT_STORE, Copied, CopyLease, PeerCopy},
    evidence_relay::EvidenceRelay,
    failover::{Action, Candidate, CandidateStatus, Failover, FailoverView, PromotionOutcome},
    followed_tables::{Feed, FollowedTables, FollowerView},
    grants::{
        CarrierState, GRANT_DURATION, GRANT_WITHOUT_STORE, PrimaryGrant, SETTLED_AFTER,
        is_majority_of_every_list, is_primary_unused,
    },
    part_claim::PartClaim,
    placement::{CarrierHealth, OrganisationShare, Placement, PlacementCarrier},
    promotion_calls::LATE_CALL_MAX,
    records::{CarrierRecord, EraRecord, LeaseRecord, PartRecord, PrimaryRecord, ReplacedCarrier},
    replica_set::{Replica, ReplicaSet, ReplicaSetAction, ReplicaSetRecord, ReplicaSetView},
};
