use super::commits;
use crate::history::{History, WriteOutcome};

fn check(outcome: Option<WriteOutcome>, kept: &[(&str, usize)], expected: &str) {
    let mut history = History::default();
    if let Some(outcome) = outcome {
        history.writes.insert("r1".to_owned(), outcome);
    }
    let kept = kept.iter().map(|(request, writes)| ((*request).to_owned(), *writes)).collect();
    commits(&mut history, &[kept]);
    let words: Vec<_> = history.violations.iter().filter_map(|it| it.split(':').next()).collect();
    assert_eq!(words.join(" "), expected);
}

#[test]
fn each_kind_of_violation_is_detected() {
    check(Some(WriteOutcome::Acknowledged), &[("r1", 1)], "");
    check(Some(WriteOutcome::Acknowledged), &[], "lost");
    check(Some(WriteOutcome::Acknowledged), &[("r1", 1), ("r1", 1)], "twice");
    check(Some(WriteOutcome::NotCommitted), &[("r1", 1)], "kept");
    check(Some(WriteOutcome::NotCommitted), &[], "");
    check(Some(WriteOutcome::InDoubt), &[], "");
    check(Some(WriteOutcome::InDoubt), &[("r1", 2)], "");
    check(Some(WriteOutcome::InDoubt), &[("r1", 3)], "mixed");
    check(None, &[("r1", 1)], "unasked");
}
