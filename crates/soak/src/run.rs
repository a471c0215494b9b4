use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;
use tokio::{sync::watch, task::LocalSet, time};

use crate::{
    caller::Caller,
    check,
    deployment::Deployment,
    fault::{self, Fault},
    history::History,
    options::Options,
    wire::{Reply, Wire},
};

/// How long the first start may take.
const START_LIMIT: Duration = Duration::from_secs(20);
/// How long every daemon may take to serve again once all faults have ended: the users'
/// bound.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// How long after its end an answer may still be missing of a request that was cut: the
/// users' slack.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(20);

/// What a run found.
#[derive(Debug)]
pub struct Outcome {
    /// Statements that were sent, and those that succeeded.
    pub statements: u64,
    /// Statements that succeeded.
    pub successes: u64,
    /// Writes that were sent.
    pub writes: usize,
    /// Faults that were played.
    pub faults: usize,
    /// Time until every daemon served again after the last fault.
    pub recovery: Option<Duration>,
    /// Broken promises, in words.
    pub broken: Vec<String>,
}

/// Why a run could not be made.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A process, a file or a socket.
    #[snafu(display("{source}"), context(false))]
    System {
        /// The system's error.
        source: io::Error,
    },
    /// The stand-in did not answer.
    #[snafu(display("stand-in: {source}"), context(false))]
    StandIn {
        /// The client's error.
        source: reqwest::Error,
    },
    /// The stand-in's answer was not understood.
    #[snafu(display("stand-in: {source}"), context(false))]
    Answer {
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// The daemons did not begin to serve.
    #[snafu(display("not every daemon served within {START_LIMIT:?}"))]
    NotStarted,
}

/// Plays the faults of a seed.
///
/// # Errors
///
/// If the run could not be made; a broken promise is no error but part of the outcome.
pub fn run(options: &Options) -> Result<Outcome, SoakError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(options))
}

async fn play(options: &Options) -> Result<Outcome, SoakError> {
    let mut deployment = Deployment::start(options).await?;
    let addrs: Vec<_> = deployment.daemons.iter().map(|daemon| daemon.callers).collect();
    let history = Rc::new(RefCell::new(History::default()));
    let begun = serving(&mut deployment, &history, &addrs, options.groups, START_LIMIT).await?;
    if begun.is_none() {
        return Err(SoakError::NotStarted);
    }
    let (stop, stopped) = watch::channel(false);
    let callers = (0..options.callers).map(|number| {
        let history = Rc::clone(&history);
        let caller = Caller::new(number, options.seed, addrs.clone(), options.groups, history);
        tokio::task::spawn_local(caller.run(stopped.clone()))
    });
    let callers: Vec<_> = callers.collect();
    let faults = disturb(options, &mut deployment, &history).await?;
    let recovery =
        serving(&mut deployment, &history, &addrs, options.groups, RECOVERY_LIMIT).await?;
    if recovery.is_none() {
        let broken = format!("recovery: not every daemon served within {RECOVERY_LIMIT:?}");
        history.borrow_mut().broken.push(broken);
    }
    // Fails only where every caller has ended.
    let _ = stop.send(true);
    for caller in callers {
        // A caller that failed has left its words in the panic message.
        if let Err(error) = caller.await {
            history.borrow_mut().broken.push(format!("caller: {error}"));
        }
    }
    configured(&deployment, &addrs, &history).await;
    let mut history = history.take();
    check::commits(&mut history, &deployment.commits().await?);
    Ok(Outcome {
        statements: history.statements,
        successes: history.successes,
        writes: history.writes.len(),
        faults,
        recovery,
        broken: history.broken,
    })
}

/// Plays the schedule to the end of its last fault; the number of faults.
async fn disturb(
    options: &Options,
    deployment: &mut Deployment,
    history: &RefCell<History>,
) -> Result<usize, SoakError> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let schedule = fault::schedule(options, &mut rng);
    let mut steps: Vec<(Duration, Fault, bool)> = schedule
        .iter()
        .flat_map(|it| [(it.at, it.fault, true), (it.at + it.length, it.fault, false)])
        .collect();
    steps.sort_by_key(|(at, _, _)| *at);
    let began = Instant::now();
    for (at, fault, begins) in steps {
        while began.elapsed() < at {
            keep_up(deployment, history)?;
            time::sleep(TICK).await;
        }
        if begins {
            deployment.begin(fault).await?;
        } else {
            deployment.end(fault).await?;
        }
        if options.is_planned() {
            note_cuts(history);
        }
    }
    Ok(schedule.len())
}

fn keep_up(deployment: &mut Deployment, history: &RefCell<History>) -> Result<(), SoakError> {
    for daemon in deployment.keep_up()? {
        history.borrow_mut().broken.push(format!("ended: daemon {daemon} by itself"));
    }
    Ok(())
}

/// With planned work only, no request may be cut after it was taken in.
fn note_cuts(history: &RefCell<History>) {
    let mut history = history.borrow_mut();
    let cuts = std::mem::take(&mut history.cuts);
    for (waited, daemon, request) in cuts {
        if waited > LOSS_SLACK {
            let broken = format!("cut: {request} at daemon {daemon} after {waited:?}");
            history.broken.push(broken);
        }
    }
}

/// Waits until every daemon reads and writes every group; the time that took.
async fn serving(
    deployment: &mut Deployment,
    history: &RefCell<History>,
    addrs: &[SocketAddr],
    groups: usize,
    limit: Duration,
) -> Result<Option<Duration>, SoakError> {
    let began = Instant::now();
    for addr in addrs {
        for group in 0..groups {
            while !serves(*addr, group).await {
                if began.elapsed() >= limit {
                    return Ok(None);
                }
                keep_up(deployment, history)?;
                time::sleep(TICK).await;
            }
        }
    }
    Ok(Some(began.elapsed()))
}

async fn serves(addr: SocketAddr, group: usize) -> bool {
    let Ok(mut wire) = Wire::open(addr, &format!("orders{group}")).await else { return false };
    matches!(wire.query("probe", "FETCH probe").await, Reply::Done(_))
}

/// Whether every daemon goes by the newest configuration.
async fn configured(deployment: &Deployment, addrs: &[SocketAddr], history: &RefCell<History>) {
    let (database, exists) = deployment.extra_database();
    for (daemon, addr) in addrs.iter().enumerate() {
        let opened = Wire::open(*addr, database).await;
        let as_expected = match &opened {
            Ok(_) => exists,
            Err(Some(said)) => !exists && said.starts_with("ERROR NODB"),
            Err(None) => false,
        };
        if !as_expected {
            let said = opened.err();
            let broken =
                format!("configuration: daemon {daemon} said {said:?}, {database} {exists}");
            history.borrow_mut().broken.push(broken);
        }
    }
}
