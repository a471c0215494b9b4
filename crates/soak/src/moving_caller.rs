use std::{cell::RefCell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::watch, time};

use crate::{
    daemon_addrs::DaemonAddrs,
    history::{History, WriteOutcome},
    line_conn::{LineConn, Reply},
    organisations,
};

/// Range of the pause before COMMIT, in ms: within it, the database can move to another group and
/// that group's or the earlier one's primary can be replaced.
const PAUSE_MS: std::ops::Range<u64> = 0..2_500;
const RECONNECT_DELAY: Duration = Duration::from_millis(60);

/// A caller whose transactions stay open while their database moves to another group.
pub(crate) struct MovingCaller {
    pub(crate) number: usize,
    pub(crate) seed: u64,
    pub(crate) daemons: DaemonAddrs,
    pub(crate) database: &'static str,
    pub(crate) history: Rc<RefCell<History>>,
}

impl MovingCaller {
    /// Runs transactions until `stop` is set, and then ends after the one in progress.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        // Streams of their own, apart from those of the other callers.
        rng.set_stream(u64::MAX - self.number as u64);
        let mut transactions = 0_u64;
        while !*stop.borrow() {
            let daemon = self.daemons.get(rng.random_range(0..self.daemons.len()));
            let key = self.history.borrow().keys.newest(&organisations::name(self.number));
            if let Ok(mut conn) = LineConn::open(daemon, self.database, &key).await {
                transactions += 1;
                let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
                self.run_transaction(&mut conn, &key, transactions, pause).await;
            }
            time::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn run_transaction(
        &self,
        conn: &mut LineConn,
        key: &str,
        transaction: u64,
        pause: Duration,
    ) {
        let id = |step: &str| format!("m{}t{transaction}{step}", self.number);
        let store = format!("STORE m{}t{transaction} x", self.number);
        for (step, text) in [("b", "BEGIN"), ("s", store.as_str())] {
            self.history.borrow_mut().keys.send(&id(step), key);
            if !matches!(conn.query(&id(step), text).await, Reply::Success(_)) {
                return;
            }
        }
        time::sleep(pause).await;
        let commit = id("c");
        self.record(&commit, WriteOutcome::InDoubt);
        self.history.borrow_mut().keys.send(&commit, key);
        match conn.query(&commit, "COMMIT").await {
            Reply::Success(_) => self.record(&commit, WriteOutcome::Acknowledged),
            Reply::NotCommitted(_) => self.record(&commit, WriteOutcome::NotCommitted),
            Reply::InDoubt(_) | Reply::NoResponse => {}
        }
    }

    fn record(&self, commit: &str, outcome: WriteOutcome) {
        self.history.borrow_mut().writes.insert(commit.to_owned(), outcome);
    }
}
