//! The operators' table: concurrent edits, distribution to the VMs and invalid input.

use std::{fs, time::Instant};

use cli::Args;
use ctl::Command;
use e2e::TestEnv;
use futures_util::future;
use trial::{Options, PEER_SECRET};

/// Runs the operators' command-line tool. Returns its output or its error.
async fn ctl(env: &TestEnv, words: &[&str]) -> Result<String, String> {
    let platform = env.cluster.platform().to_string();
    let mut all = vec!["--platform", &platform, "--secret", PEER_SECRET];
    all.extend(words);
    let command = Command::parse(Args::from_list(&all)).map_err(|error| error.to_string())?;
    command.run().await.map_err(|error| error.to_string())
}

/// Writes the applied table, changed by `edit`, to a file. Returns the path.
async fn write_edited_table(
    env: &TestEnv,
    name: &str,
    edit: impl FnOnce(String) -> String,
) -> String {
    let text = ctl(env, &["table", "get"]).await.expect("a table");
    let file = std::env::temp_dir().join(format!("{}-{name}.csv", env.cluster.platform().port()));
    fs::write(&file, edit(text)).expect("written");
    file.display().to_string()
}

/// Sets the weight of the row that starts with `row`.
fn weight(text: &str, row: &str, weight: u32) -> String {
    let lines = text.lines().map(|line| match line.strip_prefix(row) {
        Some(rest) => {
            let (_, rest) = rest.split_once(',').expect("more cells");
            format!("{row}{weight},{rest}\n")
        }
        None => format!("{line}\n"),
    });
    lines.collect()
}

const ORDERS: &str = "orders,submission,base-prensa-1,";
const LOOKUPS: &str = "pedidos,lookup,base-prensa-1,";

#[tokio::test]
async fn concurrent_edits_of_different_rows_are_merged_and_applied_on_every_vm() {
    let env = TestEnv::start(&Options::default());
    let first = write_edited_table(&env, "first", |text| weight(&text, ORDERS, 7)).await;
    let second = write_edited_table(&env, "second", |text| weight(&text, LOOKUPS, 9)).await;
    let started = Instant::now();
    let (one, two) = future::join(
        ctl(&env, &["table", "put", &first, "--from", "1"]),
        ctl(&env, &["table", "put", &second, "--from", "1"]),
    )
    .await;
    println!("applied after {} ms", started.elapsed().as_millis());
    for outcome in [one, two] {
        let outcome = outcome.expect("different rows");
        assert_eq!(outcome.matches("in force").count(), 3, "{outcome}");
    }
    let table = ctl(&env, &["table", "get"]).await.expect("a table");
    assert!(table.contains(&format!("{ORDERS}7,")), "{table}");
    assert!(table.contains(&format!("{LOOKUPS}9,")), "{table}");
    let history = ctl(&env, &["table", "history"]).await.expect("a history");
    assert_eq!(history.lines().count(), 3, "{history}");
}

#[tokio::test]
async fn a_concurrent_edit_of_the_same_cell_is_refused_and_shows_both_values() {
    let env = TestEnv::start(&Options::default());
    let first = write_edited_table(&env, "first", |text| weight(&text, ORDERS, 7)).await;
    let second = write_edited_table(&env, "second", |text| weight(&text, ORDERS, 9)).await;
    ctl(&env, &["table", "put", &first, "--from", "1"]).await.expect("the first");
    let error = ctl(&env, &["table", "put", &second, "--from", "1"]).await.expect_err("late");
    assert!(error.contains("in force \"7\", refused \"9\""), "{error}");
    assert!(
        ctl(&env, &["table", "get"])
            .await
            .expect("a table")
            .contains("orders,submission,base-prensa-1,7,")
    );
}

#[tokio::test]
async fn a_lost_reply_does_not_apply_an_edit_twice() {
    let env = TestEnv::start(&Options::default());
    let file = write_edited_table(&env, "lost", |text| weight(&text, ORDERS, 7)).await;
    env.platform().faults(serde_json::json!({ "lose_replies": 1 })).await;
    let outcome = ctl(&env, &["table", "put", &file, "--from", "1"]).await.expect("settled");
    assert!(outcome.starts_with("accepted as version 2\n"), "{outcome}");
    assert_eq!(ctl(&env, &["table", "history"]).await.expect("a history").lines().count(), 2);
}

#[tokio::test]
async fn a_table_with_an_invalid_row_is_refused_entirely() {
    let env = TestEnv::start(&Options::default());
    let file = write_edited_table(&env, "bad", |text| {
        format!("{}late,nonsense,base-prensa-1,1,0,0,0,0,0,0,replica\n", weight(&text, ORDERS, 7))
    })
    .await;
    for words in [&["table", "check", &file][..], &["table", "put", &file, "--from", "1"]] {
        let error = ctl(&env, words).await.expect_err("bad");
        assert!(error.contains("column rank: \"nonsense\"; allowed: submission"), "{error}");
    }
    assert_eq!(ctl(&env, &["table", "history"]).await.expect("a history").lines().count(), 1);
}

#[tokio::test]
async fn status_shows_one_home_for_each_group_and_the_table_of_each_vm() {
    let env = TestEnv::start(&Options::default());
    let file = write_edited_table(&env, "status", |text| weight(&text, ORDERS, 7)).await;
    ctl(&env, &["table", "put", &file, "--from", "1"]).await.expect("accepted");
    let status = ctl(&env, &["status"]).await.expect("status");
    assert_eq!(status.matches("table 2").count(), 3, "{status}");
    assert_eq!(status.matches("home of").count(), 3, "{status}");
}

#[tokio::test]
async fn explain_shows_the_member_and_the_reason() {
    let env = TestEnv::start(&Options::default());
    let text = ctl(&env, &["explain", "pedidos", "lookup"]).await.expect("a home");
    assert!(text.contains("write: base-prensa-1-a: writes and current reads"), "{text}");
    let error = ctl(&env, &["explain", "nowhere", "lookup"]).await.expect_err("unknown");
    assert!(error.contains("no daemon answers"), "{error}");
    let usage = ctl(&env, &["explain", "pedidos", "urgent"]).await.expect_err("a rank");
    assert!(usage.contains("expected submission, lookup or report"), "{usage}");
    assert!(ctl(&env, &["fly"]).await.expect_err("unknown").contains("\"fly\""));
}

/// The operators were told that both edits are in force.
#[tokio::test]
async fn an_accepted_table_stays_in_force_when_the_store_loses_it() {
    let env = TestEnv::start(&Options::default());
    let platform = env.platform();
    platform.copy().await;
    let lost = write_edited_table(&env, "lost", |text| weight(&text, ORDERS, 7)).await;
    ctl(&env, &["table", "put", &lost, "--from", "1"]).await.expect("accepted");
    platform.restore().await;
    // Without the lost version the edit would get its number, and no daemon would apply it.
    let next = write_edited_table(&env, "next", |text| weight(&text, LOOKUPS, 9)).await;
    let output = ctl(&env, &["table", "put", &next, "--from", "1"]).await.expect("accepted");
    assert!(output.starts_with("accepted as version 3, merged with other edits"), "{output}");
    assert!(!output.contains("not"), "{output}");
    let table = ctl(&env, &["table", "get"]).await.expect("a table");
    assert!(
        table.contains(&format!("{ORDERS}7,")) && table.contains(&format!("{LOOKUPS}9,")),
        "{table}"
    );
}
