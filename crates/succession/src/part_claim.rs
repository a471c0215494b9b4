use base::{Span, Time};

use crate::grants::{
    CarrierState, EXPIRY_MARGIN, GRANT_DURATION, LONGEST_GRANT, is_majority_of_every_list,
};

/// Evidence that nobody else uses a carrier's part of the organisations' limits, which a record in the
/// store has assigned to this carrier.
///
/// A carrier uses a part only under a grant, and only while no record that it has applied assigns the
/// part to another one. After the record, a carrier that has not applied it gets no grant, for the same
/// reasons as after the record of a failover. What it has lent before can be used for a while longer.
#[derive(Clone, Debug)]
pub struct PartClaim {
    /// Version of the record.
    version: u64,
    /// When the record was read from the store.
    learned_at: Time,
    majority_since: Option<Time>,
    all_since: Option<Time>,
}

impl PartClaim {
    /// Creates the claim of a record that has become known.
    pub fn new(version: u64, learned_at: Time) -> PartClaim {
        PartClaim { version, learned_at, majority_since: None, all_since: None }
    }

    /// Version of the record.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records which carriers are known to have applied the record. `unlisted` is the number of
    /// carriers whose rows the store may have lost.
    pub fn observe(&mut self, now: Time, carriers: &[CarrierState], unlisted: usize) {
        if is_majority_of_every_list(carriers, unlisted) {
            self.majority_since.get_or_insert(now);
        }
        if unlisted == 0 && carriers.iter().all(|carrier| carrier.applied) {
            self.all_since.get_or_insert(now);
        }
    }

    /// Whether the part may be used. `loan` is how long a loan may be used at most, and `margin` covers
    /// clocks that run at different speeds.
    pub fn is_free(&self, now: Time, loan: Span, margin: Span) -> bool {
        let has_passed = |since: Option<Time>, span: Span| {
            since.is_some_and(|since| now.since(since) >= span + loan)
        };
        has_passed(self.all_since, margin)
            || has_passed(self.majority_since, GRANT_DURATION + EXPIRY_MARGIN)
            || has_passed(Some(self.learned_at), LONGEST_GRANT)
    }
}
