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

/// Lines buffered for a slow reader; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;
/// Number of times that a flush checks for unwritten lines. With the interval below it waits for
/// at most 200 ms, so that a reader that has stopped does not delay the exit of the process.
const FLUSH_POLLS: u32 = 100;
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Log sink that passes lines to a writer thread over a bounded queue, so that
/// code that logs never waits for the reader of the log.
pub(crate) struct BoundedSink {
    prop: SinkProp,
    tx: mpsc::SyncSender<String>,
    dropped: AtomicU64,
    /// Number of lines that are queued and not written yet.
    waiting: Arc<AtomicU64>,
}

impl BoundedSink {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn new(out: impl Write + Send + 'static) -> io::Result<BoundedSink> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_CAPACITY);
        let waiting = Arc::new(AtomicU64::new(0));
        let unwritten = Arc::clone(&waiting);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &rx, &unwritten))?;
        Ok(BoundedSink { prop: SinkProp::default(), tx, dropped: AtomicU64::new(0), waiting })
    }

    fn enqueue(&self, line: String) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && !self.try_enqueue(dropped_lines_record(dropped)) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if !self.try_enqueue(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn try_enqueue(&self, line: String) -> bool {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        let sent = self.tx.try_send(line).is_ok();
        if !sent {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
        }
        sent
    }
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BoundedSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        let mut cx = formatter::FormatterContext::new();
        self.prop.formatter().format(record, &mut line, &mut cx)?;
        self.enqueue(line.to_string());
        Ok(())
    }

    /// Waits until the queued lines are written, or until the time limit of the flush has
    /// passed because the reader is too slow.
    fn flush(&self) -> spdlog::Result<()> {
        for _ in 0..FLUSH_POLLS {
            if self.waiting.load(Ordering::Acquire) == 0 {
                break;
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

fn write_lines(mut out: impl Write, rx: &mpsc::Receiver<String>, waiting: &AtomicU64) {
    for line in rx {
        let written = out.write_all(line.as_bytes()).and_then(|()| out.flush());
        waiting.fetch_sub(1, Ordering::AcqRel);
        // The reader has closed the output, so the error cannot be logged either.
        if written.is_err() {
            return;
        }
    }
}

/// The log line that reports how many lines were dropped.
fn dropped_lines_record(count: u64) -> String {
    format!("{{\"count\":{count},\"kind\":\"log lines dropped\",\"level\":\"warn\"}}\n")
}

#[cfg(test)]
mod tests;
