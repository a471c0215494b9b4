use std::hash::{Hash, Hasher};

use base::{GroupId, VmId};

/// VMs in the order in which they should be home of `group`.
///
/// Every daemon finds the same order without asking. When a VM goes, only the
/// groups of that VM move.
pub fn preference_order<'a>(
    group: &GroupId,
    vms: impl IntoIterator<Item = &'a VmId>,
) -> Vec<&'a VmId> {
    let mut weighted: Vec<(u64, &VmId)> =
        vms.into_iter().map(|vm| (weight(group, vm), vm)).collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_, vm)| vm).collect()
}

fn weight(group: &GroupId, vm: &VmId) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    group.as_str().hash(&mut hasher);
    vm.as_str().hash(&mut hasher);
    mix(hasher.finish())
}

/// Spreads the fast hash's entropy over all bits (the finalizer of splitmix64).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
