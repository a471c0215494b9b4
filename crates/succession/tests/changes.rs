//! Changes of primary, step by step.

use base::{Position, Span, Time};
use succession::{
    Action, Candidate, LeadRecord, Opinion, Outcome, Status, Succession, Verdict, View, judge,
};

struct Case {
    succession: Succession,
    now: Time,
    record: Option<LeadRecord>,
    members: Vec<Candidate>,
    verdict: Verdict,
    stopped: bool,
}

impl Case {
    fn new() -> Case {
        let member = |id: &str| Candidate {
            id: id.to_owned(),
            leaving: false,
            says_primary: id == "p",
            status: None,
        };
        Case {
            succession: Succession::default(),
            now: Time::from_micros(1_000_000),
            record: Some(record("p", false, false)),
            members: vec![member("p"), member("r1"), member("r2")],
            verdict: Verdict::Keep,
            stopped: true,
        }
    }

    fn changing(planned: bool) -> Case {
        Case { record: Some(record("p", true, planned)), ..Case::new() }
    }

    /// Time passes; what is to be done then.
    fn tick(&mut self) -> Option<Action> {
        self.now = self.now + Span::from_millis(70);
        let view = View {
            record: self.record.as_ref(),
            stopped: self.stopped,
            may_promote: true,
            members: &self.members,
            verdict: self.verdict,
            sync_replicas: 0,
        };
        self.succession.tick(self.now, &view)
    }

    fn status(&mut self, id: &str, primary: bool, term: u64, index: u64) {
        let status =
            Status { asked_at: self.now, primary, received: Position::new(term, index), term };
        let member = self.members.iter_mut().find(|member| member.id == id);
        member.expect("a member").status = Some(status);
    }
}

fn record(primary: &str, changing: bool, planned: bool) -> LeadRecord {
    LeadRecord { primary: primary.to_owned(), changing, planned }
}

fn written(action: Option<Action>) -> Option<LeadRecord> {
    match action {
        Some(Action::Write { record, .. }) => Some(record),
        _ => None,
    }
}

#[test]
fn the_first_record_names_the_one_member_that_leads() {
    let mut case = Case { record: None, ..Case::new() };
    assert_eq!(written(case.tick()), Some(record("p", false, false)));
    case.members[1].says_primary = true;
    assert_eq!(case.tick(), None);
}

#[test]
fn a_change_begins_when_the_primary_fails_or_leaves() {
    let mut case = Case::new();
    assert_eq!(case.tick(), None);
    case.verdict = Verdict::Replace;
    assert_eq!(written(case.tick()), Some(record("p", true, false)));
    let mut case = Case::new();
    case.members[0].leaving = true;
    assert_eq!(written(case.tick()), Some(record("p", true, true)));
}

#[test]
fn nothing_is_promoted_while_a_daemon_may_use_the_old_primary() {
    let mut case = Case::changing(false);
    case.stopped = false;
    for _ in 0..50 {
        assert_eq!(case.tick(), None);
    }
}

#[test]
fn the_furthest_replica_is_promoted_and_recorded_once_it_leads() {
    let mut case = Case::changing(false);
    assert_eq!(case.tick(), Some(Action::Examine));
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 42);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r2".to_owned() }));
    case.succession.promoted(case.now, "r2", Outcome::Accepted);
    assert_eq!(case.tick(), Some(Action::Examine));
    case.status("r2", true, 2, 42);
    assert_eq!(written(case.tick()), Some(record("r2", false, false)));
}

#[test]
fn a_planned_change_waits_for_the_log_of_the_old_primary() {
    let mut case = Case::changing(true);
    case.members[0].leaving = true;
    assert_eq!(case.tick(), Some(Action::Examine));
    case.status("p", true, 1, 50);
    case.status("r1", false, 1, 49);
    case.status("r2", false, 1, 48);
    assert_eq!(case.tick(), Some(Action::StepDown { member: "p".to_owned(), term: 2 }));
    assert_eq!(case.tick(), Some(Action::Examine));
    case.status("r1", false, 1, 50);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r1".to_owned() }));
}

#[test]
fn a_call_without_an_answer_is_made_again_for_the_same_member() {
    let mut case = Case::changing(false);
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 39);
    let promote = Some(Action::Promote { member: "r1".to_owned() });
    assert_eq!(case.tick(), promote);
    case.succession.promoted(case.now, "r1", Outcome::Unknown);
    assert_eq!(case.tick(), promote);
}

#[test]
fn a_member_that_cannot_lead_is_passed_over() {
    let mut case = Case::changing(false);
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 39);
    case.tick();
    case.succession.promoted(case.now, "r1", Outcome::Declined);
    case.status("r2", false, 1, 39);
    case.now = case.now + Span::from_millis(300);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r2".to_owned() }));
}

#[test]
fn opinions_are_weighed() {
    let check = |opinions: &[Opinion], expected: Verdict| assert_eq!(judge(opinions), expected);
    let silent = |millis| Opinion::Silent(Span::from_millis(millis));
    check(&[], Verdict::Keep);
    check(&[Opinion::Good; 6], Verdict::Keep);
    check(&[silent(300); 6], Verdict::Keep);
    check(&[silent(800); 3], Verdict::Replace);
    check(&[Opinion::Refused, Opinion::Good, Opinion::Good], Verdict::Keep);
    check(&[silent(800), silent(900), Opinion::Good, Opinion::Good], Verdict::Replace);
}
