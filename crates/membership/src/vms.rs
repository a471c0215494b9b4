use std::hash::BuildHasher;

use base::{FastMap, Span, Time, VmId};

use crate::vm::{Incarnation, Vm};

/// This daemon's view of the deployment's VMs: the platform's list, which may be out
/// of date, corrected by heartbeats.
#[derive(Debug)]
pub struct Vms {
    own: Vm,
    own_incarnation: Incarnation,
    own_leaving: bool,
    max_silence: Span,
    others: FastMap<VmId, PeerVm>,
}

#[derive(Debug)]
struct PeerVm {
    vm: Vm,
    incarnation: Incarnation,
    /// `None` before the first heartbeat, and once the daemon is known to have ended.
    last_heartbeat: Option<Time>,
    leaving: bool,
}

impl Vms {
    /// Creates a view that contains only `own`. Another VM counts as alive while its
    /// last heartbeat is at most `max_silence` old.
    pub fn new(own: Vm, incarnation: Incarnation, max_silence: Span) -> Vms {
        Vms {
            own,
            own_incarnation: incarnation,
            own_leaving: false,
            max_silence,
            others: FastMap::default(),
        }
    }

    /// The VM that this daemon runs on.
    pub fn own(&self) -> &Vm {
        &self.own
    }

    /// Incarnation of this daemon.
    pub fn own_incarnation(&self) -> Incarnation {
        self.own_incarnation
    }

    /// Merges the platform's list, in which each VM comes with whether it is leaving.
    /// The list may be out of date: it adds VMs and marks them as leaving, but does
    /// not make a VM without heartbeats count as alive.
    pub fn apply_platform_list(&mut self, vms: impl IntoIterator<Item = (Vm, bool)>) {
        for (vm, leaving) in vms {
            if vm.id == self.own.id {
                self.own_leaving |= leaving;
                continue;
            }
            let peer = self.others.entry(vm.id.clone()).or_insert_with(|| PeerVm::new(vm.clone()));
            peer.leaving |= leaving;
            if peer.last_heartbeat.is_none() {
                peer.vm = vm;
            }
        }
    }

    /// Records a heartbeat of the daemon on `vm`. Within one incarnation a VM that was
    /// leaving remains so.
    pub fn record_heartbeat(&mut self, now: Time, vm: Vm, incarnation: Incarnation, leaving: bool) {
        let peer = self.others.entry(vm.id.clone()).or_insert_with(|| PeerVm::new(vm.clone()));
        peer.vm = vm;
        peer.leaving = leaving || (peer.leaving && peer.incarnation == incarnation);
        peer.incarnation = incarnation;
        peer.last_heartbeat = Some(now);
    }

    /// Records that no daemon runs on a VM any more, because its address refuses
    /// connections.
    pub fn gone(&mut self, vm: &VmId) {
        if let Some(peer) = self.others.get_mut(vm) {
            peer.last_heartbeat = None;
            peer.incarnation = Incarnation::default();
        }
    }

    /// Marks this daemon as stopping, so that it is no candidate for home any more.
    pub fn set_leaving(&mut self) {
        self.own_leaving = true;
    }

    /// Whether this daemon is stopping, by its own decision or the platform's list.
    pub fn leaving(&self) -> bool {
        self.own_leaving
    }

    /// Whether the daemon on a VM sends heartbeats, leaving or not.
    pub fn is_alive(&self, now: Time, vm: &VmId) -> bool {
        *vm == self.own.id
            || self.others.get(vm).is_some_and(|peer| peer.is_alive(now, self.max_silence))
    }

    /// Whether `incarnation` may still be running on a VM: it is the last known one, or
    /// the VM is not known.
    pub fn may_be_running(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        if *vm == self.own.id {
            return incarnation == self.own_incarnation;
        }
        self.others.get(vm).is_none_or(|peer| peer.incarnation == incarnation)
    }

    /// VMs that may become home: alive and not leaving.
    pub fn candidates(&self, now: Time) -> impl Iterator<Item = &VmId> {
        let others = self.others.values();
        let others =
            others.filter(move |peer| peer.is_alive(now, self.max_silence) && !peer.leaving);
        let own = (!self.own_leaving).then_some(&self.own.id);
        own.into_iter().chain(others.map(|peer| &peer.vm.id))
    }

    /// Hash of the view at `now`. It changes when a VM is added, stops sending
    /// heartbeats, restarts, starts to leave or changes its forwarding address. It does
    /// not depend on the order in which the map yields the VMs.
    pub fn state_hash(&self, now: Time) -> u64 {
        let hasher = rustc_hash::FxBuildHasher;
        let hash_peer = |peer: &PeerVm| {
            let alive = peer.is_alive(now, self.max_silence);
            hasher.hash_one((&peer.vm.id, peer.incarnation, alive, peer.leaving, peer.vm.forward))
        };
        let others = self.others.values().map(hash_peer).fold(0, u64::wrapping_add);
        others.wrapping_add(hasher.hash_one(self.own_leaving))
    }

    /// Looks up a VM; `None` if it is not known.
    pub fn get(&self, vm: &VmId) -> Option<&Vm> {
        if *vm == self.own.id {
            return Some(&self.own);
        }
        self.others.get(vm).map(|peer| &peer.vm)
    }

    /// Last known incarnation of the daemon on a VM; `None` if the VM is not known.
    pub fn incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        if *vm == self.own.id {
            return Some(self.own_incarnation);
        }
        self.others.get(vm).map(|peer| peer.incarnation)
    }

    /// All other known VMs, alive or not.
    pub fn others(&self) -> impl Iterator<Item = &Vm> {
        self.others.values().map(|peer| &peer.vm)
    }
}

impl PeerVm {
    fn new(vm: Vm) -> PeerVm {
        PeerVm { vm, incarnation: Incarnation::default(), last_heartbeat: None, leaving: false }
    }

    fn is_alive(&self, now: Time, max_silence: Span) -> bool {
        self.last_heartbeat.is_some_and(|at| now.since(at) <= max_silence)
    }
}
