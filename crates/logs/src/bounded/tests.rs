use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use super::{Bounded, WAITING_LINES};

/// A reader that takes nothing until it is let go.
struct Stuck {
    go: mpsc::Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.go.recv();
        self.seen.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stuck_reader_blocks_nobody_and_learns_what_was_dropped() {
    let (go, rx) = mpsc::channel();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let sink = Bounded::new(Stuck { go: rx, seen: Arc::clone(&seen) }).unwrap();
    for number in 0..WAITING_LINES + 100 {
        sink.hand_over(format!("line {number}\n"));
    }
    drop(go);
    let told = || {
        sink.hand_over("last\n".to_owned());
        std::thread::sleep(Duration::from_millis(5));
        String::from_utf8(seen.lock().unwrap().clone()).unwrap().contains("log lines dropped")
    };
    assert!((0..1_000).any(|_| told()));
}
