use std::hash::BuildHasher;

use base::{FastMap, Span, Time, VmId};

use crate::vm::{Incarnation, Vm};

/// The VMs of the deployment as this daemon sees them: the platform's lagging
/// list, corrected by heartbeats.
#[derive(Debug)]
pub struct Vms {
    own: Vm,
    own_incarnation: Incarnation,
    own_leaving: bool,
    patience: Span,
    others: FastMap<VmId, Seen>,
}

#[derive(Debug)]
struct Seen {
    vm: Vm,
    incarnation: Incarnation,
    heard: Option<Time>,
    leaving: bool,
}

impl Vms {
    /// A view in which only `own` is known; others are alive while they have
    /// been heard of within `patience`.
    pub fn new(own: Vm, incarnation: Incarnation, patience: Span) -> Vms {
        Vms {
            own,
            own_incarnation: incarnation,
            own_leaving: false,
            patience,
            others: FastMap::default(),
        }
    }

    /// This daemon's VM.
    pub fn own(&self) -> &Vm {
        &self.own
    }

    /// Run of this daemon.
    pub fn own_incarnation(&self) -> Incarnation {
        self.own_incarnation
    }

    /// Takes in the platform's list. It may be old: it adds VMs and marks them
    /// as leaving, but does not make silent ones alive.
    pub fn apply_platform_list(&mut self, vms: impl IntoIterator<Item = (Vm, bool)>) {
        for (vm, leaving) in vms {
            if vm.id == self.own.id {
                self.own_leaving |= leaving;
                continue;
            }
            let seen = self.others.entry(vm.id.clone()).or_insert_with(|| Seen::new(vm.clone()));
            seen.leaving |= leaving;
            if seen.heard.is_none() {
                seen.vm = vm;
            }
        }
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(&mut self, now: Time, vm: Vm, incarnation: Incarnation, leaving: bool) {
        let seen = self.others.entry(vm.id.clone()).or_insert_with(|| Seen::new(vm.clone()));
        seen.vm = vm;
        seen.leaving = leaving || (seen.leaving && seen.incarnation == incarnation);
        seen.incarnation = incarnation;
        seen.heard = Some(now);
    }

    /// Takes in that a VM's daemon is certainly gone: its address refuses
    /// connections.
    pub fn gone(&mut self, vm: &VmId) {
        if let Some(seen) = self.others.get_mut(vm) {
            seen.heard = None;
            seen.incarnation = Incarnation::default();
        }
    }

    /// Takes in that this daemon stops.
    pub fn set_leaving(&mut self) {
        self.own_leaving = true;
    }

    /// Whether this daemon stops.
    pub fn leaving(&self) -> bool {
        self.own_leaving
    }

    /// Whether a VM's daemon answers, leaving or not.
    pub fn is_alive(&self, now: Time, vm: &VmId) -> bool {
        *vm == self.own.id
            || self.others.get(vm).is_some_and(|seen| seen.is_alive(now, self.patience))
    }

    /// Whether a certain run of a VM's daemon may still be there.
    pub fn may_be_running(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        if *vm == self.own.id {
            return incarnation == self.own_incarnation;
        }
        self.others.get(vm).is_none_or(|seen| seen.incarnation == incarnation)
    }

    /// VMs that may be home: alive and not leaving.
    pub fn candidates(&self, now: Time) -> impl Iterator<Item = &VmId> {
        let others = self.others.values();
        let others = others.filter(move |seen| seen.is_alive(now, self.patience) && !seen.leaving);
        let own = (!self.own_leaving).then_some(&self.own.id);
        own.into_iter().chain(others.map(|seen| &seen.vm.id))
    }

    /// A number that changes whenever a VM comes, goes, restarts or leaves, as
    /// seen at `now`; it does not depend on any order.
    pub fn state_hash(&self, now: Time) -> u64 {
        let hasher = rustc_hash::FxBuildHasher;
        let one = |seen: &Seen| {
            let alive = seen.is_alive(now, self.patience);
            hasher.hash_one((&seen.vm.id, seen.incarnation, alive, seen.leaving, seen.vm.forward))
        };
        let others = self.others.values().map(one).fold(0, u64::wrapping_add);
        others.wrapping_add(hasher.hash_one(self.own_leaving))
    }

    /// A VM by name.
    pub fn get(&self, vm: &VmId) -> Option<&Vm> {
        if *vm == self.own.id {
            return Some(&self.own);
        }
        self.others.get(vm).map(|seen| &seen.vm)
    }

    /// Last known run of a VM's daemon.
    pub fn incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        if *vm == self.own.id {
            return Some(self.own_incarnation);
        }
        self.others.get(vm).map(|seen| seen.incarnation)
    }

    /// The other VMs, alive or not.
    pub fn others(&self) -> impl Iterator<Item = &Vm> {
        self.others.values().map(|seen| &seen.vm)
    }
}

impl Seen {
    fn new(vm: Vm) -> Seen {
        Seen { vm, incarnation: Incarnation::default(), heard: None, leaving: false }
    }

    fn is_alive(&self, now: Time, patience: Span) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= patience)
    }
}
