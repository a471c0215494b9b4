use std::fs;

use base::FastMap;

const PAGE_BYTES: u64 = 4_096;
/// Linux reports processor time in hundredths of a second.
const MILLIS_PER_TICK: u64 = 10;
/// Indices of user and system time among the fields that follow the thread's name in its `stat`
/// file.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// Processor time and loopback traffic so far, as counted by the operating system.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    threads: FastMap<String, u64>,
    loopback: u64,
}

impl Usage {
    /// Reads the current counters.
    pub(crate) fn now() -> Usage {
        Usage { threads: thread_times(), loopback: read_loopback_bytes() }
    }

    /// Total processor time of the process's threads with this name, in milliseconds.
    pub(crate) fn thread_millis(&self, name: &str) -> u64 {
        self.threads.get(name).copied().unwrap_or_default()
    }

    /// Bytes sent over the loopback interface by all processes of the machine.
    pub(crate) fn loopback_bytes(&self) -> u64 {
        self.loopback
    }
}

/// Resident memory of this process; 0 if it cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn thread_times() -> FastMap<String, u64> {
    let mut times = FastMap::default();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return times };
    for task in tasks.flatten() {
        let Ok(text) = fs::read_to_string(task.path().join("stat")) else { continue };
        if let Some((name, millis)) = thread_time(&text) {
            *times.entry(name).or_default() += millis;
        }
    }
    times
}

fn thread_time(text: &str) -> Option<(String, u64)> {
    let (_, rest) = text.split_once('(')?;
    let (name, rest) = rest.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = CPU_TIME_FIELDS.map(|place| fields.get(place)?.parse::<u64>().ok());
    let [Some(user), Some(system)] = ticks else { return None };
    Some((name.to_owned(), (user + system) * MILLIS_PER_TICK))
}

fn read_loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|rest| rest.split_whitespace().next());
    received.and_then(|field| field.parse().ok()).unwrap_or_default()
}
