use base::{GroupId, Time, VmId};

use crate::{place::Place, takeover::Takeover, vm::Incarnation};

/// What is to be done about homes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeAction {
    /// Write a claim, if the row still has `version`.
    Claim {
        /// The group.
        group: GroupId,
        /// Version that the row must have.
        version: u64,
        /// Number of the new claim.
        number: u64,
        /// VM that is to hold it: this one, or the one it is handed over to.
        vm: VmId,
        /// Run of that VM's daemon.
        incarnation: Incarnation,
        /// Whether this daemon hands its own claim over.
        handed_over: bool,
    },
    /// Requests for a group go elsewhere from now on.
    Route {
        /// The group.
        group: GroupId,
        /// Where they go.
        place: Place,
    },
    /// This daemon holds the claim now; a home before it may still trust its
    /// memory, until `exclusive_from`.
    BecameHome {
        /// The group.
        group: GroupId,
        /// From when on no other daemon trusts its memory.
        exclusive_from: Time,
        /// How the group came here.
        takeover: Takeover,
    },
    /// This daemon hands the group over: memory may no longer be trusted.
    HandoverStarted {
        /// The group.
        group: GroupId,
    },
    /// The claim was confirmed: memory may be trusted until then.
    Exclusive {
        /// The group.
        group: GroupId,
        /// End of the trust.
        until: Time,
    },
}
