use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use spdlog::{
    Record, StringBuf, formatter,
    sink::{GetSinkProp, Sink, SinkProp},
};

/// Lines that wait for a slow reader; further ones are dropped and counted.
const WAITING_LINES: usize = 4_096;
/// How a flush waits, 200 ms in all: it is only asked for when the process ends.
const FLUSH_LOOKS: u32 = 100;
const FLUSH_LOOK_EVERY: Duration = Duration::from_millis(2);

/// Hands lines to a thread that writes them, so that nobody waits for the reader of
/// the log.
pub(crate) struct Bounded {
    prop: SinkProp,
    lines: mpsc::SyncSender<String>,
    dropped: AtomicU64,
    /// Lines handed over and not written yet.
    waiting: Arc<AtomicU64>,
}

impl Bounded {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub(crate) fn new(out: impl Write + Send + 'static) -> io::Result<Bounded> {
        let (lines, rx) = mpsc::sync_channel(WAITING_LINES);
        let waiting = Arc::new(AtomicU64::new(0));
        let left = Arc::clone(&waiting);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &rx, &left))?;
        Ok(Bounded { prop: SinkProp::default(), lines, dropped: AtomicU64::new(0), waiting })
    }

    fn hand_over(&self, line: String) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && !self.send(dropped_line(dropped)) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if !self.send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn send(&self, line: String) -> bool {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
        }
        sent
    }
}

impl GetSinkProp for Bounded {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for Bounded {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        let mut cx = formatter::FormatterContext::new();
        self.prop.formatter().format(record, &mut line, &mut cx)?;
        self.hand_over(line.to_string());
        Ok(())
    }

    /// Waits for what was handed over, but not for a reader that is stuck.
    fn flush(&self) -> spdlog::Result<()> {
        for _ in 0..FLUSH_LOOKS {
            if self.waiting.load(Ordering::Acquire) == 0 {
                break;
            }
            thread::sleep(FLUSH_LOOK_EVERY);
        }
        Ok(())
    }
}

fn write_lines(mut out: impl Write, lines: &mpsc::Receiver<String>, waiting: &AtomicU64) {
    for line in lines {
        let written = out.write_all(line.as_bytes()).and_then(|()| out.flush());
        waiting.fetch_sub(1, Ordering::AcqRel);
        // Without a reader there is nobody left to tell.
        if written.is_err() {
            return;
        }
    }
}

fn dropped_line(count: u64) -> String {
    format!("{{\"count\":{count},\"kind\":\"log lines dropped\",\"level\":\"warn\"}}\n")
}

#[cfg(test)]
mod tests;
