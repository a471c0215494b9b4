use std::collections::BTreeMap;

use base::{GroupId, Span, Time, VmId};

use crate::{
    claim::Claim, home_action::HomeAction, place::Place, rendezvous, takeover::Takeover, vms::Vms,
};

/// How long the record of a requested claim is awaited before the claim is requested
/// again. The outcome of the write is not reported; only the record shows it.
const CLAIM_RETRY_INTERVAL: Span = Span::from_millis(500);

/// Which daemon is the [home](crate) of each group, as far as this daemon knows.
#[derive(Debug)]
pub struct Homes {
    cfg: HomesConfig,
    /// Newest era of the store that is known.
    era: u64,
    groups: BTreeMap<GroupId, Group>,
    /// View of the VMs at the last decision, as [`Vms::state_hash`], and whether the
    /// startup delay was over.
    last_view: Option<(u64, bool)>,
}

/// Settings of [`Homes`].
#[derive(Clone, Copy, Debug)]
pub struct HomesConfig {
    /// Time after the confirmation of a claim for which its holder may rely on the state of
    /// the group that it keeps in memory, above all the callers' write positions. A daemon
    /// that takes over from a home that may still be running relies on its own state only
    /// when this time has passed.
    pub exclusivity_period: Span,
    /// How long a daemon waits after its start, to receive the heartbeats of the others,
    /// before it claims a group or accepts requests for one that no live daemon holds.
    pub startup_delay: Span,
}

#[derive(Debug, Default)]
struct Group {
    claim: Claim,
    /// The claim that `claim` replaced; `None` if this daemon has not seen it.
    previous: Option<Claim>,
    /// Whether this daemon has started to hand the group over.
    handing_over: bool,
    place: Option<Place>,
    /// When this daemon last requested that a claim be written; `None` once a newer record
    /// has been seen.
    claim_requested_at: Option<Time>,
    /// Whether this daemon held the claim at the last decision. It issues
    /// [`HomeAction::BecameHome`] when this becomes true.
    became_home: bool,
    /// Whether the group need not be looked at until its claim or the VMs change.
    stable: bool,
}

impl Homes {
    /// Creates an empty set of groups.
    pub fn new(cfg: HomesConfig) -> Homes {
        Homes { cfg, era: 0, groups: BTreeMap::new(), last_view: None }
    }

    /// Adds a group without a claim, unless it is known already.
    pub fn add(&mut self, group: &GroupId) {
        self.groups.entry(group.clone()).or_default();
    }

    /// Records the store's era. Claims of earlier eras have ended: the store has come back from an
    /// older copy, which may lack later ones.
    pub fn observe_era(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        for known in self.groups.values_mut() {
            known.claim_requested_at = None;
            known.handing_over = false;
            known.stable = false;
        }
    }

    /// Stores the platform's record of a claim, unless the same or a later version is known.
    pub fn observe_claim(&mut self, group: &GroupId, claim: Claim) {
        let known = self.groups.entry(group.clone()).or_default();
        if claim.version > known.claim.version {
            let previous = std::mem::replace(&mut known.claim, claim);
            known.previous = (previous.version > 0).then_some(previous);
            known.claim_requested_at = None;
            known.handing_over = false;
            known.stable = false;
        }
    }

    /// Extends the exclusive period of the groups that this daemon is home of: all claims
    /// known here were current at `asked_at`, the time at which the platform was asked for
    /// them. The period is counted from then, because a claim may have changed while the
    /// answer was on its way.
    pub fn confirmed(&self, vms: &Vms, asked_at: Time, out: &mut Vec<HomeAction>) {
        let until = asked_at + self.cfg.exclusivity_period;
        for (group, known) in &self.groups {
            if known.became_home && !known.handing_over && is_own(&known.claim, vms, self.era) {
                out.push(HomeAction::Exclusive { group: group.clone(), until });
            }
        }
    }

    /// Decides which daemon is the home of each group now. While the view of the VMs is
    /// unchanged, only groups whose claim has changed, or whose next claim is awaited, are
    /// examined.
    pub fn decide(&mut self, now: Time, vms: &Vms, out: &mut Vec<HomeAction>) {
        let (cfg, era) = (self.cfg, self.era);
        let last_view = Some((vms.state_hash(now), now >= Time::default() + cfg.startup_delay));
        let changed = last_view != self.last_view;
        self.last_view = last_view;
        for (name, group) in &mut self.groups {
            if changed || !group.stable {
                group.stable = decide_group(cfg, era, now, vms, name, group, out);
            }
        }
    }

    /// Number of groups whose claim is held by this daemon.
    pub fn held_count(&self, vms: &Vms) -> usize {
        self.groups.values().filter(|group| is_own(&group.claim, vms, self.era)).count()
    }

    /// Where requests for a group go; `None` if the group is not known or not decided yet.
    pub fn place(&self, group: &GroupId) -> Option<&Place> {
        self.groups.get(group)?.place.as_ref()
    }
}

/// Decides which daemon is the home of a group. Returns whether the group is stable: this
/// daemon neither has to request a claim nor awaits the record of one.
fn decide_group(
    cfg: HomesConfig,
    era: u64,
    now: Time,
    vms: &Vms,
    name: &GroupId,
    group: &mut Group,
    out: &mut Vec<HomeAction>,
) -> bool {
    let order = rendezvous::preference_order(name, vms.candidates(now));
    let preferred = order.first().map(|vm| (*vm).clone());
    let may_claim = now >= Time::default() + cfg.startup_delay;
    let claiming =
        may_claim && claim_or_hand_over(era, now, vms, name, group, preferred.as_ref(), out);
    let place = current_place(cfg, era, now, vms, group, preferred.as_ref());
    if group.place.as_ref() != Some(&place) {
        group.place = Some(place.clone());
        out.push(HomeAction::Route { group: name.clone(), place });
    }
    let holds = is_own(&group.claim, vms, era);
    if holds && !group.became_home {
        let exclusive_from = exclusive_from(cfg, now, vms, group);
        let takeover = takeover(&group.claim);
        out.push(HomeAction::BecameHome { group: name.clone(), exclusive_from, takeover });
    }
    group.became_home = holds;
    !claiming
}

/// Claims the group for this daemon, or hands it over to the preferred one. Returns
/// whether a claim has to be requested or its record is awaited.
fn claim_or_hand_over(
    era: u64,
    now: Time,
    vms: &Vms,
    name: &GroupId,
    group: &mut Group,
    preferred: Option<&VmId>,
    out: &mut Vec<HomeAction>,
) -> bool {
    let Some(preferred) = preferred else { return false };
    let own = &vms.own().id;
    let holds = is_own(&group.claim, vms, era);
    let unheld = group.claim.era != era
        || !vms.is_alive(now, &group.claim.vm)
        || !vms.may_be_running(&group.claim.vm, group.claim.incarnation);
    let acts = (preferred == own && !holds && unheld) || (preferred != own && holds);
    let requested_recently =
        group.claim_requested_at.is_some_and(|at| now.since(at) < CLAIM_RETRY_INTERVAL);
    if !acts || requested_recently {
        return acts;
    }
    let Some(incarnation) = vms.incarnation(preferred) else { return true };
    group.claim_requested_at = Some(now);
    if holds {
        group.handing_over = true;
        out.push(HomeAction::HandoverStarted { group: name.clone() });
    }
    out.push(HomeAction::Claim {
        group: name.clone(),
        version: group.claim.version,
        number: group.claim.number + 1,
        vm: preferred.clone(),
        incarnation,
        era,
        handed_over: holds,
    });
    true
}

/// Chooses where requests go: to the holder of the claim while it sends heartbeats, otherwise
/// to the VM that should claim next. Correctness does not depend on this choice, because the
/// members protect the data against two homes that act at the same time, by the terms that
/// they accept (see the crate `leadership`).
fn current_place(
    cfg: HomesConfig,
    era: u64,
    now: Time,
    vms: &Vms,
    group: &Group,
    preferred: Option<&VmId>,
) -> Place {
    let own = &vms.own().id;
    if is_own(&group.claim, vms, era) {
        return Place::Here;
    }
    let holder = &group.claim.vm;
    let holder_serves = holder != own
        && group.claim.era == era
        && vms.is_alive(now, holder)
        && vms.may_be_running(holder, group.claim.incarnation);
    let target = if holder_serves { Some(holder) } else { preferred };
    match target {
        Some(vm) if vm == own && now < Time::default() + cfg.startup_delay => Place::Nowhere,
        Some(vm) if vm == own => Place::Here,
        Some(vm) => vms
            .get(vm)
            .map_or(Place::Nowhere, |vm| Place::There { vm: vm.id.clone(), forward: vm.forward }),
        None => Place::Nowhere,
    }
}

/// Time from which no other daemon relies on its memory of the group. This is now if there
/// was no previous home, if its process has ended, or if it handed the group over: it
/// stops relying on its memory before it does so. The previous claim is known only if it is of the
/// same era of the store.
fn exclusive_from(cfg: HomesConfig, now: Time, vms: &Vms, group: &Group) -> Time {
    let has_ended = |previous: &Claim| {
        previous.era == group.claim.era && !vms.may_be_running(&previous.vm, previous.incarnation)
    };
    let exclusive_now = takeover(&group.claim) != Takeover::Unclean
        || group.previous.as_ref().is_some_and(has_ended);
    if exclusive_now { now } else { now + cfg.exclusivity_period }
}

fn takeover(claim: &Claim) -> Takeover {
    match claim {
        // In a later era, earlier claims may be lost.
        Claim { number: 0 | 1, era: 0 | 1, .. } => Takeover::Initial,
        Claim { handed_over: true, .. } => Takeover::Graceful,
        _ => Takeover::Unclean,
    }
}

fn is_own(claim: &Claim, vms: &Vms, era: u64) -> bool {
    claim.version > 0
        && claim.era == era
        && claim.vm == vms.own().id
        && claim.incarnation == vms.own_incarnation()
}
