use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
};

use base::{Position, Span, Time};

use super::{Group, Options, Organisation, Platform, Refusal};

const LAG: Span = Span::from_millis(50);

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn group() -> Group {
    Group::new(&["a", "b", "c"].map(str::to_owned), LAG)
}

fn write(group: &mut Group, millis: u64, id: &str, item: &str) -> Result<(), Refusal> {
    group.commit(at(millis), id, "r", vec![(item.to_owned(), "x".to_owned())])
}

#[test]
fn replicas_apply_commits_after_the_lag_and_reject_writes() {
    let mut group = group();
    write(&mut group, 0, "a", "lot").expect("the primary accepts writes");
    assert_eq!(write(&mut group, 0, "b", "lot"), Err(Refusal::ReadOnly));
    let position = Some(Position::new(1, 1));
    group.advance(at(49));
    assert_eq!(group.check("b", position, false), Err(Refusal::Lagging));
    group.advance(at(50));
    assert_eq!((group.check("b", position, false), group.read("b", "lot")), (Ok(()), Some("x")));
}

#[test]
fn a_replaced_primary_accepts_writes_until_its_demotion_delay_passes() {
    let mut group = group();
    write(&mut group, 0, "a", "kept").expect("the primary accepts writes");
    group.promote(at(10), "b");
    assert_eq!((group.primary(), group.received_position("b")), ("b", Position::new(1, 1)));
    write(&mut group, 20, "a", "lost").expect("not demoted yet, so it accepts writes");
    write(&mut group, 30, "b", "new").expect("the primary accepts writes");
    assert_eq!(group.received_position("c"), Position::new(2, 2));
    group.advance(at(1_020));
    assert!(!group.is_primary("a"));
    assert_eq!(group.received_position("a"), Position::new(2, 2));
    assert_eq!(group.lost().len(), 1);
    assert_eq!(group.read("a", "lost"), None);
}

#[test]
fn a_partitioned_primary_is_demoted_a_second_after_the_partition_ends() {
    let mut group = group();
    group.set_partitioned(at(0), true);
    group.promote(at(10), "b");
    group.advance(at(5_000));
    assert!(group.is_primary("a"));
    group.set_partitioned(at(5_000), false);
    group.advance(at(5_999));
    assert!(group.is_primary("a"));
    group.advance(at(6_000));
    assert!(!group.is_primary("a"));
}

#[test]
fn a_replaced_primary_that_steps_down_rejects_writes_at_once() {
    let mut group = group();
    group.step_down("a", 1);
    assert!(group.is_primary("a"), "does not step down for its own term");
    group.step_down("a", 2);
    assert_eq!(write(&mut group, 0, "a", "lot"), Err(Refusal::ReadOnly));
    group.promote(at(10), "c");
    write(&mut group, 20, "c", "lot").expect("the primary accepts writes");
    assert_eq!(group.received_position("a"), Position::new(2, 1));
}

/// Guards against a replica whose log is emptied, or filled by a member that is stopped, when it receives
/// commits again.
#[test]
fn a_replica_that_received_nothing_catches_up_once_a_primary_runs() {
    let mut group = group();
    assert_eq!(write(&mut group, 0, "b", "kept"), Err(Refusal::ReadOnly));
    assert_eq!(write(&mut group, 0, "a", "kept"), Ok(()));
    group.set_deaf("b", true);
    assert_eq!(write(&mut group, 1, "a", "missed"), Ok(()));
    group.set_stopped("a", true);
    group.set_deaf("b", false);
    group.advance(at(500));
    assert_eq!(
        group.received_position("b"),
        Position::new(1, 1),
        "nobody is there to receive from"
    );
    group.set_stopped("a", false);
    group.advance(at(600));
    assert_eq!(group.received_position("b"), Position::new(1, 2));
    group.set_deaf("b", true);
    group.step_down("a", 2);
    group.set_deaf("b", false);
    group.advance(at(700));
    assert_eq!(group.received_position("b"), Position::new(1, 2), "there is no primary");
}

#[test]
fn a_stopped_member_runs_nothing_until_it_is_started_again() {
    let mut group = group();
    write(&mut group, 0, "a", "kept").expect("the primary accepts writes");
    group.set_stopped("a", true);
    assert_eq!(write(&mut group, 10, "a", "lot"), Err(Refusal::Stopped));
    assert_eq!(group.check("a", None, false), Err(Refusal::Stopped));
    assert_eq!(group.received_position("a"), Position::new(1, 1));
    group.set_stopped("a", false);
    write(&mut group, 20, "a", "lot").expect("the primary accepts writes again");
}

/// A connection to a member, with the answer to its first line.
struct Conn {
    lines: BufReader<TcpStream>,
    answer: String,
}

impl Conn {
    fn open(platform: &Platform, name: &str) -> Conn {
        let addr = platform.member_addr("svc1-m1").expect("a member");
        let lines = BufReader::new(TcpStream::connect(addr).expect("the member listens"));
        let mut conn = Conn { lines, answer: String::new() };
        conn.answer = conn.exchange(&format!("STARTUP svc1 {name} svc1-m1"));
        conn
    }

    /// Sends a line and returns the first line of the answer.
    fn exchange(&mut self, line: &str) -> String {
        self.lines.get_mut().write_all(format!("{line}\r\n").as_bytes()).expect("open");
        let mut answer = String::new();
        self.lines.read_line(&mut answer).expect("an answer");
        answer.trim_end().to_owned()
    }

    /// Runs a statement without rows.
    fn run(&mut self, id: &str, text: &str) -> String {
        let answer = self.exchange(&format!("QUERY {id} {text}"));
        self.lines.read_line(&mut String::new()).expect("READY");
        answer
    }
}

fn start_platform() -> Platform {
    let (groups, databases) = (vec!["svc1".to_owned()], vec![vec!["orders".to_owned()]]);
    Platform::start(&Options { groups, databases, ..Options::default() }).expect("a platform")
}

/// Guards against a member that accepts more connections than configured, or counts closed ones.
#[test]
fn a_member_refuses_connections_above_its_limit() {
    let platform = start_platform();
    platform.set_max_conns(2);
    let [first, second, third] = ["alpha", "alpha", "beta"].map(|it| Conn::open(&platform, it));
    assert!(first.answer.starts_with("READY") && second.answer.starts_with("READY"));
    assert!(third.answer.starts_with("ERROR TOOMANY"), "{}", third.answer);
    drop(first);
    let end = std::time::Instant::now() + std::time::Duration::from_secs(5);
    while !Conn::open(&platform, "gamma").answer.starts_with("READY") {
        assert!(std::time::Instant::now() < end, "a closed connection still counts");
    }
    let connections = platform.connections().remove("svc1-m1").expect("connections");
    assert_eq!((connections.peak, connections.opened["alpha"]), (2, 2));
    assert!(connections.refused >= 1 && !connections.opened.contains_key("beta"));
}

/// Guards against tests of a loss of power in which the members drop the lost connections at once, or
/// count them for ever, or hold those that were opened afterwards.
#[test]
fn a_member_counts_the_connections_of_a_lost_process_for_some_time() {
    let platform = start_platform();
    platform.set_max_conns(2);
    let [first, second] = ["alpha", "alpha"].map(|it| Conn::open(&platform, it));
    assert!(first.answer.starts_with("READY") && second.answer.starts_with("READY"));
    platform.hold_connections(Span::from_millis(300));
    let lost_at = std::time::Instant::now();
    drop((first, second));
    while !Conn::open(&platform, "alpha").answer.starts_with("READY") {
        assert!(lost_at.elapsed() < std::time::Duration::from_secs(5), "counted for ever");
    }
    assert!(lost_at.elapsed() >= std::time::Duration::from_millis(290));
}

/// Guards against a record that misses statements, or contains refused ones.
#[test]
fn a_member_records_what_runs_and_under_which_name() {
    let platform = start_platform();
    let mut conn = Conn::open(&platform, "alpha");
    conn.run("r1", "STORE lot oak");
    conn.run("-", "BEGIN");
    conn.run("r2", "STORE lot elm");
    conn.run("r2", "COMMIT");
    conn.run("r3", "AFTER 9.9 STORE lot ash");
    conn.run("r4", "EXECUTE missing lot");
    conn.run("r5", "NONSENSE");
    let statements = platform.statements();
    let run: Vec<_> =
        statements.iter().map(|it| (it.request.as_str(), it.begins_operation)).collect();
    assert_eq!(run, [("r1", true), ("-", true), ("r2", false), ("r2", false)]);
    assert!(statements.iter().all(|it| it.organisation == "alpha" && it.member == "svc1-m1"));
    assert!(statements.is_sorted_by_key(|it| it.at));
}

/// Guards against an operator whose changes do not reach the configuration, or break it.
#[test]
fn the_operator_changes_keys_and_limits() {
    let platform = start_platform();
    let config = || -> serde_json::Value {
        let row = platform.row("op", "config").expect("a configuration");
        serde_json::from_slice(&row).expect("JSON")
    };
    assert_eq!((&config()["tenants"], &config()["version"]), (&serde_json::Value::Null, &3.into()));
    let first = platform.set_organisations(&[Organisation::new("alpha", &["k1"])]);
    platform.add_key("alpha", "k2");
    platform.add_key("unknown", "k3");
    platform.set_public(&["orders"]);
    platform.set_limit("alpha", -5.0, 1e300);
    let last = platform.revoke_key("alpha", "k1");
    let config = config();
    let tenant = &config["tenants"][0];
    assert_eq!(
        (&tenant["api_keys"], &tenant["rate_per_s"]),
        (&["k2"].as_slice().into(), &(-5.0).into())
    );
    assert_eq!((&config["version"], &config["routes"][0]["public"]), (&21.into(), &true.into()));
    assert!(first < last);
}
