use base::{MemberId, Position, Span, Term, Time, store_version};

use crate::{Action, Election, ElectionConfig, Event, FenceReply, LeadershipRecord};

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn member(name: &str) -> MemberId {
    MemberId::new(name)
}

/// An election whose record names `m0` as primary of term 1.
fn election() -> Election {
    let members = ["m0", "m1", "m2"].map(member).to_vec();
    let mut election = Election::new(ElectionConfig::new("d1".to_owned(), members));
    let record = LeadershipRecord {
        version: 1,
        term: Term::new(1),
        primary: Some(member("m0")),
        attempt: String::new(),
    };
    feed(&mut election, 0, Event::Record(record));
    election
}

/// Processes an event and returns the actions, without those that only log.
fn feed(election: &mut Election, millis: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    election.handle(at(millis), event, &mut out);
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

/// Runs an attempt up to the point where the members are asked to accept term 2.
fn run_until_fencing(election: &mut Election) {
    feed(election, 500, suspected());
    feed(election, 510, Event::ReachabilityChecked { reachable: Some(false) });
    let actions = feed(election, 520, Event::Written { version: 2 });
    assert!(actions.contains(&Action::Fence { term: Term::new(2) }), "{actions:?}");
}

#[test]
fn a_silent_primary_is_replaced_by_the_most_advanced_of_a_majority() {
    let mut election = election();
    run_until_fencing(&mut election);
    assert_eq!(feed(&mut election, 530, fenced("m1", 2, (1, 7))), vec![]);
    assert_eq!(feed(&mut election, 531, fenced("m2", 2, (1, 9))), vec![]);
    assert_eq!(feed(&mut election, 625, Event::Tick), vec![promote("m2", 2)]);
    let done = Event::Promoted { member: member("m2"), term: Term::new(2), done: true };
    let actions = feed(&mut election, 630, done);
    assert!(matches!(&actions[..], [Action::Write { expected: 2, .. }]), "{actions:?}");
    let actions = feed(&mut election, 640, Event::Written { version: 3 });
    let set_primary = Action::SetPrimary { term: Term::new(2), primary: Some(member("m2")) };
    assert_eq!(actions, vec![set_primary]);
}

#[test]
fn a_minority_never_promotes() {
    let mut election = election();
    run_until_fencing(&mut election);
    feed(&mut election, 530, fenced("m1", 2, (1, 9)));
    let actions = feed(&mut election, 60_000, Event::Tick);
    assert_eq!(actions, vec![Action::Fence { term: Term::new(2) }]);
}

#[test]
fn the_same_member_does_not_count_twice() {
    let mut election = election();
    run_until_fencing(&mut election);
    feed(&mut election, 530, fenced("m1", 2, (1, 9)));
    feed(&mut election, 531, fenced("m1", 2, (1, 9)));
    assert_eq!(feed(&mut election, 700, Event::Tick), vec![]);
}

#[test]
fn the_primary_is_kept_if_another_daemon_reaches_it() {
    let mut election = election();
    let ask = Action::CheckReachability { primary: member("m0") };
    assert_eq!(feed(&mut election, 500, suspected()), vec![ask]);
    assert_eq!(
        feed(&mut election, 510, Event::ReachabilityChecked { reachable: Some(true) }),
        vec![]
    );
    assert!(election.is_idle());
}

#[test]
fn a_write_with_a_lost_reply_is_confirmed_by_reading_the_record() {
    let mut election = election();
    feed(&mut election, 500, suspected());
    let actions = feed(&mut election, 510, Event::ReachabilityChecked { reachable: None });
    let [Action::Write { record, .. }] = &actions[..] else { panic!("{actions:?}") };
    let written = LeadershipRecord { version: 2, ..record.clone() };
    assert_eq!(feed(&mut election, 520, Event::WriteUnknown), vec![Action::Read]);
    let actions = feed(&mut election, 530, Event::Record(written));
    assert!(actions.contains(&Action::Fence { term: Term::new(2) }), "{actions:?}");
}

#[test]
fn a_write_that_took_no_effect_is_repeated() {
    let mut election = election();
    feed(&mut election, 500, suspected());
    feed(&mut election, 510, Event::ReachabilityChecked { reachable: None });
    feed(&mut election, 520, Event::WriteUnknown);
    let same = LeadershipRecord { version: 1, term: Term::new(1), ..LeadershipRecord::default() };
    let actions = feed(&mut election, 530, Event::Record(same));
    assert!(matches!(&actions[..], [Action::Write { expected: 1, .. }]), "{actions:?}");
}

#[test]
fn the_record_of_a_faster_daemon_is_adopted() {
    let mut election = election();
    feed(&mut election, 500, suspected());
    feed(&mut election, 510, Event::ReachabilityChecked { reachable: None });
    let other = LeadershipRecord {
        version: 2,
        term: Term::new(2),
        primary: None,
        attempt: "d2#1".to_owned(),
    };
    let actions = feed(&mut election, 520, Event::WriteConflict(other));
    assert_eq!(actions, vec![Action::SetPrimary { term: Term::new(2), primary: None }]);
    assert!(election.is_idle());
}

#[test]
fn an_unfinished_election_is_taken_over_under_a_higher_term() {
    let mut election = election();
    let other = LeadershipRecord {
        version: 2,
        term: Term::new(2),
        primary: None,
        attempt: "d2#1".to_owned(),
    };
    feed(&mut election, 520, Event::Record(other));
    assert_eq!(feed(&mut election, 2_019, Event::Tick), vec![]);
    let actions = feed(&mut election, 2_020, Event::Tick);
    let [Action::Write { expected: 2, record }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!((record.term, record.primary.as_ref()), (Term::new(3), None));
}

#[test]
fn a_member_with_a_higher_term_ends_the_attempt() {
    let mut election = election();
    run_until_fencing(&mut election);
    assert_eq!(feed(&mut election, 530, fenced("m1", 3, (1, 9))), vec![Action::Read]);
    feed(&mut election, 531, fenced("m2", 2, (1, 9)));
    assert_eq!(feed(&mut election, 700, Event::Tick), vec![], "no promotion under term 2");
}

#[test]
fn the_attempt_waits_while_the_platform_does_not_answer() {
    let mut election = election();
    feed(&mut election, 500, suspected());
    feed(&mut election, 510, Event::ReachabilityChecked { reachable: None });
    feed(&mut election, 520, Event::WriteUnknown);
    assert_eq!(feed(&mut election, 530, Event::ReadFailed), vec![]);
    assert_eq!(feed(&mut election, 1_030, Event::Tick), vec![Action::Read]);
}

#[test]
fn a_new_home_writes_its_own_record_and_keeps_the_primary() {
    let mut election = election();
    let actions = feed(&mut election, 500, Event::OwnershipRequired);
    let [Action::Write { expected: 1, record }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(record.term, Term::new(2));
    feed(&mut election, 510, Event::Written { version: 2 });
    for name in ["m2", "m1", "m0"] {
        let actions = feed(&mut election, 520, fenced(name, 2, (1, 9)));
        if name == "m0" {
            assert_eq!(actions, vec![promote("m0", 2)], "the last primary among equals");
        }
    }
    assert!(!election.owns());
    let done = Event::Promoted { member: member("m0"), term: Term::new(2), done: true };
    feed(&mut election, 530, done);
    feed(&mut election, 540, Event::Written { version: 3 });
    assert!(election.owns());
    assert_eq!(feed(&mut election, 550, Event::Tick), vec![]);
}

/// The store has lost the record of an attempt under term 2, which another daemon has carried out.
#[test]
fn a_term_is_above_those_whose_records_an_older_copy_lacks() {
    let in_era = |era, number| store_version::in_era(era, number).expect("in range");
    let record = |version, attempt: &str| LeadershipRecord {
        version,
        term: Term::new(1),
        primary: Some(member("m0")),
        attempt: attempt.to_owned(),
    };
    let mut election = election();
    feed(&mut election, 10, Event::Record(record(in_era(1, 5), "d1#1.1")));
    assert!(election.owns());
    feed(&mut election, 20, Event::Record(record(in_era(2, 5), "d1#1.1")));
    assert!(!election.owns(), "a later record may be lost");
    let actions = feed(&mut election, 30, Event::OwnershipRequired);
    let [Action::Write { record, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert!(record.term > Term::new(2), "{record:?}");
}
