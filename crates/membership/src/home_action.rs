use base::{GroupId, Time, VmId};

use crate::{place::Place, takeover::Takeover, vm::Incarnation};

/// An action that [`Homes`](crate::Homes) asks its caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeAction {
    /// Write a claim, if the row still has `version`.
    Claim {
        /// Group that is claimed.
        group: GroupId,
        /// Version that the row must still have.
        version: u64,
        /// Sequence number of the new claim.
        number: u64,
        /// VM that is to hold the claim: this one, or its successor in a handover.
        vm: VmId,
        /// Incarnation of the daemon on that VM.
        incarnation: Incarnation,
        /// Era of the store in which the claim holds.
        era: u64,
        /// Whether this daemon hands over a claim of its own.
        handed_over: bool,
    },
    /// Send requests for a group to `place` from now on.
    Route {
        /// Group whose requests are routed.
        group: GroupId,
        /// Destination of the requests.
        place: Place,
    },
    /// This daemon holds the claim now. The previous home may still rely on the
    /// write positions in its memory until `exclusive_from`.
    BecameHome {
        /// Group that is claimed.
        group: GroupId,
        /// Time from which no other daemon acts as home of the group.
        exclusive_from: Time,
        /// How the claim passed to this daemon.
        takeover: Takeover,
    },
    /// This daemon hands the group over and may no longer rely on its memory of it.
    HandoverStarted {
        /// Group that is handed over.
        group: GroupId,
    },
    /// The claim was confirmed: until `until` no other daemon becomes home, so that
    /// this one may rely on its memory of the group.
    Exclusive {
        /// Group whose claim was confirmed.
        group: GroupId,
        /// End of the guarantee.
        until: Time,
    },
}
