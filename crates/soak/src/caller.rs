use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::watch, time};

use crate::{
    history::{Fate, History},
    wire::{Reply, Wire},
};

/// Age of data that the stand-in's lookups accept.
const STALENESS: Duration = Duration::from_millis(2_500);
const STATEMENTS: u64 = 30;
const THINK_MS: u64 = 30;
const COME_BACK_MS: u64 = 150;

/// A caller that writes rising numbers under an item of its own, and reads them back
/// through whichever daemon it finds.
pub(crate) struct Caller {
    pub(crate) name: String,
    pub(crate) daemons: Vec<SocketAddr>,
    pub(crate) groups: usize,
    pub(crate) history: Rc<RefCell<History>>,
    pub(crate) rng: ChaCha8Rng,
    requests: u64,
    last: u64,
    /// By group: numbers that were acknowledged, and when.
    acknowledged: Vec<BTreeMap<u64, Instant>>,
    /// Numbers whose writes may still take effect.
    open: Vec<u64>,
}

/// A session in use.
struct Session {
    wire: Wire,
    daemon: usize,
    group: usize,
    /// Whether its reads accept data of a stated age.
    aged: bool,
    /// Highest number that it has had acknowledged.
    mark: u64,
}

impl Caller {
    pub(crate) fn new(
        number: usize,
        seed: u64,
        daemons: Vec<SocketAddr>,
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
            requests: 0,
            last: 0,
            acknowledged: vec![BTreeMap::new(); groups],
            open: Vec::new(),
        }
    }

    /// Runs statements until told to stop; what is under way ends first.
    pub(crate) async fn run(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let daemon = self.rng.random_range(0..self.daemons.len());
            let group = self.rng.random_range(0..self.groups);
            let aged = self.rng.random_bool(0.5);
            let database = if aged { "lookups" } else { "orders" };
            let opened = Wire::open(self.daemons[daemon], &format!("{database}{group}")).await;
            if let Ok(wire) = opened {
                let mut session = Session { wire, daemon, group, aged, mark: 0 };
                // A session that breaks is replaced by the next.
                let _ = self.use_session(&mut session, &stop).await;
            }
            let pause = self.rng.random_range(10..COME_BACK_MS);
            time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn use_session(
        &mut self,
        session: &mut Session,
        stop: &watch::Receiver<bool>,
    ) -> Option<()> {
        let text = format!("SET tag {}", self.name);
        self.ask(session, &text).await.1?.ok()?;
        for _ in 0..self.rng.random_range(1..STATEMENTS) {
            if *stop.borrow() {
                return Some(());
            }
            match self.rng.random_range(0..10) {
                0..3 => self.write(session).await?,
                3..5 => self.transact(session).await?,
                5..9 => self.read(session).await?,
                _ => self.read_values(session).await?,
            }
            let think = self.rng.random_range(0..THINK_MS);
            time::sleep(Duration::from_millis(think)).await;
        }
        Some(())
    }

    /// Runs a statement; its request, and its rows and whether it succeeded unless the
    /// connection broke.
    async fn ask(
        &mut self,
        session: &mut Session,
        text: &str,
    ) -> (String, Option<Result<Vec<String>, bool>>) {
        self.requests += 1;
        let request = format!("{}r{}", self.name, self.requests);
        let sent = Instant::now();
        let reply = session.wire.query(&request, text).await;
        let mut history = self.history.borrow_mut();
        history.statements += 1;
        let outcome = match reply {
            Reply::Done(rows) => {
                history.successes += 1;
                Some(Ok(rows))
            }
            Reply::NotKept(_) => Some(Err(true)),
            Reply::Open(_) => Some(Err(false)),
            Reply::Cut => {
                history.cuts.push((sent.elapsed(), session.daemon, request.clone()));
                None
            }
        };
        drop(history);
        (request, outcome)
    }

    async fn write(&mut self, session: &mut Session) -> Option<()> {
        self.last += 1;
        let number = self.last;
        self.open.push(number);
        let text = format!("STORE k{} {number}", self.name);
        let (request, outcome) = self.ask(session, &text).await;
        self.settle(session, number, request, &outcome);
        outcome.map(drop)
    }

    async fn transact(&mut self, session: &mut Session) -> Option<()> {
        self.last += 1;
        let number = self.last;
        self.ask(session, "BEGIN").await.1?.ok()?;
        for item in ["k", "j"] {
            let text = format!("STORE {item}{} {number}", self.name);
            if self.ask(session, &text).await.1?.is_err() {
                return self.ask(session, "ROLLBACK").await.1.map(drop);
            }
        }
        self.open.push(number);
        let (request, outcome) = self.ask(session, "COMMIT").await;
        self.settle(session, number, request, &outcome);
        outcome.map(drop)
    }

    fn settle(
        &mut self,
        session: &mut Session,
        number: u64,
        request: String,
        outcome: &Option<Result<Vec<String>, bool>>,
    ) {
        let fate = match outcome {
            Some(Ok(_)) => {
                self.acknowledged[session.group].insert(number, Instant::now());
                session.mark = number;
                Fate::Acknowledged
            }
            Some(Err(true)) => Fate::NotKept,
            Some(Err(false)) | None => Fate::Open,
        };
        if fate != Fate::Open {
            self.open.retain(|open| *open != number);
        }
        self.history.borrow_mut().writes.insert(request, fate);
    }

    async fn read(&mut self, session: &mut Session) -> Option<()> {
        let acknowledged = &self.acknowledged[session.group];
        let now = Instant::now();
        let newest = |age: Duration| {
            let old = acknowledged.iter().rev().find(|(_, at)| now.duration_since(**at) > age);
            old.map_or(0, |(number, _)| *number)
        };
        let floor = match session.aged {
            true => newest(STALENESS).max(session.mark),
            false => newest(Duration::ZERO),
        };
        let text = format!("FETCH k{}", self.name);
        let (request, outcome) = self.ask(session, &text).await;
        if let Ok(rows) = outcome? {
            let seen: u64 = rows.first().and_then(|row| row.parse().ok()).unwrap_or(0);
            // A write in doubt may take effect after a later one was acknowledged.
            if seen < floor && !self.open.contains(&seen) {
                let broken = format!(
                    "stale: {request} through daemon {} saw {seen} of group {}, {floor} was \
                     acknowledged (aged {})",
                    session.daemon, session.group, session.aged
                );
                self.history.borrow_mut().broken.push(broken);
            }
        }
        Some(())
    }

    async fn read_values(&mut self, session: &mut Session) -> Option<()> {
        let (request, outcome) = self.ask(session, "FETCH values").await;
        let expected = format!("{{\"tag\": \"{}\"}}", self.name);
        if let Ok(rows) = outcome?
            && rows != [expected.clone()]
        {
            let broken = format!("mixed: {request} saw the values {rows:?}, not {expected:?}");
            self.history.borrow_mut().broken.push(broken);
        }
        Some(())
    }
}
