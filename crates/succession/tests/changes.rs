//! Tests of the state machine of one group's failover: which actions it requests, in which
//! order, as records and member statuses change.

use std::net::SocketAddr;

use base::{Position, Span, Time};
use succession::{
    Action, Assessment, Candidate, CandidateStatus, Failover, FailoverView, LATE_CALL_MAX,
    PrimaryHealth, PrimaryRecord, PromotionOutcome, assess,
};

struct Case {
    failover: Failover,
    now: Time,
    record: Option<PrimaryRecord>,
    members: Vec<Candidate>,
    assessment: Assessment,
    primary_unused: bool,
    is_outdated: bool,
    sync_replicas: u32,
    unlisted: Vec<Candidate>,
    unnamed: Option<usize>,
    /// When the list of members was last confirmed; `None` if it always is.
    members_as_of: Option<Time>,
}

/// A member that has answered no status query.
fn member(id: &str) -> Candidate {
    Candidate {
        id: id.to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        leaving: false,
        registers_as_primary: id == "p",
        status: None,
    }
}

impl Case {
    fn new() -> Case {
        Case {
            failover: Failover::default(),
            now: Time::from_micros(1_000_000),
            record: Some(record("p", false, false)),
            members: vec![member("p"), member("r1"), member("r2")],
            assessment: Assessment::Keep,
            primary_unused: true,
            is_outdated: false,
            sync_replicas: 0,
            unlisted: Vec::new(),
            unnamed: Some(0),
            members_as_of: None,
        }
    }

    fn changing(planned: bool) -> Case {
        Case { record: Some(record("p", true, planned)), ..Case::new() }
    }

    /// A failover of a group whose commits one replica must have received.
    fn changing_synchronous(planned: bool) -> Case {
        Case { sync_replicas: 1, ..Case::changing(planned) }
    }

    /// Lets time pass while these members answer with their logs, and returns the first that is
    /// to be promoted.
    fn promoted_within(&mut self, limit: Span, answers: &[(&str, u64)]) -> Option<String> {
        let end = self.now + limit;
        while self.now < end {
            if let Some(Action::Promote { member }) = self.tick() {
                return Some(member);
            }
            for (id, index) in answers {
                self.status(id, false, 1, *index);
            }
        }
        None
    }

    /// Advances the time and returns the next action.
    fn tick(&mut self) -> Option<Action> {
        self.now = self.now + Span::from_millis(70);
        let view = FailoverView {
            record: self.record.as_ref(),
            is_outdated: self.is_outdated,
            primary_unused: self.primary_unused,
            may_promote: true,
            members: &self.members,
            members_as_of: self.members_as_of.unwrap_or(self.now),
            assessment: self.assessment,
            sync_replicas: self.sync_replicas,
            unlisted: &self.unlisted,
            unnamed: self.unnamed,
        };
        self.failover.tick(self.now, &view)
    }

    /// Sets the last status of a member, queried now, with the log received up to `index`.
    fn status(&mut self, id: &str, primary: bool, term: u64, index: u64) {
        let status = CandidateStatus {
            asked_at: self.now,
            primary,
            received: Position::new(term, index),
            term,
        };
        let mut members = self.members.iter_mut().chain(&mut self.unlisted);
        let member = members.find(|member| member.id == id);
        member.expect("the member is in the group").status = Some(status);
    }
}

fn record(primary: &str, changing: bool, planned: bool) -> PrimaryRecord {
    PrimaryRecord { primary: primary.to_owned(), changing, planned, ..PrimaryRecord::default() }
}

fn written_record(action: Option<Action>) -> Option<PrimaryRecord> {
    match action {
        Some(Action::Write { record, .. }) => Some(record),
        _ => None,
    }
}

#[test]
fn the_first_record_names_the_only_member_that_registers_as_primary() {
    let mut case = Case { record: None, ..Case::new() };
    assert_eq!(written_record(case.tick()), Some(record("p", false, false)));
    case.members[1].registers_as_primary = true;
    assert_eq!(case.tick(), None);
}

#[test]
fn a_failover_starts_when_the_primary_fails_or_leaves() {
    let mut case = Case::new();
    assert_eq!(case.tick(), None);
    case.assessment = Assessment::Replace;
    assert_eq!(written_record(case.tick()), Some(record("p", true, false)));
    let mut case = Case::new();
    case.members[0].leaving = true;
    assert_eq!(written_record(case.tick()), Some(record("p", true, true)));
}

/// All daemons started after it had left, so none has tried to reach it.
#[test]
fn a_primary_whose_entry_is_gone_is_replaced() {
    let mut case = Case::new();
    case.members.remove(0);
    assert_eq!(case.tick(), None, "an entry that has lapsed may come back");
    case.now = case.now + Span::from_millis(2_000);
    assert_eq!(case.tick(), None);
    case.now = case.now + Span::from_millis(300);
    assert_eq!(written_record(case.tick()), Some(record("p", true, false)));
}

#[test]
fn nothing_is_promoted_while_a_daemon_may_use_the_old_primary() {
    let mut case = Case::changing(false);
    case.primary_unused = false;
    for _ in 0..50 {
        assert_eq!(case.tick(), None);
    }
}

#[test]
fn the_most_advanced_replica_is_promoted_and_recorded_once_it_is_primary() {
    let mut case = Case::changing(false);
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 42);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r2".to_owned() }));
    case.failover.record_outcome(case.now, "r2", PromotionOutcome::Accepted);
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    case.status("r2", true, 2, 42);
    assert_eq!(written_record(case.tick()), Some(record("r2", false, false)));
}

#[test]
fn a_planned_failover_waits_until_a_replica_has_the_log_of_the_old_primary() {
    let mut case = Case::changing(true);
    case.members[0].leaving = true;
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    case.status("p", true, 1, 50);
    case.status("r1", false, 1, 49);
    case.status("r2", false, 1, 48);
    assert_eq!(case.tick(), Some(Action::StepDown { member: "p".to_owned(), term: 2 }));
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    case.status("r1", false, 1, 50);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r1".to_owned() }));
}

fn in_doubt(primary: &str) -> PrimaryRecord {
    PrimaryRecord { in_doubt: true, ..record(primary, true, false) }
}

#[test]
fn a_record_that_may_be_outdated_is_not_relied_on() {
    let mut case = Case { is_outdated: true, ..Case::new() };
    assert_eq!(written_record(case.tick()), Some(in_doubt("p")));
    let mut case = Case { is_outdated: true, record: None, ..Case::new() };
    assert_eq!(written_record(case.tick()), Some(in_doubt("p")));
}

/// The old primary does not know that it was replaced, and has the longer log.
#[test]
fn the_primary_of_the_newest_term_is_kept_when_the_record_may_be_outdated() {
    let mut case = Case { record: Some(in_doubt("p")), ..Case::new() };
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    case.status("p", true, 1, 50);
    case.status("r1", false, 2, 41);
    assert_eq!(case.tick(), Some(Action::QueryStatus), "r2 may be the primary");
    case.status("r2", true, 2, 42);
    assert_eq!(written_record(case.tick()), Some(record("r2", false, false)));
}

/// A carrier that has not noticed the loss may go on: it uses the same primary.
#[test]
fn a_primary_that_all_members_show_is_confirmed_without_waiting_for_carriers() {
    let mut case = Case { record: Some(in_doubt("p")), primary_unused: false, ..Case::new() };
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    case.status("p", true, 1, 50);
    case.status("r1", false, 2, 41);
    assert_eq!(case.tick(), None, "r2 may be the primary");
    case.status("r2", true, 2, 42);
    assert_eq!(written_record(case.tick()), Some(record("r2", false, false)));
}

/// The call takes effect only after the members have answered, and a carrier that has just been
/// listed has not applied the record yet.
#[test]
fn no_primary_is_confirmed_by_its_members_once_another_may_have_been_promoted() {
    let mut case = Case { record: Some(in_doubt("p")), ..Case::new() };
    case.tick();
    case.status("p", true, 1, 50);
    case.status("r1", false, 1, 41);
    case.now = case.now + Span::from_millis(800);
    assert_eq!(case.tick(), Some(Action::Promote { member: "p".to_owned() }));
    for primary_unused in [false, true] {
        case.primary_unused = primary_unused;
        for _ in 0..50 {
            assert_eq!(written_record(case.tick()), None);
            case.status("p", true, 1, 50);
            case.status("r1", false, 1, 41);
            case.status("r2", false, 1, 42);
        }
    }
}

/// The member that is primary of term 3 does not answer, or is not listed.
#[test]
fn a_primary_of_an_older_term_is_not_confirmed_while_a_carrier_may_use_another() {
    let mut case = Case { record: Some(in_doubt("p")), primary_unused: false, ..Case::new() };
    for _ in 0..30 {
        let action = case.tick();
        assert!(matches!(action, None | Some(Action::QueryStatus)), "{action:?}");
        case.status("p", true, 2, 50);
        case.status("r1", false, 3, 41);
        case.status("r2", false, 2, 42);
    }
    case.primary_unused = true;
    assert_eq!(case.tick(), Some(Action::Promote { member: "p".to_owned() }));
}

#[test]
fn the_most_advanced_replica_is_promoted_if_no_primary_answers_after_a_loss() {
    let mut case = Case { record: Some(in_doubt("p")), ..Case::new() };
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 42);
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    case.now = case.now + Span::from_millis(800);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r2".to_owned() }));
}

#[test]
fn a_failover_call_with_unknown_outcome_is_repeated_for_the_same_member() {
    let mut case = Case::changing(false);
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 39);
    let promote = Some(Action::Promote { member: "r1".to_owned() });
    assert_eq!(case.tick(), promote);
    case.failover.record_outcome(case.now, "r1", PromotionOutcome::Unknown);
    assert_eq!(case.tick(), promote);
}

/// Guards against two promotions in a row: the platform carried out a call after the daemon had
/// given it up and another member had been promoted and recorded.
#[test]
fn no_other_member_is_promoted_while_an_unanswered_call_may_take_effect() {
    let mut case = Case::changing(false);
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 39);
    let promote = |member: &str| Some(Action::Promote { member: member.to_owned() });
    assert_eq!(case.tick(), promote("r1"));
    case.failover.record_outcome(case.now, "r1", PromotionOutcome::Unknown);
    let unanswered_at = case.now;
    let mut last_call = unanswered_at;
    loop {
        // The member itself does not answer any more.
        case.status("r2", false, 1, 39);
        let action = case.tick();
        if action == promote("r2") {
            break;
        }
        if action == promote("r1") {
            last_call = case.now;
            case.failover.record_outcome(case.now, "r1", PromotionOutcome::NotMade);
        }
    }
    assert!(case.now >= unanswered_at + LATE_CALL_MAX);
    assert!(last_call < unanswered_at + Span::from_millis(3_000), "a silent member is asked for");
}

/// Guards against a second promotion beside one that the platform has accepted and carries out late.
#[test]
fn no_other_member_is_promoted_while_an_accepted_promotion_may_take_effect() {
    let mut case = Case::changing(false);
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 39);
    let promote = |member: &str| Some(Action::Promote { member: member.to_owned() });
    assert_eq!(case.tick(), promote("r1"));
    case.failover.record_outcome(case.now, "r1", PromotionOutcome::Accepted);
    let accepted_at = case.now;
    while case.now < accepted_at + Span::from_millis(6_000) {
        case.status("r1", false, 1, 40);
        case.status("r2", false, 1, 39);
        let action = case.tick();
        assert_ne!(action, promote("r2"));
        if action == promote("r1") {
            case.failover.record_outcome(case.now, "r1", PromotionOutcome::Accepted);
        }
    }
    // It takes effect after all.
    let written = (0..10).find_map(|_| {
        case.status("r1", true, 2, 40);
        let action = case.tick();
        if action == promote("r1") {
            case.failover.record_outcome(case.now, "r1", PromotionOutcome::Accepted);
        }
        written_record(action)
    });
    assert_eq!(written, Some(record("r1", false, false)));
}

/// Guards against waiting for calls that cannot take effect any more.
#[test]
fn a_call_that_did_not_reach_the_platform_delays_no_other_member() {
    let mut case = Case::changing(false);
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 39);
    let started = case.now;
    let promote = |member: &str| Some(Action::Promote { member: member.to_owned() });
    while case.tick() != promote("r2") {
        case.failover.record_outcome(case.now, "r1", PromotionOutcome::NotMade);
        case.status("r2", false, 1, 39);
    }
    assert!(case.now < started + Span::from_millis(3_500));
}

/// Guards against a promotion beside that of a call which an earlier holder of the lease has made.
#[test]
fn the_member_of_an_earlier_holders_call_is_promoted_first() {
    let mut case = Case::changing(false);
    case.failover.inherit_call(case.now, "r1");
    case.tick();
    case.status("r2", false, 1, 42);
    assert_eq!(case.tick(), Some(Action::QueryStatus), "r1 may be promoted at any time");
    case.status("r1", false, 1, 40);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r1".to_owned() }));
}

/// Guards against a record that an earlier holder's call makes wrong a moment later.
#[test]
fn no_primary_is_confirmed_by_its_members_while_a_call_may_promote_another() {
    let mut case = Case { record: Some(in_doubt("p")), primary_unused: false, ..Case::new() };
    case.failover.inherit_call(case.now, "r1");
    let inherited_at = case.now;
    loop {
        let action = case.tick();
        if written_record(action).is_some() {
            break;
        }
        case.status("p", true, 1, 50);
        case.status("r1", false, 1, 41);
        case.status("r2", false, 1, 42);
    }
    assert!(case.now >= inherited_at + LATE_CALL_MAX);
}

/// Guards against a record that stays wrong for good after the platform has carried out a call late:
/// all writes were refused by the recorded primary.
#[test]
fn a_record_that_the_members_contradict_is_put_right() {
    let mut case = Case { record: Some(record("r1", false, false)), ..Case::new() };
    while case.tick() != Some(Action::QueryStatus) {}
    let contradict = |case: &mut Case| {
        case.status("p", true, 3, 50);
        case.status("r1", false, 3, 50);
        case.status("r2", false, 3, 50);
    };
    contradict(&mut case);
    assert_eq!(written_record(case.tick()), Some(in_doubt("r1")));
    case.record = Some(in_doubt("r1"));
    assert_eq!(case.tick(), Some(Action::QueryStatus));
    contradict(&mut case);
    assert_eq!(written_record(case.tick()), Some(record("p", false, false)));
}

/// Guards against interruptions because of entries that are outdated, as of members which cannot
/// reach the store.
#[test]
fn entries_alone_do_not_make_a_record_doubtful() {
    let mut case = Case { record: Some(record("r1", false, false)), ..Case::new() };
    let mut questions = 0;
    for _ in 0..200 {
        match case.tick() {
            None => {}
            Some(Action::QueryStatus) => questions += 1,
            action => panic!("{action:?}"),
        }
        case.status("r1", true, 2, 50);
        case.status("r2", false, 2, 50);
    }
    assert!((5..=7).contains(&questions), "{questions} questions in 14 s");
}

/// Guards against a planned failover that an unanswered call for the present primary undoes.
#[test]
fn a_primary_that_a_call_may_promote_again_is_not_replaced_yet() {
    let mut case = Case { record: Some(record("p", false, false)), ..Case::new() };
    case.members[0].leaving = true;
    case.failover.inherit_call(case.now, "p");
    assert_eq!(case.tick(), None);
    case.now = case.now + LATE_CALL_MAX;
    assert_eq!(written_record(case.tick()), Some(record("p", true, true)));
}

#[test]
fn a_member_whose_promotion_the_platform_declined_is_skipped() {
    let mut case = Case::changing(false);
    case.tick();
    case.status("r1", false, 1, 40);
    case.status("r2", false, 1, 39);
    case.tick();
    case.failover.record_outcome(case.now, "r1", PromotionOutcome::Declined);
    case.status("r2", false, 1, 39);
    case.now = case.now + Span::from_millis(300);
    assert_eq!(case.tick(), Some(Action::Promote { member: "r2".to_owned() }));
}

/// Guards against the promotion of a replica without the acknowledged commits, because the one that
/// had confirmed them did not answer the daemon.
#[test]
fn no_replica_is_promoted_while_a_silent_one_may_hold_acknowledged_commits() {
    let mut case = Case::changing_synchronous(false);
    assert_eq!(case.promoted_within(Span::from_millis(60_000), &[("r1", 40)]), None);
    let answers = [("r1", 40), ("r2", 90)];
    assert_eq!(case.promoted_within(Span::from_millis(500), &answers).as_deref(), Some("r2"));
}

/// Guards against a wait without need: either of two replicas holds each commit that both must
/// have received.
#[test]
fn one_answer_suffices_if_commits_need_both_replicas() {
    let mut case = Case { sync_replicas: 2, ..Case::changing(false) };
    let promoted = case.promoted_within(Span::from_millis(1_500), &[("r1", 40)]);
    assert_eq!(promoted.as_deref(), Some("r1"));
}

/// Guards against a promotion of the next best replica while the best one is excluded.
#[test]
fn an_excluded_replica_with_the_acknowledged_commits_is_waited_for() {
    let mut case = Case::changing_synchronous(false);
    let answers = [("r1", 40), ("r2", 90)];
    assert_eq!(case.promoted_within(Span::from_millis(500), &answers).as_deref(), Some("r2"));
    case.failover.record_outcome(case.now, "r2", PromotionOutcome::Declined);
    assert_eq!(case.promoted_within(Span::from_millis(5_000), &answers).as_deref(), Some("r2"));
}

/// Guards against the same loss in a planned failover, where the old primary says what a replica
/// must have.
#[test]
fn a_planned_failover_promotes_no_replica_that_lacks_acknowledged_commits() {
    let mut case = Case::changing_synchronous(true);
    case.members[0].leaving = true;
    let limit = Span::from_millis(20_000);
    assert_eq!(case.promoted_within(limit, &[("p", 90), ("r1", 40)]).as_deref(), Some("p"));
    case.failover.record_outcome(case.now, "p", PromotionOutcome::Accepted);
    case.tick();
    case.status("p", true, 2, 90);
    assert_eq!(written_record(case.tick()), Some(record("p", false, false)));
    // The replica can catch up before the next attempt.
    case.record = Some(record("p", false, false));
    let kept_at = case.now;
    while written_record(case.tick()).is_none() {}
    assert!(case.now >= kept_at + Span::from_millis(3_000));
    let mut case = Case::changing_synchronous(true);
    case.members[0].leaving = true;
    let answers = [("p", 90), ("r1", 90)];
    assert_eq!(case.promoted_within(limit, &answers).as_deref(), Some("r1"));
}

/// Guards against treating a replica as if it had never confirmed anything, because its entry has
/// lapsed.
#[test]
fn a_replica_that_is_not_listed_any_more_may_hold_acknowledged_commits() {
    let mut case = Case::changing_synchronous(false);
    case.unlisted.extend(case.members.pop());
    assert_eq!(case.promoted_within(Span::from_millis(5_000), &[("r1", 40)]), None);
    case.unlisted.clear();
    assert!(case.promoted_within(Span::from_millis(1_500), &[("r1", 40)]).is_some());
}

/// Guards against a wait for members that cannot catch up: the only one with all commits leaves.
#[test]
fn a_leaving_replica_is_promoted_if_the_others_lack_acknowledged_commits() {
    let mut case = Case::changing_synchronous(false);
    case.members[2].leaving = true;
    let answers = [("r1", 40), ("r2", 90)];
    assert_eq!(case.promoted_within(Span::from_millis(1_500), &answers).as_deref(), Some("r2"));
    let mut case = Case::changing_synchronous(false);
    case.members[2].leaving = true;
    let answers = [("r1", 90), ("r2", 90)];
    assert_eq!(case.promoted_within(Span::from_millis(1_500), &answers).as_deref(), Some("r1"));
}

/// Guards against the loss if a store that came back leaves open who the primary was: it and one
/// replica hold each acknowledged commit.
#[test]
fn a_primary_in_doubt_is_replaced_only_by_a_member_with_the_acknowledged_commits() {
    let doubtful = || Case { record: Some(in_doubt("p")), sync_replicas: 1, ..Case::new() };
    let limit = Span::from_millis(5_000);
    assert_eq!(doubtful().promoted_within(limit, &[("r1", 40)]), None);
    let answers = [("r1", 40), ("r2", 90)];
    assert_eq!(doubtful().promoted_within(limit, &answers).as_deref(), Some("r2"));
}

#[test]
fn the_primary_is_replaced_if_enough_daemons_find_it_failed() {
    let check =
        |opinions: &[PrimaryHealth], expected: Assessment| assert_eq!(assess(opinions), expected);
    let silent = |millis| PrimaryHealth::Silent(Span::from_millis(millis));
    check(&[], Assessment::Keep);
    check(&[PrimaryHealth::Good; 6], Assessment::Keep);
    check(&[silent(300); 6], Assessment::Keep);
    check(&[silent(800); 3], Assessment::Replace);
    check(&[PrimaryHealth::Refused, PrimaryHealth::Good, PrimaryHealth::Good], Assessment::Keep);
    check(
        &[silent(800), silent(900), PrimaryHealth::Good, PrimaryHealth::Good],
        Assessment::Replace,
    );
}

/// Guards against a promotion that is based on the members which a daemon has seen since its start, when
/// the store has no complete record of them (review/6).
#[test]
fn nobody_is_promoted_while_members_that_are_not_known_may_hold_acknowledged_commits() {
    let limit = Span::from_millis(60_000);
    let mut case = Case { unnamed: None, ..Case::changing_synchronous(false) };
    assert_eq!(case.promoted_within(limit, &[("r1", 40), ("r2", 40)]), None);
    let answers = [("p", 50), ("r1", 40), ("r2", 40)];
    assert_eq!(case.promoted_within(limit, &answers).as_deref(), Some("p"), "it has all commits");
    let mut case = Case { unnamed: Some(1), ..Case::changing_synchronous(false) };
    assert_eq!(case.promoted_within(limit, &[("r1", 40), ("r2", 40)]), None);
}

/// Guards against a wait for a member that reaches no store, but can be asked.
#[test]
fn the_log_of_a_member_that_is_not_listed_counts_but_it_is_not_promoted() {
    let mut case = Case::changing_synchronous(false);
    case.unlisted.extend(case.members.pop());
    let limit = Span::from_millis(5_000);
    assert_eq!(case.promoted_within(limit, &[("r1", 40), ("r2", 41)]), None);
    assert_eq!(case.promoted_within(limit, &[("r1", 41), ("r2", 41)]).as_deref(), Some("r1"));
}

/// Guards against a primary that is confirmed because the member which knows a newer term is not listed.
#[test]
fn a_member_that_is_not_listed_can_show_that_a_primary_was_replaced() {
    let mut case = Case { record: Some(in_doubt("p")), primary_unused: false, ..Case::new() };
    case.unlisted.extend(case.members.pop());
    for _ in 0..30 {
        assert_eq!(written_record(case.tick()), None);
        case.status("p", true, 2, 50);
        case.status("r1", false, 2, 41);
        case.status("r2", true, 3, 42);
    }
}

/// Guards against a failover because a list of members that was read earlier lacked the primary.
#[test]
fn a_primary_is_gone_only_if_a_later_list_lacks_it() {
    let mut case = Case::new();
    case.members.remove(0);
    case.members_as_of = Some(case.now);
    for _ in 0..100 {
        assert_eq!(case.tick(), None);
    }
    case.members_as_of = None;
    assert_eq!(written_record(case.tick()), Some(record("p", true, false)));
}

/// Guards against a group that stays without a primary for good: the store came back from an older copy,
/// and all members are replicas (soak seed 11).
#[test]
fn the_furthest_of_all_members_is_promoted_if_the_record_of_members_is_of_an_earlier_era() {
    let doubtful = || {
        let record = Some(in_doubt("p"));
        Case { record, sync_replicas: 1, unnamed: Some(1), ..Case::new() }
    };
    let limit = Span::from_millis(5_000);
    let answers = [("p", 90), ("r1", 40), ("r2", 80)];
    assert_eq!(doubtful().promoted_within(limit, &answers).as_deref(), Some("p"));
    assert_eq!(doubtful().promoted_within(limit, &answers[..2]), None);
}
