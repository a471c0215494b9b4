use std::collections::BTreeMap;

use base::{GroupId, Span, Time, VmId};

use crate::{
    claim::Claim, home_action::HomeAction, place::Place, rendezvous, takeover::Takeover, vms::Vms,
};

const CLAIM_AGAIN: Span = Span::from_millis(500);

/// Which groups are at home where, as this daemon sees it.
#[derive(Debug)]
pub struct Homes {
    cfg: HomesConfig,
    groups: BTreeMap<GroupId, Group>,
    /// View of the VMs at the last decision.
    stamp: Option<(u64, bool)>,
}

/// Settings of [`Homes`].
#[derive(Clone, Copy, Debug)]
pub struct HomesConfig {
    /// Time for which a confirmed claim lets its holder trust its memory.
    pub exclusivity_period: Span,
    /// Time after the start, for hearing of others, before a daemon claims or
    /// acts as home.
    pub startup_delay: Span,
}

#[derive(Debug, Default)]
struct Group {
    claim: Claim,
    /// The claim before, if this daemon has seen it.
    before: Option<Claim>,
    /// Whether this daemon is handing the group over.
    hands_over: bool,
    place: Option<Place>,
    claimed_at: Option<Time>,
    began: bool,
    /// Whether nothing has changed since the last decision, and none is due.
    settled: bool,
}

impl Homes {
    /// No groups yet.
    pub fn new(cfg: HomesConfig) -> Homes {
        Homes { cfg, groups: BTreeMap::new(), stamp: None }
    }

    /// Makes a group known.
    pub fn add(&mut self, group: &GroupId) {
        self.groups.entry(group.clone()).or_default();
    }

    /// Takes in the platform's record of a claim, unless a later one is known.
    pub fn observe_claim(&mut self, group: &GroupId, claim: Claim) {
        let known = self.groups.entry(group.clone()).or_default();
        if claim.version > known.claim.version {
            let before = std::mem::replace(&mut known.claim, claim);
            known.before = (before.version > 0).then_some(before);
            known.claimed_at = None;
            known.hands_over = false;
            known.settled = false;
        }
    }

    /// Takes in that all records known here were in force at `asked_at`.
    pub fn confirmed(&self, vms: &Vms, asked_at: Time, out: &mut Vec<HomeAction>) {
        let until = asked_at + self.cfg.exclusivity_period;
        for (group, known) in &self.groups {
            if known.began && !known.hands_over && is_own(&known.claim, vms) {
                out.push(HomeAction::Exclusive { group: group.clone(), until });
            }
        }
    }

    /// Decides where groups are at home now. Only groups whose claim has changed
    /// are looked at, unless the view of the VMs has changed.
    pub fn decide(&mut self, now: Time, vms: &Vms, out: &mut Vec<HomeAction>) {
        let cfg = self.cfg;
        let stamp = Some((vms.state_hash(now), now >= Time::default() + cfg.startup_delay));
        let changed = stamp != self.stamp;
        self.stamp = stamp;
        for (name, group) in &mut self.groups {
            if changed || !group.settled {
                group.settled = decide_one(cfg, now, vms, name, group, out);
            }
        }
    }

    /// Number of groups whose claim this daemon holds.
    pub fn held_count(&self, vms: &Vms) -> usize {
        self.groups.values().filter(|group| is_own(&group.claim, vms)).count()
    }

    /// Where a group is at home, as far as decided.
    pub fn place(&self, group: &GroupId) -> Option<&Place> {
        self.groups.get(group)?.place.as_ref()
    }
}

/// Decides on one group; whether nothing more is due for it.
fn decide_one(
    cfg: HomesConfig,
    now: Time,
    vms: &Vms,
    name: &GroupId,
    group: &mut Group,
    out: &mut Vec<HomeAction>,
) -> bool {
    let order = rendezvous::preference_order(name, vms.candidates(now));
    let wanted = order.first().map(|vm| (*vm).clone());
    let settled = now >= Time::default() + cfg.startup_delay;
    let claiming = settled && claim(now, vms, name, group, wanted.as_ref(), out);
    let place = place_now(cfg, now, vms, group, wanted.as_ref());
    if group.place.as_ref() != Some(&place) {
        group.place = Some(place.clone());
        out.push(HomeAction::Route { group: name.clone(), place });
    }
    let holds = is_own(&group.claim, vms);
    if holds && !group.began {
        let exclusive_from = exclusive_from(cfg, now, vms, group);
        let takeover = takeover(&group.claim);
        out.push(HomeAction::BecameHome { group: name.clone(), exclusive_from, takeover });
    }
    group.began = holds;
    !claiming
}

/// Claims the group for this daemon, or hands it over; whether a claim is due or
/// under way.
fn claim(
    now: Time,
    vms: &Vms,
    name: &GroupId,
    group: &mut Group,
    wanted: Option<&VmId>,
    out: &mut Vec<HomeAction>,
) -> bool {
    let Some(wanted) = wanted else { return false };
    let own = &vms.own().id;
    let holds = is_own(&group.claim, vms);
    let orphaned = !vms.is_alive(now, &group.claim.vm)
        || !vms.may_be_running(&group.claim.vm, group.claim.incarnation);
    let acts = (wanted == own && !holds && orphaned) || (wanted != own && holds);
    let lately = group.claimed_at.is_some_and(|at| now.since(at) < CLAIM_AGAIN);
    if !acts || lately {
        return acts;
    }
    let Some(incarnation) = vms.incarnation(wanted) else { return true };
    group.claimed_at = Some(now);
    if holds {
        group.hands_over = true;
        out.push(HomeAction::HandoverStarted { group: name.clone() });
    }
    out.push(HomeAction::Claim {
        group: name.clone(),
        version: group.claim.version,
        number: group.claim.number + 1,
        vm: wanted.clone(),
        incarnation,
        handed_over: holds,
    });
    true
}

/// Where requests go: to the holder of the claim while it answers, else to the
/// VM that should claim next. Safety does not rest on it: the members do not let
/// two homes harm each other.
fn place_now(
    cfg: HomesConfig,
    now: Time,
    vms: &Vms,
    group: &Group,
    wanted: Option<&VmId>,
) -> Place {
    let own = &vms.own().id;
    if is_own(&group.claim, vms) {
        return Place::Here;
    }
    let holder = &group.claim.vm;
    let holder_serves = holder != own
        && vms.is_alive(now, holder)
        && vms.may_be_running(holder, group.claim.incarnation);
    let target = if holder_serves { Some(holder) } else { wanted };
    match target {
        Some(vm) if vm == own && now < Time::default() + cfg.startup_delay => Place::Nowhere,
        Some(vm) if vm == own => Place::Here,
        Some(vm) => vms
            .get(vm)
            .map_or(Place::Nowhere, |vm| Place::There { vm: vm.id.clone(), forward: vm.forward }),
        None => Place::Nowhere,
    }
}

/// From when on no other daemon trusts its memory of the group. A home that
/// hands over stops to trust its memory first.
fn exclusive_from(cfg: HomesConfig, now: Time, vms: &Vms, group: &Group) -> Time {
    let ended = |before: &Claim| !vms.may_be_running(&before.vm, before.incarnation);
    let alone =
        takeover(&group.claim) != Takeover::Unclean || group.before.as_ref().is_some_and(ended);
    if alone { now } else { now + cfg.exclusivity_period }
}

fn takeover(claim: &Claim) -> Takeover {
    match claim {
        Claim { number: 0 | 1, .. } => Takeover::Initial,
        Claim { handed_over: true, .. } => Takeover::Graceful,
        _ => Takeover::Unclean,
    }
}

fn is_own(claim: &Claim, vms: &Vms) -> bool {
    claim.version > 0 && claim.vm == vms.own().id && claim.incarnation == vms.own_incarnation()
}
