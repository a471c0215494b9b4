use std::cell::Cell;

use base::{Span, Time};

/// Log lines about the statements of a session in a period. More than an ordinary caller causes
/// while every statement of its is refused after some retries.
const MAX_LOG_LINES: u32 = 50;
const LOG_PERIOD: Span = Span::from_millis(1_000);
/// Longest text of a caller in a log line.
const MAX_LOGGED_BYTES: usize = 128;

/// Limits the log lines of a session, so that a caller cannot fill the log with statements that
/// fail at once.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    since: Cell<Time>,
    lines: Cell<u32>,
}

impl LogLimit {
    pub(crate) fn allows(&self, now: Time) -> bool {
        if now.since(self.since.get()) >= LOG_PERIOD {
            self.since.set(now);
            self.lines.set(0);
        }
        self.lines.set(self.lines.get().saturating_add(1));
        self.lines.get() <= MAX_LOG_LINES
    }
}

/// The beginning of a caller's text, for a log line of limited length.
pub fn excerpt(text: &str) -> &str {
    let mut end = text.len().min(MAX_LOGGED_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
