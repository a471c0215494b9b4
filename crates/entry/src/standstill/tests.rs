use base::{Span, Time};

use super::StandstillDetector;

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

#[test]
fn silence_during_a_standstill_does_not_count() {
    let mut detector = StandstillDetector::new(at(0));
    assert_eq!(detector.observe(at(50)), None);
    assert_eq!(detector.running_for(at(100)), Span::from_millis(100));
    // Before the thread has noticed the standstill itself.
    assert_eq!(detector.running_for(at(5_450)), Span::ZERO);
    assert_eq!(detector.observe(at(5_450)), Some(Span::from_millis(5_400)));
    assert_eq!(detector.observe(at(5_500)), None);
    assert_eq!(detector.running_for(at(5_700)), Span::from_millis(250));
}
