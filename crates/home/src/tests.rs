//! Slots of a group's home under load. The `schedules` crate tests the state machine as a whole.

use base::{
    CallerId, GroupId, MemberId, Position, Rank, RequestId, Span, StatementKind, Term, Time, Zone,
};
use routing::Capacity;
use table::{Policy, RowKey};

use crate::{
    Action, ConnectionState, Event, Finished, Home, HomeConfig, MemberConfig, MemberStatus,
    PinnedStatement, ProbeReply, RunResult, Submission,
};

const SLOTS: u32 = 3;
const NOW: Time = Time::from_micros(1_000_000);

fn key() -> RowKey {
    RowKey { name: "orders".to_owned(), rank: Rank::Submission }
}

fn write(number: u64) -> Event {
    Event::Submitted(Submission {
        req: RequestId::new(number),
        caller: CallerId::new("clerk"),
        key: key(),
        policy: Policy::default(),
        kind: StatementKind::Write,
        token: None,
        session: Position::default(),
        deadline: NOW + Span::from_millis(10_000),
    })
}

/// A home of one member, which is the primary and answers.
fn home() -> Home {
    let member = MemberConfig {
        id: MemberId::new("a"),
        zone: Zone::new("z"),
        capacity: Capacity { slots: SLOTS, connections: 20 },
    };
    let mut home = Home::new(HomeConfig::new(GroupId::new("group"), Zone::new("z"), vec![member]));
    let term = Term::new(1);
    let primary = Some(MemberId::new("a"));
    handle(&mut home, Event::PrimaryRecorded { term, primary });
    handle(&mut home, Event::BecameHome { exclusive_from: NOW });
    let position = Position::default();
    let status =
        MemberStatus { term, primary: true, position, origin: position, log_end: position };
    let reply = ProbeReply { member: 0, round: 1, asked_at: NOW, status };
    handle(&mut home, Event::Probed(reply));
    home
}

fn handle(home: &mut Home, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    home.handle(NOW, event, &mut out);
    out
}

fn started(actions: &[Action]) -> Vec<RequestId> {
    let started = actions.iter().filter_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.req),
        Action::RunPinned { req, .. } => Some(*req),
        _ => None,
    });
    started.collect()
}

/// Writes that wait for a transaction's locks hold every slot. The transaction's next statement
/// must run all the same, or neither could ever end.
#[test]
fn a_statement_of_an_open_transaction_runs_although_every_slot_is_taken() {
    let mut home = home();
    for number in 0..u64::from(SLOTS) {
        let actions = handle(&mut home, write(number));
        assert_eq!(started(&actions), [RequestId::new(number)]);
    }
    assert_eq!(started(&handle(&mut home, write(8))), []);
    let commit = PinnedStatement { req: RequestId::new(9), key: key(), member: MemberId::new("a") };
    assert_eq!(started(&handle(&mut home, Event::Pinned(commit))), [RequestId::new(9)]);

    let finished = |number| {
        Event::Finished(Finished {
            req: RequestId::new(number),
            service: Span::from_millis(1),
            result: RunResult::Answered,
            connection: ConnectionState::Held,
        })
    };
    let actions = handle(&mut home, finished(0));
    assert_eq!(started(&actions), [], "the pinned statement counts as in flight");
    let actions = handle(&mut home, finished(9));
    assert_eq!(started(&actions), [RequestId::new(8)]);
}
