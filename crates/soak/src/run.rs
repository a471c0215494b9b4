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
    line_conn::{LineConn, Reply},
    options::Options,
};

/// How long the first start may take.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// How long every daemon may take to serve again once all faults have ended: the users'
/// bound.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// How long after its end an answer may still be missing of a request that was cut: the
/// users' slack.
const INTERRUPTION_TOLERANCE: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    pub violations: Vec<String>,
}

/// Why a run could not be made.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A process, a file or a socket.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The system's error.
        source: io::Error,
    },
    /// The stand-in did not answer.
    #[snafu(display("stand-in: {source}"), context(false))]
    StandInRequest {
        /// The client's error.
        source: reqwest::Error,
    },
    /// The stand-in's answer was not understood.
    #[snafu(display("stand-in: {source}"), context(false))]
    StandInResponse {
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// The daemons did not begin to serve.
    #[snafu(display("not every daemon served within {STARTUP_TIMEOUT:?}"))]
    NotStarted,
}

/// Plays the faults of a seed.
///
/// # Errors
///
/// If the run could not be made; a broken promise is no error but part of the outcome.
pub fn run(options: &Options) -> Result<Outcome, SoakError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_seed(options))
}

async fn run_seed(options: &Options) -> Result<Outcome, SoakError> {
    let mut deployment = Deployment::start(options).await?;
    let addrs: Vec<_> = deployment.daemons.iter().map(|daemon| daemon.callers).collect();
    let history = Rc::new(RefCell::new(History::default()));
    let startup =
        wait_until_serving(&mut deployment, &history, &addrs, options.groups, STARTUP_TIMEOUT)
            .await?;
    if startup.is_none() {
        return Err(SoakError::NotStarted);
    }
    let (stop, stopped) = watch::channel(false);
    let callers = (0..options.callers).map(|number| {
        let history = Rc::clone(&history);
        let caller = Caller::new(number, options.seed, addrs.clone(), options.groups, history);
        tokio::task::spawn_local(caller.run(stopped.clone()))
    });
    let callers: Vec<_> = callers.collect();
    let faults = run_faults(options, &mut deployment, &history).await?;
    let recovery =
        wait_until_serving(&mut deployment, &history, &addrs, options.groups, RECOVERY_TIMEOUT)
            .await?;
    if recovery.is_none() {
        let violation = format!("recovery: not every daemon served within {RECOVERY_TIMEOUT:?}");
        history.borrow_mut().violations.push(violation);
    }
    // Fails only where every caller has ended.
    let _ = stop.send(true);
    for caller in callers {
        // A caller that failed has left its words in the panic message.
        if let Err(error) = caller.await {
            history.borrow_mut().violations.push(format!("caller: {error}"));
        }
    }
    check_configuration(&deployment, &addrs, &history).await;
    let mut history = history.take();
    check::commits(&mut history, &deployment.commits().await?);
    Ok(Outcome {
        statements: history.statements,
        successes: history.successes,
        writes: history.writes.len(),
        faults,
        recovery,
        violations: history.violations,
    })
}

/// Plays the schedule to the end of its last fault; the number of faults.
async fn run_faults(
    options: &Options,
    deployment: &mut Deployment,
    history: &RefCell<History>,
) -> Result<usize, SoakError> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let schedule = fault::schedule(options, &mut rng);
    let mut steps: Vec<(Duration, Fault, bool)> = schedule
        .iter()
        .flat_map(|it| [(it.at, it.fault, true), (it.at + it.duration, it.fault, false)])
        .collect();
    steps.sort_by_key(|(at, _, _)| *at);
    let started = Instant::now();
    for (at, fault, is_start) in steps {
        while started.elapsed() < at {
            restart_daemons(deployment, history)?;
            time::sleep(POLL_INTERVAL).await;
        }
        if is_start {
            deployment.inject(fault).await?;
        } else {
            deployment.revert(fault).await?;
        }
        if options.is_planned_only() {
            check_interrupted(history);
        }
    }
    Ok(schedule.len())
}

fn restart_daemons(
    deployment: &mut Deployment,
    history: &RefCell<History>,
) -> Result<(), SoakError> {
    for daemon in deployment.restart_ended()? {
        history.borrow_mut().violations.push(format!("ended: daemon {daemon} by itself"));
    }
    Ok(())
}

/// With planned work only, no request may be cut after it was taken in.
fn check_interrupted(history: &RefCell<History>) {
    let mut history = history.borrow_mut();
    let interrupted = std::mem::take(&mut history.interrupted);
    for (waited, daemon, request) in interrupted {
        if waited > INTERRUPTION_TOLERANCE {
            let violation = format!("cut: {request} at daemon {daemon} after {waited:?}");
            history.violations.push(violation);
        }
    }
}

/// Waits until every daemon reads and writes every group; the time that took.
async fn wait_until_serving(
    deployment: &mut Deployment,
    history: &RefCell<History>,
    addrs: &[SocketAddr],
    groups: usize,
    limit: Duration,
) -> Result<Option<Duration>, SoakError> {
    let started = Instant::now();
    for addr in addrs {
        for group in 0..groups {
            while !serves(*addr, group).await {
                if started.elapsed() >= limit {
                    return Ok(None);
                }
                restart_daemons(deployment, history)?;
                time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    Ok(Some(started.elapsed()))
}

async fn serves(addr: SocketAddr, group: usize) -> bool {
    let Ok(mut conn) = LineConn::open(addr, &format!("orders{group}")).await else { return false };
    matches!(conn.query("probe", "FETCH probe").await, Reply::Success(_))
}

/// Whether every daemon goes by the newest configuration.
async fn check_configuration(
    deployment: &Deployment,
    addrs: &[SocketAddr],
    history: &RefCell<History>,
) {
    let (database, exists) = deployment.extra_database();
    for (daemon, addr) in addrs.iter().enumerate() {
        let opened = LineConn::open(*addr, database).await;
        let as_expected = match &opened {
            Ok(_) => exists,
            Err(Some(answer)) => !exists && answer.starts_with("ERROR NODB"),
            Err(None) => false,
        };
        if !as_expected {
            let answer = opened.err();
            let violation =
                format!("configuration: daemon {daemon} answer {answer:?}, {database} {exists}");
            history.borrow_mut().violations.push(violation);
        }
    }
}
