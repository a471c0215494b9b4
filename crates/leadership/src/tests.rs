use base::{MemberId, Position, Span, Term, Time};

use crate::{Action, Election, ElectionConfig, Event, FenceReply, LeadershipRecord};

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn member(name: &str) -> MemberId {
    MemberId::new(name)
}

/// A daemon that knows of `m0` as primary of term 1.
fn change() -> Election {
    let members = ["m0", "m1", "m2"].map(member).to_vec();
    let mut change = Election::new(ElectionConfig::new("d1".to_owned(), members));
    let record = LeadershipRecord {
        version: 1,
        term: Term::new(1),
        primary: Some(member("m0")),
        attempt: String::new(),
    };
    feed(&mut change, 0, Event::Record(record));
    change
}

/// What a change does on an event, notes apart.
fn feed(change: &mut Election, millis: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    change.handle(at(millis), event, &mut out);
    out.retain(|action| !matches!(action, Action::LogDecision { .. }));
    out
}

fn fenced(name: &str, term: u64, position: (u64, u64)) -> Event {
    let position = Position::new(position.0, position.1);
    Event::Fenced(FenceReply { member: member(name), term: Term::new(term), position })
}

fn suspected() -> Event {
    Event::Suspected { term: Term::new(1) }
}

fn promote(name: &str, term: u64) -> Action {
    Action::Promote { member: member(name), term: Term::new(term) }
}

/// Goes on until the members of term 2 are asked to accept it.
fn until_fencing(change: &mut Election) {
    feed(change, 500, suspected());
    feed(change, 510, Event::ReachabilityChecked { reachable: Some(false) });
    let actions = feed(change, 520, Event::Written { version: 2 });
    assert!(actions.contains(&Action::Fence { term: Term::new(2) }), "{actions:?}");
}

#[test]
fn a_silent_primary_is_replaced_by_the_furthest_of_a_majority() {
    let mut change = change();
    until_fencing(&mut change);
    assert_eq!(feed(&mut change, 530, fenced("m1", 2, (1, 7))), vec![]);
    assert_eq!(feed(&mut change, 531, fenced("m2", 2, (1, 9))), vec![]);
    assert_eq!(feed(&mut change, 625, Event::Tick), vec![promote("m2", 2)]);
    let done = Event::Promoted { member: member("m2"), term: Term::new(2), done: true };
    let actions = feed(&mut change, 630, done);
    assert!(matches!(&actions[..], [Action::Write { expected: 2, .. }]), "{actions:?}");
    let actions = feed(&mut change, 640, Event::Written { version: 3 });
    let adopt = Action::SetPrimary { term: Term::new(2), primary: Some(member("m2")) };
    assert_eq!(actions, vec![adopt]);
}

#[test]
fn a_minority_is_never_enough() {
    let mut change = change();
    until_fencing(&mut change);
    feed(&mut change, 530, fenced("m1", 2, (1, 9)));
    let actions = feed(&mut change, 60_000, Event::Tick);
    assert_eq!(actions, vec![Action::Fence { term: Term::new(2) }]);
}

#[test]
fn the_same_member_does_not_count_twice() {
    let mut change = change();
    until_fencing(&mut change);
    feed(&mut change, 530, fenced("m1", 2, (1, 9)));
    feed(&mut change, 531, fenced("m1", 2, (1, 9)));
    assert_eq!(feed(&mut change, 700, Event::Tick), vec![]);
}

#[test]
fn a_daemon_that_is_cut_off_itself_keeps_the_primary() {
    let mut change = change();
    let ask = Action::CheckReachability { primary: member("m0") };
    assert_eq!(feed(&mut change, 500, suspected()), vec![ask]);
    assert_eq!(
        feed(&mut change, 510, Event::ReachabilityChecked { reachable: Some(true) }),
        vec![]
    );
    assert!(change.is_idle());
}

#[test]
fn a_lost_reply_is_settled_by_reading_the_own_attempt_back() {
    let mut change = change();
    feed(&mut change, 500, suspected());
    let actions = feed(&mut change, 510, Event::ReachabilityChecked { reachable: None });
    let [Action::Write { record, .. }] = &actions[..] else { panic!("{actions:?}") };
    let written = LeadershipRecord { version: 2, ..record.clone() };
    assert_eq!(feed(&mut change, 520, Event::WriteUnknown), vec![Action::Read]);
    let actions = feed(&mut change, 530, Event::Record(written));
    assert!(actions.contains(&Action::Fence { term: Term::new(2) }), "{actions:?}");
}

#[test]
fn a_write_that_did_not_come_about_is_written_again() {
    let mut change = change();
    feed(&mut change, 500, suspected());
    feed(&mut change, 510, Event::ReachabilityChecked { reachable: None });
    feed(&mut change, 520, Event::WriteUnknown);
    let same = LeadershipRecord { version: 1, term: Term::new(1), ..LeadershipRecord::default() };
    let actions = feed(&mut change, 530, Event::Record(same));
    assert!(matches!(&actions[..], [Action::Write { expected: 1, .. }]), "{actions:?}");
}

#[test]
fn a_faster_daemon_is_followed() {
    let mut change = change();
    feed(&mut change, 500, suspected());
    feed(&mut change, 510, Event::ReachabilityChecked { reachable: None });
    let other = LeadershipRecord {
        version: 2,
        term: Term::new(2),
        primary: None,
        attempt: "d2#1".to_owned(),
    };
    let actions = feed(&mut change, 520, Event::WriteConflict(other));
    assert_eq!(actions, vec![Action::SetPrimary { term: Term::new(2), primary: None }]);
    assert!(change.is_idle());
}

#[test]
fn an_abandoned_change_is_carried_on_under_a_higher_term() {
    let mut change = change();
    let other = LeadershipRecord {
        version: 2,
        term: Term::new(2),
        primary: None,
        attempt: "d2#1".to_owned(),
    };
    feed(&mut change, 520, Event::Record(other));
    assert_eq!(feed(&mut change, 2_019, Event::Tick), vec![]);
    let actions = feed(&mut change, 2_020, Event::Tick);
    let [Action::Write { expected: 2, record }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!((record.term, record.primary.as_ref()), (Term::new(3), None));
}

#[test]
fn a_member_under_a_higher_term_stops_the_attempt() {
    let mut change = change();
    until_fencing(&mut change);
    assert_eq!(feed(&mut change, 530, fenced("m1", 3, (1, 9))), vec![Action::Read]);
    feed(&mut change, 531, fenced("m2", 2, (1, 9)));
    assert_eq!(feed(&mut change, 700, Event::Tick), vec![], "no promotion under term 2");
}

#[test]
fn while_the_platform_is_silent_the_attempt_waits() {
    let mut change = change();
    feed(&mut change, 500, suspected());
    feed(&mut change, 510, Event::ReachabilityChecked { reachable: None });
    feed(&mut change, 520, Event::WriteUnknown);
    assert_eq!(feed(&mut change, 530, Event::ReadFailed), vec![]);
    assert_eq!(feed(&mut change, 1_030, Event::Tick), vec![Action::Read]);
}

#[test]
fn a_new_home_takes_the_reign_over_and_keeps_the_primary() {
    let mut change = change();
    let actions = feed(&mut change, 500, Event::OwnershipRequired);
    let [Action::Write { expected: 1, record }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(record.term, Term::new(2));
    feed(&mut change, 510, Event::Written { version: 2 });
    for name in ["m2", "m1", "m0"] {
        let actions = feed(&mut change, 520, fenced(name, 2, (1, 9)));
        if name == "m0" {
            assert_eq!(actions, vec![promote("m0", 2)], "the same primary among equals");
        }
    }
    assert!(!change.owns());
    let done = Event::Promoted { member: member("m0"), term: Term::new(2), done: true };
    feed(&mut change, 530, done);
    feed(&mut change, 540, Event::Written { version: 3 });
    assert!(change.owns());
    assert_eq!(feed(&mut change, 550, Event::Tick), vec![]);
}
