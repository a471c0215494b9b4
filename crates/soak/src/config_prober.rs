use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future;
use tokio::{sync::watch, time};

use crate::{
    config_history::Treatment,
    daemon_addrs::DaemonAddrs,
    history::History,
    line_conn::{LineConn, Reply},
};

/// Interval between the requests for the extra database at one daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// The extra database is public.
const NO_KEY: &str = "";

/// Asks every daemon for the extra database all the time, also while the daemon stands still, and
/// checks that no answer follows from an outdated configuration.
pub(crate) struct ConfigProber {
    pub(crate) daemons: DaemonAddrs,
    pub(crate) database: &'static str,
    pub(crate) history: Rc<RefCell<History>>,
}

impl ConfigProber {
    /// Runs until `stop` is set.
    pub(crate) async fn run(self, mut stop: watch::Receiver<bool>) {
        let probes = (0..self.daemons.len()).map(|daemon| self.probe_daemon(daemon));
        let stopped = async {
            // Fails only if the run has ended.
            let _ = stop.wait_for(|stop| *stop).await;
        };
        tokio::select! {
            _ = future::join_all(probes) => {}
            () = stopped => {}
        }
    }

    async fn probe_daemon(&self, daemon: usize) {
        for number in 0_u64.. {
            let sent_at = Instant::now();
            let opened = LineConn::open(self.daemons.get(daemon), self.database, NO_KEY).await;
            match opened {
                Err(Some(answer)) if answer.starts_with("ERROR NODB") => {
                    self.check(daemon, Treatment::Denied, sent_at);
                }
                Ok(mut conn) => {
                    let sent_at = Instant::now();
                    let request = format!("p{daemon}q{number}");
                    self.history.borrow_mut().keys.send(&request, NO_KEY);
                    let reply = conn.query(&request, "FETCH probe").await;
                    match reply {
                        Reply::Success(_) => self.check(daemon, Treatment::Run, sent_at),
                        Reply::InDoubt(text) if text.starts_with("NODB") => {
                            self.check(daemon, Treatment::Denied, sent_at);
                        }
                        _ => {}
                    }
                }
                Err(_) => {}
            }
            time::sleep(PROBE_INTERVAL).await;
        }
    }

    fn check(&self, daemon: usize, treatment: Treatment, sent_at: Instant) {
        let mut history = self.history.borrow_mut();
        if history.config.is_outdated(treatment, sent_at) {
            let violation = format!(
                "configuration: daemon {daemon}, {treatment:?} as only an outdated one allows, \
                 {:?} after the request",
                sent_at.elapsed()
            );
            history.violations.push(violation);
        }
    }
}
