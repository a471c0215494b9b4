use std::hash::{Hash, Hasher};

use base::{GroupId, VmId};

/// Orders `vms` by how much each is preferred as home of `group`, by rendezvous
/// hashing.
///
/// All daemons compute the same order from the same VMs without communicating.
/// When a VM is removed, only the groups that it was first for move.
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

/// Finalizer of splitmix64. FxHash leaves some bits poorly mixed, and the weights
/// are compared as whole numbers.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
