use base::{FastMap, GroupId, Span, Time, VmId, Zone};

use crate::{
    Claim, HomeAction, Homes, HomesConfig, Incarnation, Place, Takeover, Vm, Vms, preference_order,
};

const MAX_SILENCE: Span = Span::from_millis(1_000);
const CFG: HomesConfig = HomesConfig {
    exclusivity_period: Span::from_millis(2_000),
    startup_delay: Span::from_millis(1_000),
};

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn vm(name: &str) -> Vm {
    let any = ([127, 0, 0, 1], 1).into();
    Vm { id: VmId::new(name), zone: Zone::new("z"), control: any, forward: any }
}

/// The view of VM `own` among `a`, `b` and `c`. The others sent heartbeats at 1500 ms.
fn view(own: &str) -> Vms {
    let mut vms = Vms::new(vm(own), Incarnation(1), MAX_SILENCE);
    for other in ["a", "b", "c"].into_iter().filter(|other| *other != own) {
        vms.record_heartbeat(at(1_500), vm(other), Incarnation(1), false);
    }
    vms
}

fn claim(version: u64, vm: &str, incarnation: u64) -> Claim {
    Claim {
        number: version,
        version,
        vm: VmId::new(vm),
        incarnation: Incarnation(incarnation),
        era: 0,
        handed_over: false,
    }
}

/// VMs `a`, `b` and `c` in the order in which they are preferred as home of the group.
fn preferred(group: &GroupId) -> Vec<String> {
    let vms = ["a", "b", "c"].map(VmId::new);
    preference_order(group, &vms).into_iter().map(ToString::to_string).collect()
}

fn decide(homes: &mut Homes, vms: &Vms, millis: u64) -> Vec<HomeAction> {
    let mut out = Vec::new();
    homes.decide(at(millis), vms, &mut out);
    out
}

fn claims(actions: &[HomeAction]) -> Vec<(String, u64, bool)> {
    let claims = actions.iter().filter_map(|action| match action {
        HomeAction::Claim { vm, version, handed_over, .. } => {
            Some((vm.to_string(), *version, *handed_over))
        }
        _ => None,
    });
    claims.collect()
}

#[test]
fn groups_spread_evenly_and_only_those_of_a_lost_vm_move() {
    let vms: Vec<VmId> = (0..6).map(|number| VmId::new(format!("entry-{number}"))).collect();
    let mut counts: FastMap<VmId, u32> = FastMap::default();
    for number in 0..6_000 {
        let group = GroupId::new(format!("group-{number}"));
        let before = preference_order(&group, &vms);
        *counts.entry(before[0].clone()).or_default() += 1;
        let after = preference_order(&group, &vms[1..]);
        if before[0] != &vms[0] {
            assert_eq!(before[0], after[0]);
        } else {
            assert_eq!(before[1], after[0], "the second in the order takes over");
        }
    }
    assert!(counts.values().all(|&count| (850..1_150).contains(&count)), "{counts:?}");
}

#[test]
fn the_preferred_vm_claims_an_unclaimed_group_and_the_others_wait() {
    let group = GroupId::new("g");
    let preferred = preferred(&group);
    for own in ["a", "b", "c"] {
        let mut homes = Homes::new(CFG);
        homes.add(&group);
        let actions = decide(&mut homes, &view(own), 2_000);
        let expected =
            if own == preferred[0] { vec![(own.to_owned(), 0, false)] } else { Vec::new() };
        assert_eq!(claims(&actions), expected, "{own}");
    }
}

#[test]
fn the_second_vm_takes_over_from_a_silent_home_and_waits_until_its_claim_expires() {
    let group = GroupId::new("g");
    let preferred = preferred(&group);
    let mut vms = view(&preferred[1]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &preferred[0], 1));
    assert_eq!(claims(&decide(&mut homes, &vms, 2_000)), Vec::new());
    assert!(matches!(homes.place(&group), Some(Place::There { .. })));
    let third = vm(&preferred[2]);
    vms.record_heartbeat(at(2_600), third, Incarnation(1), false);
    let actions = decide(&mut homes, &vms, 2_600);
    assert_eq!(claims(&actions), vec![(preferred[1].clone(), 1, false)]);
    homes.observe_claim(&group, claim(2, &preferred[1], 1));
    let became_home = became_home(&group, 4_610, Takeover::Unclean);
    assert!(decide(&mut homes, &vms, 2_610).contains(&became_home));
}

fn became_home(group: &GroupId, millis: u64, takeover: Takeover) -> HomeAction {
    HomeAction::BecameHome { group: group.clone(), exclusive_from: at(millis), takeover }
}

#[test]
fn a_home_whose_process_has_ended_is_replaced_without_waiting() {
    let group = GroupId::new("g");
    let preferred = preferred(&group);
    let mut vms = view(&preferred[1]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &preferred[0], 1));
    decide(&mut homes, &vms, 2_000);
    vms.gone(&VmId::new(preferred[0].as_str()));
    decide(&mut homes, &vms, 2_010);
    homes.observe_claim(&group, claim(2, &preferred[1], 1));
    let actions = decide(&mut homes, &vms, 2_020);
    assert!(actions.contains(&became_home(&group, 2_020, Takeover::Unclean)), "{actions:?}");
}

#[test]
fn a_leaving_home_hands_over_and_its_successor_does_not_wait() {
    let group = GroupId::new("g");
    let preferred = preferred(&group);
    let mut vms = view(&preferred[0]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &preferred[0], 1));
    decide(&mut homes, &vms, 2_000);
    vms.set_leaving();
    let actions = decide(&mut homes, &vms, 2_010);
    assert_eq!(claims(&actions), vec![(preferred[1].clone(), 1, true)]);
    assert!(actions.contains(&HomeAction::HandoverStarted { group: group.clone() }));
    assert_eq!(
        homes.place(&group),
        Some(&Place::Here),
        "requests stay here until the claim has changed"
    );
    let mut confirmations = Vec::new();
    homes.confirmed(&vms, at(2_010), &mut confirmations);
    assert_eq!(confirmations, Vec::new(), "a confirmation has no effect during a handover");

    let mut successor = Homes::new(CFG);
    successor.observe_claim(&group, Claim { handed_over: true, ..claim(2, &preferred[1], 1) });
    let actions = decide(&mut successor, &view(&preferred[1]), 2_020);
    assert!(actions.contains(&became_home(&group, 2_020, Takeover::Graceful)), "{actions:?}");
}

#[test]
fn a_restarted_daemon_does_not_adopt_the_claim_of_its_previous_run() {
    let group = GroupId::new("g");
    let preferred = preferred(&group);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(7, &preferred[0], 99));
    let actions = decide(&mut homes, &view(&preferred[0]), 2_000);
    assert_eq!(claims(&actions), vec![(preferred[0].clone(), 7, false)]);
    let mut confirmations = Vec::new();
    homes.confirmed(&view(&preferred[0]), at(2_000), &mut confirmations);
    assert_eq!(confirmations, Vec::new());
}

#[test]
fn exclusivity_is_counted_from_the_time_of_the_request() {
    let group = GroupId::new("g");
    let preferred = preferred(&group);
    let (vms, mut homes) = (view(&preferred[0]), Homes::new(CFG));
    homes.observe_claim(&group, claim(1, &preferred[0], 1));
    decide(&mut homes, &vms, 2_000);
    let mut out = Vec::new();
    homes.confirmed(&vms, at(1_900), &mut out);
    assert_eq!(out, vec![HomeAction::Exclusive { group, until: at(3_900) }]);
}

#[test]
fn a_stable_group_is_decided_again_when_a_vm_or_its_claim_changes() {
    let group = GroupId::new("g");
    let preferred = preferred(&group);
    let mut vms = view(&preferred[0]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &preferred[1], 1));
    let there = decide(&mut homes, &vms, 2_000);
    assert!(matches!(&there[..], [HomeAction::Route { place: Place::There { .. }, .. }]));
    assert_eq!(
        decide(&mut homes, &vms, 2_001),
        vec![],
        "nothing has changed since the last decision"
    );
    vms.gone(&VmId::new(preferred[1].as_str()));
    let actions = decide(&mut homes, &vms, 2_002);
    assert_eq!(claims(&actions), vec![(preferred[0].clone(), 1, false)]);
    assert_eq!(
        claims(&decide(&mut homes, &vms, 2_003)),
        vec![],
        "the claim is not requested again while its record is awaited"
    );
    let again = decide(&mut homes, &vms, 2_600);
    assert_eq!(
        claims(&again),
        vec![(preferred[0].clone(), 1, false)],
        "a claim without effect is repeated"
    );
}

/// The store may have lost the claim of a home that still relies on its memory.
#[test]
fn a_claim_of_an_earlier_era_of_the_store_has_ended() {
    let group = GroupId::new("g");
    let order = preferred(&group);
    let vms = view(&order[0]);
    let own = Claim { era: 1, ..claim(1, &order[0], 1) };
    let mut homes = Homes::new(CFG);
    homes.observe_era(1);
    homes.add(&group);
    homes.observe_claim(&group, own.clone());
    decide(&mut homes, &vms, 1_500);
    assert_eq!(homes.held_count(&vms), 1);
    homes.observe_era(2);
    homes.observe_claim(&group, Claim { version: 11, ..own.clone() });
    assert_eq!(homes.held_count(&vms), 0);
    let mut out = Vec::new();
    homes.confirmed(&vms, at(1_600), &mut out);
    assert_eq!(out, []);
    assert_eq!(claims(&decide(&mut homes, &vms, 1_600)), [(order[0].clone(), 11, false)]);
    // Even the first claim that it knows of may not be the first one.
    homes.observe_claim(&group, Claim { version: 12, era: 2, ..own });
    let became = decide(&mut homes, &vms, 1_700).into_iter().find_map(|action| match action {
        HomeAction::BecameHome { exclusive_from, takeover, .. } => Some((exclusive_from, takeover)),
        _ => None,
    });
    assert_eq!(became, Some((at(1_700) + CFG.exclusivity_period, Takeover::Unclean)));
}
