//! A submission is executed at most once. With an idempotency key it can safely be repeated.

use e2e::{Caller, TestEnv};
use futures_util::future;
use trial::Options;

async fn start_with_entries_table() -> (TestEnv, Caller) {
    let env = TestEnv::start(&Options::default());
    let clerk = env.caller(1, "clerk", "orders").await;
    clerk.run("CREATE TABLE entries (id integer primary key, ferret text)").await;
    (env, clerk)
}

fn insert_sql(ferret: &str, key: &str) -> String {
    format!(
        "INSERT INTO entries (ferret) VALUES ('{ferret}') RETURNING id /*idempotency_key='{key}'*/"
    )
}

async fn count(caller: &Caller) -> String {
    caller.run("SELECT count(*) FROM entries").await
}

#[tokio::test]
async fn a_key_gives_one_row_and_the_same_answer_through_every_daemon() {
    let (mut env, clerk) = start_with_entries_table().await;
    for daemon in 1..=3 {
        let caller = env.caller(daemon, "breeder", "pedidos").await;
        env.query(&caller, &insert_sql("Kiku", "k-1")).await;
    }
    env.query(&clerk, &insert_sql("Hana", "k-1")).await;
    env.query(&clerk, &insert_sql("Hana", "k-2")).await;
    env.record("# a failed submission does not record its key");
    env.query(&clerk, "INSERT INTO entries VALUES (1, 'x') /*idempotency_key='k-3'*/").await;
    env.query(&clerk, "INSERT INTO entries VALUES (9, 'y') /*idempotency_key='k-3'*/").await;
    env.record("# the setting applies to one submission only");
    env.query(&clerk, "SET corianderwharf.idempotency_key = 'k-4'").await;
    env.query(&clerk, "INSERT INTO entries (ferret) VALUES ('Momo')").await;
    env.query(&clerk, "SHOW corianderwharf.idempotency_key").await;
    env.query(&clerk, "BEGIN").await;
    env.query(&clerk, &insert_sql("Sora", "k-5")).await;
    env.query(&clerk, "ROLLBACK").await;
    env.query(&clerk, "SELECT id, ferret FROM entries ORDER BY id").await;
    insta::assert_snapshot!(env.transcript());
}

#[tokio::test]
async fn a_lost_answer_is_an_error_without_a_key_and_replayed_with_one() {
    let (mut env, clerk) = start_with_entries_table().await;
    env.set_fault("base-prensa-1-a", "lose_answer", 1).await;
    env.query(&clerk, "INSERT INTO entries (ferret) VALUES ('Kiku')").await;
    env.query(
        &clerk,
        "INSERT INTO entries (ferret) VALUES ('warms the key table') /*idempotency_key='k-0'*/",
    )
    .await;
    env.set_fault("base-prensa-1-a", "lose_answer", 1).await;
    env.query(&clerk, &insert_sql("Hana", "k-1")).await;
    env.query(&clerk, "SELECT id, ferret FROM entries ORDER BY id").await;
    insta::assert_snapshot!(env.transcript());
}

#[tokio::test]
async fn concurrent_submissions_with_one_key_run_once() {
    let (env, clerk) = start_with_entries_table().await;
    let submissions = (0..9).map(|number| {
        let env = &env;
        async move {
            let caller = env.caller(number % 3 + 1, "breeder", "orders").await;
            caller.run(&insert_sql("Kiku", "k-1")).await
        }
    });
    let answers = future::join_all(submissions).await;
    for answer in &answers {
        assert_eq!(answer, "  1\n  done 1\n");
    }
    assert_eq!(count(&clerk).await, "  1\n  done 1\n");
}

#[tokio::test]
async fn a_submission_with_a_key_survives_a_change_of_primary() {
    let (env, clerk) = start_with_entries_table().await;
    clerk.run(&insert_sql("Hana", "k-0")).await;
    let breeder = env.caller(2, "breeder", "orders").await;
    env.set_fault("base-prensa-1-a", "cut", 1).await;
    let text = insert_sql("Kiku", "k-1");
    let submission = breeder.run(&text);
    let failure = async {
        // The old primary executes the submission but cannot replicate it.
        env.set_fault("base-prensa-1-a", "late_ms", 50).await;
        env.set_fault("base-prensa-1-a", "paused", 1).await;
    };
    let (answer, ()) = future::join(submission, failure).await;
    assert_eq!(answer, "  2\n  done 1\n");
    assert_eq!(count(&clerk).await, "  2\n  done 1\n");
}

#[tokio::test]
async fn a_key_works_in_the_extended_protocol() {
    let (env, clerk) = start_with_entries_table().await;
    let sql = "INSERT INTO entries (ferret) VALUES ($1) RETURNING ferret /*idempotency_key='k-1'*/";
    for daemon in 1..=3 {
        let caller = env.caller(daemon, "breeder", "orders").await;
        let row = caller.client().query_one(sql, &[&"Kiku"]).await.expect("answered");
        assert_eq!(row.get::<_, String>(0), "Kiku");
    }
    assert_eq!(count(&clerk).await, "  1\n  done 1\n");
}

/// The answer to a commit is lost, and the table's limits leave no room for the retry that would
/// find it. The submission has run, so the caller must not be told that it has not.
#[tokio::test]
async fn a_submission_that_ran_is_not_reported_as_not_run_when_its_retry_is_refused() {
    for daemon in 1..=3 {
        let table = Some(TestEnv::table_with_rate_limit("orders", "pedidos"));
        let mut options = Options { table, ..Options::default() };
        options.timing.wait_ms = 400;
        let env = TestEnv::start(&options);
        let setup = env.caller(daemon, "clerk", "pedidos").await;
        setup.run("CREATE TABLE entries (id integer primary key, ferret text)").await;
        setup.run(&insert_sql("Hana", "k-0")).await;
        env.set_fault("base-prensa-1-a", "lose_answer", 1).await;
        let clerk = env.caller(daemon, "clerk", "orders").await;
        let answer = clerk.run(&insert_sql("Kiku", "k-1")).await;
        assert!(answer.contains("error 08007") && !answer.contains("Not run"), "{answer}");
        assert_eq!(count(&setup).await, "  2\n  done 1\n", "it has run");
        assert_eq!(setup.run(&insert_sql("Kiku", "k-1")).await, "  2\n  done 1\n");
    }
}
