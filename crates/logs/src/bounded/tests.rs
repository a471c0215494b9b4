use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use super::{BoundedSink, QUEUE_CAPACITY};

/// Writer that blocks each write until its channel receives a message or is closed.
struct BlockedWriter {
    unblock: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.unblock.recv();
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// The writer blocks on a reader that reads nothing, so the queue fills up. Logging must go on
// and, once the reader continues, report how many lines were dropped.
#[test]
fn blocked_reader_does_not_block_logging_and_sees_the_dropped_count() {
    let (unblock, rx) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let sink =
        BoundedSink::new(BlockedWriter { unblock: rx, written: Arc::clone(&written) }).unwrap();
    for number in 0..QUEUE_CAPACITY + 100 {
        sink.enqueue(format!("line {number}\n"));
    }
    drop(unblock);
    let drop_is_reported = || {
        sink.enqueue("last\n".to_owned());
        std::thread::sleep(Duration::from_millis(5));
        String::from_utf8(written.lock().unwrap().clone()).unwrap().contains("log lines dropped")
    };
    assert!((0..1_000).any(|_| drop_is_reported()));
}
