//! Callers' sessions. Most tests compare a transcript with a snapshot.

use e2e::TestEnv;
use futures_util::future;
use peers::GroupReport;
use trial::{Options, TABLE_HEADER};

const REPLICATION_LAG_MS: u64 = 3_600_000;

fn relaxed_consistency_options() -> Options {
    Options { table: Some(TestEnv::relaxed_table()), ..Options::default() }
}

async fn delay_replication(env: &TestEnv) {
    for member in ["base-prensa-1-b", "base-prensa-1-c"] {
        env.set_fault(member, "lag_ms", REPLICATION_LAG_MS).await;
    }
}

#[tokio::test]
async fn three_names_route_to_one_group() {
    let mut env = TestEnv::start(&Options::default());
    let orders = env.caller(1, "clerk", "orders").await;
    let pedidos = env.caller(2, "clerk", "pedidos").await;
    let by_group_name = env.caller(3, "clerk", "base-prensa-1").await;
    env.query(&orders, "CREATE TABLE lots (id bigint primary key, kind text)").await;
    env.query(&orders, "INSERT INTO lots VALUES (1, 'oak')").await;
    env.query(&pedidos, "INSERT INTO lots VALUES (2, 'pine')").await;
    env.query(&by_group_name, "SELECT id, kind FROM lots ORDER BY id").await;
    insta::assert_snapshot!(env.transcript());
}

#[tokio::test]
async fn an_unknown_database_is_refused() {
    let env = TestEnv::start(&Options::default());
    let addr = env.cluster.addrs()[0];
    let error = e2e::Caller::connect(addr, "", "clerk", "nowhere", "").await.err();
    let code = error.and_then(|error| error.code().map(|code| code.code().to_owned()));
    assert_eq!(code.as_deref(), Some("3D000"));
}

#[tokio::test]
async fn own_writes_are_read_on_another_daemon_while_replicas_lag() {
    let mut env = TestEnv::start(&relaxed_consistency_options());
    let first = env.caller(1, "clerk", "orders").await;
    env.query(&first, "CREATE TABLE lots (id bigint primary key)").await;
    delay_replication(&env).await;
    env.query(&first, "INSERT INTO lots VALUES (1)").await;
    env.record("# without a token, on another daemon");
    let without_token = env.caller(2, "clerk", "pedidos").await;
    env.query(&without_token, "SELECT count(*) FROM lots").await;
    env.record("# with the token that the first daemon returned");
    let token = first.run("SHOW corianderwharf.token").await;
    let token = token.lines().next().unwrap_or_default().trim().to_owned();
    let options = format!("-c corianderwharf.token={token}");
    let with_token = env.caller_with_options(3, "clerk", "orders", &options).await;
    env.query(&with_token, "SELECT count(*) FROM lots").await;
    insta::assert_snapshot!(env.transcript());
}

#[tokio::test]
async fn a_transaction_is_isolated_from_other_callers() {
    let mut env = TestEnv::start(&Options::default());
    let clerk = env.caller(1, "clerk", "orders").await;
    let other = env.caller(1, "other", "orders").await;
    env.query(&clerk, "CREATE TABLE lots (id bigint primary key, kind text)").await;
    env.query(&clerk, "BEGIN").await;
    env.query(&clerk, "INSERT INTO lots VALUES (1, 'oak')").await;
    env.query(&other, "SELECT 'unrelated'").await;
    env.query(&other, "SET search_path = 'elsewhere'").await;
    env.query(&clerk, "SHOW search_path").await;
    env.query(&clerk, "INSERT INTO lots VALUES (1, 'twice')").await;
    env.query(&clerk, "SELECT 'ignored until the end'").await;
    env.query(&other, "SHOW search_path").await;
    env.query(&clerk, "ROLLBACK").await;
    env.query(&clerk, "SELECT count(*) FROM lots").await;
    insta::assert_snapshot!(env.transcript());
}

#[tokio::test]
async fn prepared_statements_work_with_pooled_connections() {
    let env = TestEnv::start(&Options::default());
    let clerk = env.caller(1, "clerk", "orders").await;
    clerk.run("CREATE TABLE lots (id bigint primary key, kind text)").await;
    let client = clerk.client();
    let insert = client.prepare("INSERT INTO lots VALUES ($1, $2)").await.expect("prepared");
    let select = client.prepare("SELECT kind FROM lots WHERE id = $1").await.expect("prepared");
    for id in 0..20 {
        let id = id.to_string();
        let kind = format!("kind {id}");
        client.execute(&insert, &[&id, &kind]).await.expect("inserted");
        let rows = client.query(&select, &[&id]).await.expect("selected");
        assert_eq!(rows[0].get::<_, String>(0), kind);
    }
}

/// A table that lets one submission under the name `orders` run at a time and one more wait.
fn single_slot_table() -> String {
    format!(
        "{TABLE_HEADER}\norders,submission,base-prensa-1,1,0,1,0,1,0,0,replica\n\
         orders,lookup,base-prensa-1,1,0,0,0,0,0,0,replica\n\
         pedidos,submission,base-prensa-1,1,0,0,0,0,0,0,replica\n"
    )
}

#[tokio::test]
async fn a_refused_submission_is_not_executed() {
    let options = Options { table: Some(single_slot_table()), ..Options::default() };
    let mut env = TestEnv::start(&options);
    let clerk = env.caller(1, "clerk", "pedidos").await;
    env.query(&clerk, "CREATE TABLE lots (id bigint primary key, kind text)").await;
    env.record("# an open transaction blocks other writes");
    env.query(&clerk, "BEGIN").await;
    env.query(&clerk, "INSERT INTO lots VALUES (0, 'larch')").await;
    let first = env.caller(1, "first", "orders").await;
    let second = env.caller(2, "second", "orders").await;
    let third = env.caller(3, "third", "orders").await;
    let home = env.home("base-prensa-1").await;
    let running = |group: &GroupReport| group.members[0].in_flight == 1;
    let waiting = |group: &GroupReport| group.waiting == 1;
    let run_first = async { first.run("INSERT INTO lots VALUES (1, 'oak')").await };
    let run_second = async {
        env.wait_for_report(home, "base-prensa-1", running).await;
        second.run("INSERT INTO lots VALUES (2, 'pine')").await
    };
    let refused = async {
        env.wait_for_report(home, "base-prensa-1", waiting).await;
        let refused = third.run("INSERT INTO lots VALUES (3, 'elm')").await;
        (refused, clerk.run("COMMIT").await)
    };
    let (ran, waited, (refused, committed)) = future::join3(run_first, run_second, refused).await;
    env.record(&format!("third@3/orders> INSERT INTO lots VALUES (3, 'elm')\n{refused}"));
    env.record(&format!("clerk@1/pedidos> COMMIT\n{committed}"));
    env.record(&format!("first@1/orders> INSERT INTO lots VALUES (1, 'oak')\n{ran}"));
    env.record(&format!("second@2/orders> INSERT INTO lots VALUES (2, 'pine')\n{waited}"));
    env.query(&clerk, "SELECT id, kind FROM lots ORDER BY id").await;
    insta::assert_snapshot!(env.transcript());
}

#[tokio::test]
async fn slow_answers_reach_the_right_callers() {
    let mut env = TestEnv::start(&Options::default());
    let slow = env.caller(1, "slow", "orders").await;
    let quick = env.caller(1, "quick", "orders").await;
    env.query(&slow, "CREATE TABLE lots (id bigint primary key, kind text)").await;
    env.query(&slow, "INSERT INTO lots VALUES (1, 'oak'), (2, 'pine')").await;
    for round in 1..=3 {
        let slow_sql =
            format!("SELECT kind, 'round {round}' FROM lots WHERE id = 1 /*service_us='40000'*/");
        let quick_sql = format!("SELECT kind, 'round {round}' FROM lots WHERE id = 2");
        let both = future::join(slow.run(&slow_sql), quick.run(&quick_sql));
        let (late, early) = both.await;
        env.record(&format!("{}> {slow_sql}\n{late}", slow.label()));
        env.record(&format!("{}> {quick_sql}\n{early}", quick.label()));
    }
    insta::assert_snapshot!(env.transcript());
}
