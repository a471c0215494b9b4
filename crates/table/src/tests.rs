use base::{GroupId, Rank, Span};

use crate::{Acknowledgement, HEADER, MergeError, Table, merge};

const ROWS: [&str; 3] = [
    "orders,submission,g1,4,20,0,0,64,250,0,replica",
    "pedidos,lookup,g1,2,10,8,100,0,100,2000,primary",
    "db-7,report,g1,1,0,1,0,10,0,5000,replica",
];

fn table(rows: &[&str]) -> Table {
    Table::parse(&csv(rows)).expect("valid table")
}

fn csv(rows: &[&str]) -> String {
    format!("{HEADER}\n{}\n", rows.join("\n"))
}

#[test]
fn names_map_to_their_group() {
    let table = table(&ROWS);
    let group = GroupId::new("g1");
    for name in ["orders", "pedidos", "db-7"] {
        assert_eq!(table.group(name), Some(&group));
    }
    assert_eq!(table.group("Orders"), None);
}

#[test]
fn cells_are_parsed_into_policies() {
    let policy = table(&ROWS).policy("pedidos", Rank::Lookup);
    assert_eq!((policy.weight, policy.floor), (2, 10));
    assert_eq!((policy.in_flight, policy.per_second, policy.queue), (Some(8), Some(100), None));
    assert_eq!(policy.age, Some(Span::from_millis(2000)));
    assert_eq!(policy.ack, Acknowledgement::Primary);
}

#[test]
fn csv_round_trips() {
    let table = table(&ROWS);
    assert_eq!(Table::parse(&table.to_csv()).expect("own text"), table);
}

#[test]
fn errors_name_line_column_and_allowed_values() {
    fn check(rows: &[&str], expected: &str) {
        let error = Table::parse(&csv(rows)).expect_err("a bad table");
        assert_eq!(error.to_string(), expected);
    }
    check(
        &["a,urgent,g1,1,0,0,0,0,0,0,replica"],
        "line 2, column rank: \"urgent\"; allowed: submission, lookup or report",
    );
    check(
        &[ROWS[0], "a,lookup,g1,0,0,0,0,0,0,0,replica"],
        "line 3, column weight: \"0\"; allowed: a whole number from 1 to 10000",
    );
    check(
        &["a,lookup,g1,1,0,0,0,0,0,0,maybe"],
        "line 2, column ack: \"maybe\"; allowed: replica or primary",
    );
    check(
        &[",lookup,g1,1,0,0,0,0,0,0,replica"],
        "line 2, column name: \"\"; allowed: 1 to 63 characters, none of them a control character",
    );
    check(&[ROWS[0], ROWS[0]], "line 3, column rank: duplicate row for \"orders\" rank submission");
    check(
        &[ROWS[0], "orders,report,g2,1,0,0,0,0,0,0,replica"],
        "line 3, column group: \"orders\" maps to g2; allowed: g1, as in its other rows",
    );
    check(
        &["a,lookup,g1,1,60,0,0,0,0,0,replica", "b,lookup,g1,1,50,0,0,0,0,0,replica"],
        "column floor: the rows of group g1 add up to 110 percent; allowed: at most 100",
    );
    check(&[], "line 2: the table has no rows; allowed: one or more");
}

#[test]
fn short_lines_and_wrong_headers_are_rejected() {
    let short = Table::parse(&csv(&["a,lookup,g1"])).expect_err("short").to_string();
    assert!(short.starts_with("line 2: "), "{short}");
    let header = Table::parse("name,rank\n").expect_err("header").to_string();
    assert!(header.starts_with("line 1: expected the header"), "{header}");
}

#[test]
fn edits_of_different_cells_merge() {
    let base = table(&ROWS);
    let applied = table(&["orders,submission,g1,9,20,0,0,64,250,0,replica", ROWS[1], ROWS[2]]);
    let edited = table(&[
        "orders,submission,g1,4,20,0,0,128,250,0,replica",
        ROWS[1],
        "new,lookup,g2,1,0,0,0,0,0,0,replica",
    ]);
    let merged = merge(&base, &applied, &edited).expect("no common cell");
    let policy = merged.policy("orders", Rank::Submission);
    assert_eq!((policy.weight, policy.queue), (9, Some(128)));
    assert_eq!(merged.group("db-7"), None);
    assert_eq!(merged.group("new"), Some(&GroupId::new("g2")));
}

#[test]
fn conflicting_edits_of_a_cell_are_reported_with_both_values() {
    let base = table(&ROWS);
    let applied = table(&["orders,submission,g1,9,20,0,0,64,250,0,replica", ROWS[1], ROWS[2]]);
    let edited = table(&["orders,submission,g1,7,20,0,0,64,250,0,replica", ROWS[1], ROWS[2]]);
    let error = merge(&base, &applied, &edited).expect_err("same cell");
    assert_eq!(
        error.to_string(),
        "\"orders\" rank submission, column weight: in force \"9\", refused \"7\""
    );
}

#[test]
fn removing_a_row_that_the_other_edit_changed_is_a_conflict() {
    let base = table(&ROWS);
    let applied = table(&["orders,submission,g1,9,20,0,0,64,250,0,replica", ROWS[1]]);
    let edited = table(&[ROWS[1], ROWS[2]]);
    let error = merge(&base, &applied, &edited).expect_err("row");
    assert!(matches!(&error, MergeError::Conflicts { conflicts } if conflicts.len() == 1));
}

#[test]
fn an_invalid_merge_result_is_rejected() {
    let base = table(&ROWS);
    let applied = table(&["orders,submission,g1,4,70,0,0,64,250,0,replica", ROWS[1], ROWS[2]]);
    let edited = table(&[ROWS[0], "pedidos,lookup,g1,2,60,8,100,0,100,2000,primary", ROWS[2]]);
    assert!(matches!(merge(&base, &applied, &edited), Err(MergeError::Invalid { .. })));
}
