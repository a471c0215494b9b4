//! Choice of the carrier that serves an organisation's sessions with a group.
//!
//! The choice is only a preference: every carrier may run every statement under the same grants.
//! Daemons whose views differ choose different carriers, which costs connections to members.

mod carrier_health;
mod placement_carrier;

pub use self::{carrier_health::CarrierHealth, placement_carrier::PlacementCarrier};

/// Number of parts that all organisations together are divided into, by their rates. It is
/// constant, so that an organisation has the same parts whatever carriers are listed. With twice
/// the maximum number of carriers, the parts of the largest organisations are small compared with
/// what a carrier has; an organisation with less than this fraction of all requests has one part,
/// so that its quota is used up in one place.
const PARTS: u64 = 24;

/// An organisation's fraction of all requests, according to the configuration.
#[derive(Clone, Copy, Debug)]
pub struct OrganisationShare<'a> {
    /// Name of the organisation.
    pub name: &'a str,
    /// Its rate, in operations per second.
    pub rate: f64,
    /// Sum of the rates of all organisations.
    pub total_rate: f64,
}

/// What determines the carriers of an organisation's sessions with a group: the organisation and
/// one of the parts that it is divided into.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    seed: u64,
}

impl OrganisationShare<'_> {
    /// Number of parts that the groups of the organisation are divided into, each of which is placed
    /// on its own; at least 1.
    pub fn parts(&self) -> u64 {
        let parts = (self.rate / self.total_rate * PARTS as f64).ceil();
        // The conversion turns what is not a number into 0, for example if all rates are 0.
        (parts as u64).clamp(1, PARTS)
    }
}

impl Placement {
    /// Determines the placement of an organisation's sessions with a group.
    pub fn new(organisation: &OrganisationShare<'_>, group: &str) -> Placement {
        let group = hash(FNV_BASIS, group.as_bytes());
        // If the rates of a configuration add a part, only the groups of that part move.
        let part_of_group = |part: &u64| mix(hash(group, &part.to_le_bytes()));
        let part = (0..organisation.parts()).max_by_key(part_of_group).unwrap_or_default();
        let organisation = hash(FNV_BASIS, organisation.name.as_bytes());
        Placement { seed: hash(organisation, &part.to_le_bytes()) }
    }

    /// The carrier that is preferred while all of them are healthy; `None` if there is none.
    pub fn preferred<'a>(&self, carriers: &'a [PlacementCarrier]) -> Option<&'a PlacementCarrier> {
        carriers.iter().max_by(|left, right| {
            let by_score = self.score(left).total_cmp(&self.score(right));
            by_score.then_with(|| right.vm.cmp(&left.vm))
        })
    }

    /// The healthy carriers, the preferred one first and its fall-backs after it.
    ///
    /// The order is by weighted rendezvous, with the cores of the VMs as weights: all daemons
    /// compute the same one without communicating, and without a carrier the others keep their
    /// order. Carriers that have recovered only lately come last.
    pub fn order<'a>(&self, carriers: &'a [PlacementCarrier]) -> Vec<&'a PlacementCarrier> {
        let healthy = carriers.iter().filter(|carrier| carrier.is_healthy());
        let mut scored: Vec<_> = healthy.map(|it| (it.health, self.score(it), it)).collect();
        scored.sort_unstable_by(|(health, score, carrier), (other_health, other_score, other)| {
            let by_health = other_health.cmp(health);
            let by_score = || other_score.total_cmp(score);
            by_health.then_with(by_score).then_with(|| carrier.vm.cmp(&other.vm))
        });
        scored.into_iter().map(|(_, _, carrier)| carrier).collect()
    }

    fn score(&self, carrier: &PlacementCarrier) -> f64 {
        let hash = mix(hash(self.seed, carrier.vm.as_bytes()));
        // Between 0 and 1, both excluded; an f64 holds 53 bits exactly.
        let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        carrier.weight() / -uniform.ln()
    }
}

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a, followed by a separator. Unlike the hashers of libraries, it is the same in all versions
/// of the daemon, which have to agree.
fn hash(state: u64, bytes: &[u8]) -> u64 {
    let step = |state: u64, byte: &u8| (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    step(bytes.iter().fold(state, step), &0xff)
}

/// Finalizer of splitmix64: FNV-1a leaves the upper bits poorly mixed.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
