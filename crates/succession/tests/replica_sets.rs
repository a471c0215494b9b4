//! Record of the members whose logs may hold acknowledged commits: which members stay in it, and what
//! removes them.

use std::net::SocketAddr;

use base::{Position, Span, Time};
use succession::{
    Candidate, CandidateStatus, Replica, ReplicaSet, ReplicaSetAction, ReplicaSetRecord,
    ReplicaSetView,
};

struct Case {
    replica_set: ReplicaSet,
    now: Time,
    record: Option<ReplicaSetRecord>,
    is_complete: bool,
    members: Vec<Candidate>,
    primary: Option<&'static str>,
    sync_replicas: u32,
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(id: &str, port: u16) -> Candidate {
    Candidate {
        id: id.to_owned(),
        addr: addr(port),
        leaving: false,
        registers_as_primary: false,
        status: None,
    }
}

impl Case {
    /// A primary and two replicas, whose record is complete.
    fn new() -> Case {
        let members = vec![member("p", 1), member("r1", 2), member("r2", 3)];
        let replica = |it: &Candidate| (it.id.clone(), Replica { addr: it.addr, leaving: false });
        let record = ReplicaSetRecord {
            members: members.iter().map(replica).collect(),
            ..ReplicaSetRecord::default()
        };
        Case {
            replica_set: ReplicaSet::default(),
            now: Time::from_micros(1_000_000),
            record: Some(record),
            is_complete: true,
            members,
            primary: Some("p"),
            sync_replicas: 1,
        }
    }

    /// Lets time pass while these members answer with the ends of their logs, and writes the record as
    /// it is asked for.
    fn run(&mut self, limit: Span, answers: &[(&str, u64)]) {
        let end = self.now + limit;
        while self.now < end {
            self.now = self.now + Span::from_millis(50);
            let view = ReplicaSetView {
                record: self.record.as_ref(),
                is_complete: self.is_complete,
                members: &self.members,
                primary: self.primary,
                sync_replicas: self.sync_replicas,
            };
            match self.replica_set.tick(self.now, &view) {
                Some(ReplicaSetAction::Write(record)) => {
                    (self.record, self.is_complete) = (Some(record), true);
                }
                Some(ReplicaSetAction::QueryStatus) => self.answer(answers),
                None => {}
            }
        }
    }

    fn answer(&mut self, answers: &[(&str, u64)]) {
        for (id, index) in answers {
            let status = CandidateStatus {
                asked_at: self.now,
                primary: Some(*id) == self.primary,
                received: Position::new(1, *index),
                term: 1,
            };
            let member = self.members.iter_mut().find(|member| member.id == *id);
            member.expect("the member is listed").status = Some(status);
        }
    }

    fn recorded(&self) -> Vec<&str> {
        let record = self.record.as_ref().filter(|_| self.is_complete);
        record.into_iter().flat_map(|record| record.members.keys().map(String::as_str)).collect()
    }
}

const LONG: Span = Span::from_millis(600_000);
const SHORT: Span = Span::from_millis(2_000);

/// Guards against forgetting a member that comes back with commits, or confirms them without reaching
/// the store (review/6).
#[test]
fn a_member_that_is_only_silent_stays_recorded() {
    let mut case = Case::new();
    case.members.pop();
    case.run(LONG, &[("p", 40), ("r1", 40)]);
    assert_eq!(case.recorded(), ["p", "r1", "r2"]);
}

#[test]
fn a_new_member_is_recorded_at_once_also_during_a_failover() {
    let mut case = Case { primary: None, ..Case::new() };
    case.members.push(member("r3", 4));
    case.run(Span::from_millis(50), &[]);
    assert_eq!(case.recorded(), ["p", "r1", "r2", "r3"]);
}

/// Guards against a planned replacement of members that makes every later failover wait.
#[test]
fn a_member_that_has_drained_is_removed_once_others_hold_its_commits() {
    let mut case = Case::new();
    case.members[2].leaving = true;
    case.members.push(member("r3", 4));
    case.run(Span::from_millis(50), &[]);
    case.members.remove(2);
    case.run(SHORT, &[("p", 40), ("r1", 39), ("r3", 10)]);
    assert_eq!(case.recorded(), ["p", "r1", "r2", "r3"], "no other replica has its last commit");
    case.run(SHORT, &[("p", 60), ("r1", 39), ("r3", 40)]);
    assert_eq!(case.recorded(), ["p", "r1", "r3"], "the commits after its end do not count");
}

/// Guards against removing a member whose commits the primary has and no listed replica does.
#[test]
fn a_member_whose_address_another_has_taken_is_removed_once_others_hold_its_commits() {
    let mut case = Case::new();
    case.members.pop();
    case.members.push(member("r3", 3));
    case.run(LONG, &[("p", 40), ("r1", 20), ("r3", 0)]);
    assert_eq!(case.recorded(), ["p", "r1", "r2", "r3"]);
    case.run(SHORT, &[("p", 40), ("r1", 20), ("r3", 40)]);
    assert_eq!(case.recorded(), ["p", "r1", "r3"]);
}

/// Guards against a record that names only those members that a daemon sees at its start, when there is
/// no record or the store may have lost it.
#[test]
fn an_incomplete_record_is_completed_once_enough_listed_members_hold_all_commits() {
    for record in [None, Case::new().record] {
        let mut case = Case { record, is_complete: false, ..Case::new() };
        case.members.pop();
        case.run(LONG, &[("p", 40), ("r1", 30)]);
        assert_eq!(case.recorded(), [""; 0], "commits may be held by members that are not known");
        let known = case.record.clone();
        case.run(SHORT, &[("p", 40), ("r1", 40)]);
        let expected: &[&str] = if known.is_some() { &["p", "r1", "r2"] } else { &["p", "r1"] };
        assert_eq!(case.recorded(), expected);
    }
}

#[test]
fn nothing_is_proven_while_the_primary_is_not_known() {
    let mut case = Case { record: None, is_complete: false, primary: None, ..Case::new() };
    case.run(LONG, &[("p", 40), ("r1", 40), ("r2", 40)]);
    assert_eq!(case.recorded(), [""; 0]);
}

/// Guards against a row that grows without limit, and against forgetting what it has no room for.
#[test]
fn members_that_the_record_has_no_room_for_are_counted() {
    let mut case = Case::new();
    for number in 0..100 {
        let id = format!("lost{number:03}");
        case.members.push(member(&id, 10));
        case.run(Span::from_millis(50), &[]);
        case.members.pop();
    }
    case.run(Span::from_millis(50), &[]);
    let record = case.record.expect("a record");
    assert_eq!(record.members.len(), 64);
    assert_eq!(record.omitted, 39);
    assert_eq!(record.unnamed(true), 39);
    assert_eq!(
        record.unnamed(false),
        40,
        "one may have joined and gone in the writes that are lost"
    );
    assert!(["p", "r1", "r2"].iter().all(|id| record.members.contains_key(*id)));
}
