use super::commits;
use crate::history::{Fate, History};

fn check(fate: Option<Fate>, kept: &[(&str, usize)], expected: &str) {
    let mut history = History::default();
    if let Some(fate) = fate {
        history.writes.insert("r1".to_owned(), fate);
    }
    let kept = kept.iter().map(|(request, writes)| ((*request).to_owned(), *writes)).collect();
    commits(&mut history, &[kept]);
    let words: Vec<_> = history.broken.iter().filter_map(|it| it.split(':').next()).collect();
    assert_eq!(words.join(" "), expected);
}

#[test]
fn each_broken_promise_is_noticed() {
    check(Some(Fate::Acknowledged), &[("r1", 1)], "");
    check(Some(Fate::Acknowledged), &[], "lost");
    check(Some(Fate::Acknowledged), &[("r1", 1), ("r1", 1)], "twice");
    check(Some(Fate::NotKept), &[("r1", 1)], "kept");
    check(Some(Fate::NotKept), &[], "");
    check(Some(Fate::Open), &[], "");
    check(Some(Fate::Open), &[("r1", 2)], "");
    check(Some(Fate::Open), &[("r1", 3)], "mixed");
    check(None, &[("r1", 1)], "unasked");
}
