use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::watch, time};

use crate::{
    daemon_addrs::DaemonAddrs,
    history::{History, WriteOutcome},
    line_conn::{LineConn, Reply},
    organisations,
};

/// Maximum staleness that the stand-in configures for the `lookups` databases.
const MAX_STALENESS: Duration = Duration::from_millis(2_500);
const MAX_SESSION_STATEMENTS: u64 = 30;
const MAX_THINK_TIME_MS: u64 = 30;
const MAX_RECONNECT_DELAY_MS: u64 = 150;

/// A caller that writes increasing numbers to items of its own and reads them back through
/// randomly chosen daemons.
pub(crate) struct Caller {
    pub(crate) name: String,
    pub(crate) daemons: DaemonAddrs,
    pub(crate) groups: usize,
    pub(crate) history: Rc<RefCell<History>>,
    pub(crate) rng: ChaCha8Rng,
    /// Organisation that the caller belongs to.
    organisation: String,
    /// API key that it uses at present.
    key: String,
    /// Whether the key was denied, so that the session has ended.
    is_denied: bool,
    /// Whether a session is used until it breaks or is closed.
    keeps_sessions: bool,
    requests: u64,
    last_number: u64,
    /// For each group, the acknowledged numbers and when they were acknowledged.
    acknowledged: Vec<BTreeMap<u64, Instant>>,
    /// Numbers whose writes were sent or are in doubt, and may still take effect.
    pending: Vec<u64>,
}

struct Session {
    conn: LineConn,
    daemon: usize,
    group: usize,
    /// Whether its reads may return data up to `MAX_STALENESS` old.
    bounded_staleness: bool,
    /// Highest number acknowledged in this session.
    last_acknowledged: u64,
}

impl Caller {
    pub(crate) fn new(
        number: usize,
        seed: u64,
        daemons: DaemonAddrs,
        groups: usize,
        history: Rc<RefCell<History>>,
    ) -> Caller {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number as u64 + 1);
        Caller {
            name: format!("c{number}"),
            daemons,
            groups,
            history,
            rng,
            organisation: organisations::name(number),
            key: String::new(),
            is_denied: true,
            keeps_sessions: number.is_multiple_of(3),
            requests: 0,
            last_number: 0,
            acknowledged: vec![BTreeMap::new(); groups],
            pending: Vec::new(),
        }
    }

    /// Runs statements until `stop` is set, and then ends after the statement in progress.
    pub(crate) async fn run(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let daemon = self.rng.random_range(0..self.daemons.len());
            let group = self.rng.random_range(0..self.groups);
            let bounded_staleness = self.rng.random_bool(0.5);
            let database = if bounded_staleness { "lookups" } else { "orders" };
            // A key is often used until it is denied, which is long after its revocation.
            if self.is_denied || self.rng.random_bool(0.1) {
                self.key = self.history.borrow().keys.newest(&self.organisation);
            }
            self.is_denied = false;
            let database = format!("{database}{group}");
            let opened = LineConn::open(self.daemons.get(daemon), &database, &self.key).await;
            self.is_denied = matches!(&opened, Err(Some(line)) if line.starts_with("ERROR NOAUTH"));
            if let Ok(conn) = opened {
                let mut session =
                    Session { conn, daemon, group, bounded_staleness, last_acknowledged: 0 };
                // If the session fails, the next iteration opens another one.
                let _ = self.use_session(&mut session, &stop).await;
            }
            let delay = self.rng.random_range(10..MAX_RECONNECT_DELAY_MS);
            time::sleep(Duration::from_millis(delay)).await;
        }
    }

    async fn use_session(
        &mut self,
        session: &mut Session,
        stop: &watch::Receiver<bool>,
    ) -> Option<()> {
        let text = format!("SET tag {}", self.name);
        self.execute(session, &text).await.1?.ok()?;
        let statements = self.rng.random_range(1..MAX_SESSION_STATEMENTS);
        let statements = if self.keeps_sessions { u64::MAX } else { statements };
        for _ in 0..statements {
            if *stop.borrow() {
                return Some(());
            }
            match self.rng.random_range(0..10) {
                0..3 => self.write(session).await?,
                3..5 => self.write_in_transaction(session).await?,
                5..9 => self.read(session).await?,
                _ => self.check_session_settings(session).await?,
            }
            if self.is_denied {
                return None;
            }
            let think_time = self.rng.random_range(0..MAX_THINK_TIME_MS);
            time::sleep(Duration::from_millis(think_time)).await;
        }
        Some(())
    }

    /// Runs a statement. Returns the request ID and the rows, or an error that is `true` if
    /// the statement is known not to have committed anything and `false` if that is in doubt. The result is `None` if no reply arrived.
    async fn execute(
        &mut self,
        session: &mut Session,
        text: &str,
    ) -> (String, Option<Result<Vec<String>, bool>>) {
        self.requests += 1;
        let request = format!("{}r{}", self.name, self.requests);
        let sent = Instant::now();
        self.history.borrow_mut().keys.send(&request, &self.key);
        let reply = session.conn.query(&request, text).await;
        self.is_denied = reply.is_denied();
        let mut history = self.history.borrow_mut();
        history.statements += 1;
        let outcome = match reply {
            Reply::Success(rows) => {
                history.successes += 1;
                Some(Ok(rows))
            }
            Reply::NotCommitted(_) => Some(Err(true)),
            Reply::InDoubt(_) => Some(Err(false)),
            Reply::NoResponse => {
                history.interrupted.push((sent.elapsed(), session.daemon, request.clone()));
                None
            }
        };
        drop(history);
        (request, outcome)
    }

    async fn write(&mut self, session: &mut Session) -> Option<()> {
        self.last_number += 1;
        let number = self.last_number;
        self.pending.push(number);
        let text = format!("STORE k{} {number}", self.name);
        let (request, outcome) = self.execute(session, &text).await;
        self.record_outcome(session, number, request, &outcome);
        outcome.map(drop)
    }

    async fn write_in_transaction(&mut self, session: &mut Session) -> Option<()> {
        self.last_number += 1;
        let number = self.last_number;
        self.execute(session, "BEGIN").await.1?.ok()?;
        // The second item is never read. It gives the transaction two writes, the most that the
        // check at the end of the run accepts for one commit.
        for item in ["k", "j"] {
            let text = format!("STORE {item}{} {number}", self.name);
            if self.execute(session, &text).await.1?.is_err() {
                if self.is_denied {
                    return None;
                }
                return self.execute(session, "ROLLBACK").await.1.map(drop);
            }
        }
        self.pending.push(number);
        let (request, outcome) = self.execute(session, "COMMIT").await;
        self.record_outcome(session, number, request, &outcome);
        outcome.map(drop)
    }

    fn record_outcome(
        &mut self,
        session: &mut Session,
        number: u64,
        request: String,
        outcome: &Option<Result<Vec<String>, bool>>,
    ) {
        let outcome = match outcome {
            Some(Ok(_)) => {
                self.acknowledged[session.group].insert(number, Instant::now());
                session.last_acknowledged = number;
                WriteOutcome::Acknowledged
            }
            Some(Err(true)) => WriteOutcome::NotCommitted,
            Some(Err(false)) | None => WriteOutcome::InDoubt,
        };
        if outcome != WriteOutcome::InDoubt {
            self.pending.retain(|pending| *pending != number);
        }
        self.history.borrow_mut().writes.insert(request, outcome);
    }

    async fn read(&mut self, session: &mut Session) -> Option<()> {
        let acknowledged = &self.acknowledged[session.group];
        let now = Instant::now();
        // Highest number that was acknowledged longer than `age` ago.
        let newest = |age: Duration| {
            let old = acknowledged.iter().rev().find(|(_, at)| now.duration_since(**at) > age);
            old.map_or(0, |(number, _)| *number)
        };
        let floor = match session.bounded_staleness {
            true => newest(MAX_STALENESS).max(session.last_acknowledged),
            false => newest(Duration::ZERO),
        };
        let text = format!("FETCH k{}", self.name);
        let (request, outcome) = self.execute(session, &text).await;
        if let Ok(rows) = outcome? {
            let seen: u64 = rows.first().and_then(|row| row.parse().ok()).unwrap_or(0);
            // A write that is in doubt may take effect after a later one was acknowledged.
            if seen < floor && !self.pending.contains(&seen) {
                let violation = format!(
                    "stale: {request} through daemon {} read {seen} in group {}, but {floor} was \
                     acknowledged before (bounded staleness: {})",
                    session.daemon, session.group, session.bounded_staleness
                );
                self.history.borrow_mut().violations.push(violation);
            }
        }
        Some(())
    }

    async fn check_session_settings(&mut self, session: &mut Session) -> Option<()> {
        let (request, outcome) = self.execute(session, "FETCH values").await;
        let expected = format!("{{\"tag\": \"{}\"}}", self.name);
        if let Ok(rows) = outcome?
            && rows != [expected.clone()]
        {
            let violation = format!(
                "mixed: {request} read the session settings {rows:?}, expected {expected:?}"
            );
            self.history.borrow_mut().violations.push(violation);
        }
        Some(())
    }
}
