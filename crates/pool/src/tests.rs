use base::{MemberId, Position, Rank, Span, Time};
use table::{Policy, RowKey};

use crate::{Action, MemberSpec, Pool, Request, Requirement, Shares};

/// A pool of a primary `p` and replicas `r1` and `r2`, with a clock.
struct Bench {
    pool: Pool,
    now: Time,
    next: u64,
}

impl Bench {
    fn new(shares: Shares) -> Bench {
        let mut pool = Pool::default();
        pool.set_shares(shares);
        let specs: Vec<_> = ["p", "r1", "r2"].iter().map(|id| spec(id, 1)).collect();
        pool.set_members(&specs, &mut Vec::new());
        let mut bench = Bench { pool, now: Time::from_micros(60_000_000), next: 1_000 };
        bench.lead(true);
        bench
    }

    fn lead(&mut self, granted: bool) {
        let until = if granted { self.now + Span::from_millis(600_000) } else { self.now };
        self.pool.set_lead(Some(MemberId::new("p")), until);
    }

    fn advance(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        self.pool.advance(self.now, &mut out);
        out
    }

    /// Opens every connection that the pool asks for, until it asks for none.
    fn open_all(&mut self) -> Vec<Action> {
        let mut rest = Vec::new();
        loop {
            let (opens, others): (Vec<_>, Vec<_>) =
                self.advance().into_iter().partition(|it| matches!(it, Action::Open { .. }));
            rest.extend(others);
            if opens.is_empty() {
                return rest;
            }
            for action in opens {
                let Action::Open { member } = action else { continue };
                self.next += 1;
                self.pool.opened(self.now, &member, self.next);
            }
        }
    }

    fn offer(
        &mut self,
        req: u64,
        requirement: Requirement,
        rank: Rank,
    ) -> Result<(), &'static str> {
        self.offer_with(req, requirement, rank, Span::from_millis(400))
    }

    fn offer_with(
        &mut self,
        req: u64,
        requirement: Requirement,
        rank: Rank,
        target: Span,
    ) -> Result<(), &'static str> {
        let key = RowKey { name: rank.as_str().to_owned(), rank };
        let policy = Policy { target: Some(target), ..Policy::default() };
        let deadline = self.now + Span::from_millis(1_000);
        self.pool
            .enqueue(self.now, Request { req, requirement, key, policy, since: self.now, deadline })
    }
}

fn spec(id: &str, born: u64) -> MemberSpec {
    MemberSpec { id: MemberId::new(id), born, same_zone: true, slots: 3, leaving: false }
}

fn started(actions: &[Action]) -> Vec<(u64, &str)> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start { req, member, .. } => Some((*req, member.as_str())),
        _ => None,
    });
    starts.collect()
}

/// A read that any log satisfies.
fn any_log() -> Requirement {
    Requirement::AtLeast(Position::default())
}

/// Load pattern: all VMs lose power and start again, while the members still hold the
/// connections of the dead daemons. Six daemons, 21 connections.
#[test]
fn what_daemons_keep_leaves_room_for_all_of_them_to_start_again() {
    for (connections, slots, daemons) in [(21, 3, 6), (50, 5, 6), (51, 5, 8), (176, 6, 12)] {
        let shares = Shares::new(connections, slots, daemons);
        let held_by_the_dead = shares.kept * daemons;
        assert!(connections - held_by_the_dead >= daemons, "{shares:?}");
        assert!(shares.max_open * daemons <= connections, "{shares:?}");
    }
}

#[test]
fn a_daemon_without_a_part_opens_nothing() {
    let mut bench = Bench::new(Shares::NONE);
    assert!(bench.advance().is_empty());
}

#[test]
fn further_connections_are_opened_while_requests_wait_and_closed_afterwards() {
    let mut bench = Bench::new(Shares { kept: 1, max_open: 2, max_running: 2 });
    bench.open_all();
    for req in [1, 2] {
        bench.offer(req, Requirement::Primary, Rank::Submission).expect("queued");
    }
    let first = bench.advance();
    assert_eq!(started(&first), [(1, "p")]);
    assert!(first.contains(&Action::Open { member: MemberId::new("p") }));
    bench.pool.opened(bench.now, &MemberId::new("p"), 77);
    assert_eq!(started(&bench.advance()), [(2, "p")]);
    let p = MemberId::new("p");
    let mut out = Vec::new();
    bench.pool.statement_done(bench.now, &p, Some(Span::from_millis(9)));
    bench.pool.idle(bench.now, &p, 77, &mut out);
    bench.now = bench.now + Span::from_millis(5_000);
    let closed = bench.advance();
    assert!(closed.iter().any(|action| matches!(action, Action::Close { .. })), "{closed:?}");
}

#[test]
fn reads_prefer_replicas_and_the_primary_takes_what_they_cannot() {
    let mut bench = Bench::new(Shares { kept: 2, max_open: 2, max_running: 2 });
    bench.open_all();
    bench.offer(1, any_log(), Rank::Lookup).expect("queued");
    assert_ne!(started(&bench.advance())[0].1, "p");
    let ahead = Position::new(3, 50);
    for replica in ["r1", "r2"] {
        bench.pool.record_behind(bench.now, &MemberId::new(replica), ahead);
    }
    bench.offer(2, Requirement::AtLeast(ahead), Rank::Lookup).expect("queued");
    assert_eq!(started(&bench.advance()), [(2, "p")]);
}

#[test]
fn without_a_grant_nothing_starts_on_the_primary() {
    let mut bench = Bench::new(Shares { kept: 2, max_open: 2, max_running: 2 });
    bench.open_all();
    bench.lead(false);
    bench.offer(1, Requirement::Primary, Rank::Submission).expect("queued");
    assert!(started(&bench.advance()).is_empty());
    bench.lead(true);
    assert_eq!(started(&bench.advance()), [(1, "p")]);
}

#[test]
fn a_leaving_member_gets_no_new_work() {
    let mut bench = Bench::new(Shares { kept: 2, max_open: 2, max_running: 2 });
    bench.open_all();
    let mut specs: Vec<_> = ["p", "r1", "r2"].iter().map(|id| spec(id, 1)).collect();
    specs[1].leaving = true;
    bench.pool.set_members(&specs, &mut Vec::new());
    for req in 0..6 {
        bench.offer(req, any_log(), Rank::Lookup).expect("queued");
    }
    let actions = bench.open_all();
    assert!(started(&actions).iter().all(|(_, member)| *member != "r1"), "{actions:?}");
}

#[test]
fn a_member_that_was_born_again_loses_its_old_connections() {
    let mut bench = Bench::new(Shares { kept: 2, max_open: 2, max_running: 2 });
    bench.open_all();
    let mut specs: Vec<_> = ["p", "r1", "r2"].iter().map(|id| spec(id, 1)).collect();
    specs[2].born = 2;
    let mut out = Vec::new();
    bench.pool.set_members(&specs, &mut out);
    assert_eq!(out.len(), 2, "{out:?}");
}

/// Load pattern: a burst of reports, then one submission.
#[test]
fn the_urgent_goes_first_and_what_cannot_meet_its_target_is_refused_at_once() {
    let mut bench = Bench::new(Shares { kept: 1, max_open: 1, max_running: 1 });
    bench.open_all();
    let mut refused = 0;
    for req in 0..2_000 {
        let offered =
            bench.offer_with(req, Requirement::Primary, Rank::Report, Span::from_millis(500));
        refused += u32::from(offered.is_err());
    }
    assert!(refused > 1_000, "{refused} refused");
    bench.advance();
    bench.offer(5_000, Requirement::Primary, Rank::Submission).expect("queued");
    let p = MemberId::new("p");
    bench.pool.statement_done(bench.now, &p, Some(Span::from_millis(2)));
    bench.pool.idle(bench.now, &p, 1_001, &mut Vec::new());
    assert_eq!(started(&bench.advance()), [(5_000, "p")]);
}

#[test]
fn what_waits_past_its_deadline_is_refused_as_not_run() {
    let mut bench = Bench::new(Shares { kept: 1, max_open: 1, max_running: 1 });
    bench.offer(1, Requirement::Primary, Rank::Submission).expect("queued");
    bench.now = bench.now + Span::from_millis(1_001);
    let actions = bench.advance();
    assert!(actions.iter().any(|action| matches!(action, Action::Refuse { req: 1, .. })));
}

#[test]
fn positions_cover_an_age_only_if_the_primary_was_asked_since() {
    let mut bench = Bench::new(Shares { kept: 1, max_open: 1, max_running: 1 });
    let p = MemberId::new("p");
    let (asked, position) = (bench.now, Position::new(1, 10));
    bench.pool.record_position(&p, position, Some(asked));
    let age = Span::from_millis(1_500);
    assert_eq!(bench.pool.position_covering(asked + Span::from_millis(1_000), age), Some(position));
    assert_eq!(bench.pool.position_covering(asked + Span::from_millis(1_600), age), None);
    bench.pool.record_position(&p, Position::new(1, 11), None);
    assert_eq!(bench.pool.position_covering(asked + Span::from_millis(1_600), age), None);
}

/// Load pattern: members are full after a power loss, and requests come in all the while.
#[test]
fn late_requests_without_a_connection_are_told_so_before_their_time_runs_out() {
    let mut bench = Bench::new(Shares { kept: 1, max_open: 1, max_running: 1 });
    let mut refused = Vec::new();
    for req in 0..200 {
        bench.now = bench.now + Span::from_millis(10);
        bench.offer(req, Requirement::Primary, Rank::Lookup).expect("queued");
        for action in bench.advance() {
            match action {
                Action::Open { member } => bench.pool.full(bench.now, &member),
                Action::Refuse { req, reason } => refused.push((req, reason)),
                Action::Start { .. } | Action::Close { .. } => {}
            }
        }
    }
    assert!(!refused.is_empty());
    for (_, reason) in refused {
        assert_eq!(reason, "it is late, and no member accepts a connection");
    }
}
