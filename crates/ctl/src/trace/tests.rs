use super::{collect_lines, trace};

const LOG: &str = r#"{"kind":"readiness","ready":true,"time_ms":0}
{"kind":"start","time_ms":1}
{"kind":"primary","group":"g1","primary":"m1","time_ms":2}
{"kind":"primary","group":"g2","primary":"m4","time_ms":3}
{"kind":"primary","group":"g1","primary":"m2","time_ms":4}
no JSON
{"kind":"answered","request":"other","time_ms":5}
{"kind":"answered","request":"wanted","outcome":"BUSY","time_ms":6}
{"kind":"readiness","ready":false,"time_ms":7}
"#;

#[test]
fn trace_shows_the_last_state_lines_before_the_request() {
    let mut lines = Vec::new();
    collect_lines("wanted", "d1.log", LOG, &mut lines);
    let mut times: Vec<_> = lines.iter().map(|line| line.at_ms).collect();
    times.sort_unstable();
    assert_eq!(times, [1, 3, 4, 6]);
}

#[test]
fn trace_reports_a_request_that_no_line_names() {
    let file = std::env::temp_dir().join(format!("trace-{}.log", std::process::id()));
    std::fs::write(&file, LOG).expect("the log file can be written");
    let text = trace("absent", std::slice::from_ref(&file)).expect("the file can be read");
    std::fs::remove_file(&file).expect("the log file can be removed");
    assert!(text.starts_with("absent: no line names it"), "{text}");
    assert!(trace("absent", &[file]).is_err(), "the file is gone");
}
