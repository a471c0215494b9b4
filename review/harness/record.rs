use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What was sent, answered and run, in the order in which it was seen.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7}.{:03} {text}", at / 1_000, at % 1_000);
    }
}
