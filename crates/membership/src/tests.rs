use base::{FastMap, GroupId, Span, Time, VmId, Zone};

use crate::{
    Claim, HomeAction, Homes, HomesConfig, Incarnation, Place, Takeover, Vm, Vms, preference_order,
};

const PATIENCE: Span = Span::from_millis(1_000);
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

/// A view of VM `own` among `a`, `b` and `c`, heard of at 1500 ms.
fn view(own: &str) -> Vms {
    let mut vms = Vms::new(vm(own), Incarnation(1), PATIENCE);
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
        handed_over: false,
    }
}

/// The group's order of homes among `a`, `b` and `c`.
fn wanted(group: &GroupId) -> Vec<String> {
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
            assert_eq!(before[1], after[0], "the runner-up takes over");
        }
    }
    assert!(counts.values().all(|&count| (850..1_150).contains(&count)), "{counts:?}");
}

#[test]
fn the_wanted_vm_claims_a_free_group_and_the_others_wait() {
    let group = GroupId::new("g");
    let wanted = wanted(&group);
    for own in ["a", "b", "c"] {
        let mut homes = Homes::new(CFG);
        homes.add(&group);
        let actions = decide(&mut homes, &view(own), 2_000);
        let expected = if own == wanted[0] { vec![(own.to_owned(), 0, false)] } else { Vec::new() };
        assert_eq!(claims(&actions), expected, "{own}");
    }
}

#[test]
fn the_runner_up_takes_over_from_a_silent_home_and_waits_for_its_trust_to_lapse() {
    let group = GroupId::new("g");
    let wanted = wanted(&group);
    let mut vms = view(&wanted[1]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &wanted[0], 1));
    assert_eq!(claims(&decide(&mut homes, &vms, 2_000)), Vec::new());
    assert!(matches!(homes.place(&group), Some(Place::There { .. })));
    let third = vm(&wanted[2]);
    vms.record_heartbeat(at(2_600), third, Incarnation(1), false);
    let actions = decide(&mut homes, &vms, 2_600);
    assert_eq!(claims(&actions), vec![(wanted[1].clone(), 1, false)]);
    homes.observe_claim(&group, claim(2, &wanted[1], 1));
    let begin = begin(&group, 4_610, Takeover::Unclean);
    assert!(decide(&mut homes, &vms, 2_610).contains(&begin));
}

fn begin(group: &GroupId, millis: u64, takeover: Takeover) -> HomeAction {
    HomeAction::BecameHome { group: group.clone(), exclusive_from: at(millis), takeover }
}

#[test]
fn a_home_whose_process_has_ended_is_succeeded_without_waiting() {
    let group = GroupId::new("g");
    let wanted = wanted(&group);
    let mut vms = view(&wanted[1]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &wanted[0], 1));
    decide(&mut homes, &vms, 2_000);
    vms.gone(&VmId::new(wanted[0].as_str()));
    decide(&mut homes, &vms, 2_010);
    homes.observe_claim(&group, claim(2, &wanted[1], 1));
    let actions = decide(&mut homes, &vms, 2_020);
    assert!(actions.contains(&begin(&group, 2_020, Takeover::Unclean)), "{actions:?}");
}

#[test]
fn a_leaving_home_hands_over_and_its_successor_need_not_wait() {
    let group = GroupId::new("g");
    let wanted = wanted(&group);
    let mut vms = view(&wanted[0]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &wanted[0], 1));
    decide(&mut homes, &vms, 2_000);
    vms.set_leaving();
    let actions = decide(&mut homes, &vms, 2_010);
    assert_eq!(claims(&actions), vec![(wanted[1].clone(), 1, true)]);
    assert!(actions.contains(&HomeAction::HandoverStarted { group: group.clone() }));
    assert_eq!(homes.place(&group), Some(&Place::Here), "until the claim has changed");
    let mut trusted = Vec::new();
    homes.confirmed(&vms, at(2_010), &mut trusted);
    assert_eq!(trusted, Vec::new(), "memory is not trusted any more");

    let mut successor = Homes::new(CFG);
    successor.observe_claim(&group, Claim { handed_over: true, ..claim(2, &wanted[1], 1) });
    let actions = decide(&mut successor, &view(&wanted[1]), 2_020);
    assert!(actions.contains(&begin(&group, 2_020, Takeover::Graceful)), "{actions:?}");
}

#[test]
fn a_restarted_daemon_does_not_take_its_old_claim_for_its_own() {
    let group = GroupId::new("g");
    let wanted = wanted(&group);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(7, &wanted[0], 99));
    let actions = decide(&mut homes, &view(&wanted[0]), 2_000);
    assert_eq!(claims(&actions), vec![(wanted[0].clone(), 7, false)]);
    let mut trusted = Vec::new();
    homes.confirmed(&view(&wanted[0]), at(2_000), &mut trusted);
    assert_eq!(trusted, Vec::new());
}

#[test]
fn trust_counts_from_before_the_question() {
    let group = GroupId::new("g");
    let wanted = wanted(&group);
    let (vms, mut homes) = (view(&wanted[0]), Homes::new(CFG));
    homes.observe_claim(&group, claim(1, &wanted[0], 1));
    decide(&mut homes, &vms, 2_000);
    let mut out = Vec::new();
    homes.confirmed(&vms, at(1_900), &mut out);
    assert_eq!(out, vec![HomeAction::Exclusive { group, until: at(3_900) }]);
}

#[test]
fn a_settled_group_is_decided_again_when_a_vm_or_its_claim_changes() {
    let group = GroupId::new("g");
    let wanted = wanted(&group);
    let mut vms = view(&wanted[0]);
    let mut homes = Homes::new(CFG);
    homes.observe_claim(&group, claim(1, &wanted[1], 1));
    let there = decide(&mut homes, &vms, 2_000);
    assert!(matches!(&there[..], [HomeAction::Route { place: Place::There { .. }, .. }]));
    assert_eq!(decide(&mut homes, &vms, 2_001), vec![], "nothing has changed");
    vms.gone(&VmId::new(wanted[1].as_str()));
    let actions = decide(&mut homes, &vms, 2_002);
    assert_eq!(claims(&actions), vec![(wanted[0].clone(), 1, false)]);
    assert_eq!(claims(&decide(&mut homes, &vms, 2_003)), vec![], "a claim is under way");
    let again = decide(&mut homes, &vms, 2_600);
    assert_eq!(claims(&again), vec![(wanted[0].clone(), 1, false)], "it is tried again");
}
