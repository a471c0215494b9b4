use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;
use tokio::{sync::watch, task::LocalSet, time};

use crate::{
    caller::Caller,
    check,
    config_prober::ConfigProber,
    daemon_addrs::DaemonAddrs,
    deployment::Deployment,
    fault::{self, Fault},
    history::History,
    line_conn::{LineConn, Reply},
    misbehaving_client::{MisbehavingClient, Misbehaviour},
    moving_caller::MovingCaller,
    options::Options,
    organisations,
};

/// Time within which all daemons must serve after the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which all daemons must serve again after the last fault has ended, as the users
/// require.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// A request whose connection closed within this time after the request was sent does not count
/// as interrupted: the daemon may not have read it. The users' requirements allow this time.
const INTERRUPTION_TOLERANCE: Duration = Duration::from_millis(200);
/// Number of callers of the database that moves between groups.
const MOVING_CALLERS: usize = 4;
/// Number of clients that do not read their answers.
const MISBEHAVING_CLIENTS: usize = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of a probe, after which it is repeated. Callers wait about as long.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Results of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Number of statements that were sent.
    pub statements: u64,
    /// Number of statements that succeeded.
    pub successes: u64,
    /// Number of writes whose outcome was recorded.
    pub writes: usize,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Time until every daemon served again after the last fault, or `None` if that took
    /// longer than allowed.
    pub recovery: Option<Duration>,
    /// Descriptions of violations. The first word of each names the kind of violation.
    pub violations: Vec<String>,
}

/// Reason that a run could not be completed.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// An operation on a process, a file or a socket failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A request to the stand-in failed.
    #[snafu(display("request to the stand-in failed: {source}"), context(false))]
    StandInRequest {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// A response of the stand-in could not be decoded.
    #[snafu(display("invalid response of the stand-in: {source}"), context(false))]
    StandInResponse {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// At least one daemon did not serve within the time limit after the start.
    #[snafu(display("not every daemon served within {STARTUP_TIMEOUT:?}"))]
    NotStarted,
}

/// Runs the daemons and callers under the faults of a seed, and checks the results.
///
/// # Errors
///
/// If the run could not be completed. A violated guarantee is not an error but part of the
/// outcome.
pub fn run(options: &Options) -> Result<Outcome, SoakError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_seed(options))
}

async fn run_seed(options: &Options) -> Result<Outcome, SoakError> {
    let history = Rc::new(RefCell::new(History::default()));
    let mut deployment = Deployment::start(options, &history).await?;
    let addrs = deployment.addrs.clone();
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
    let mut callers: Vec<_> = callers.collect();
    let prober = ConfigProber {
        daemons: addrs.clone(),
        database: deployment.extra_database().0,
        history: Rc::clone(&history),
    };
    callers.push(tokio::task::spawn_local(prober.run(stop.subscribe())));
    callers.extend((0..MOVING_CALLERS).map(|number| {
        let caller = MovingCaller {
            number,
            seed: options.seed,
            daemons: addrs.clone(),
            database: deployment.moving_database(),
            history: Rc::clone(&history),
        };
        tokio::task::spawn_local(caller.run(stop.subscribe()))
    }));
    callers.extend((0..MISBEHAVING_CLIENTS).map(|number| {
        let client = MisbehavingClient {
            number,
            seed: options.seed,
            misbehaviour: Misbehaviour::ALL[number % Misbehaviour::ALL.len()],
            daemons: addrs.clone(),
            database: "lookups0".to_owned(),
            history: Rc::clone(&history),
        };
        tokio::task::spawn_local(client.run(stop.subscribe()))
    }));
    let faults = run_faults(options, &mut deployment, &history).await?;
    let faults_ended = Instant::now();
    if !wait_for_restarts(&mut deployment, &history).await? {
        let violation = format!("stop: not every daemon restarted within {RECOVERY_TIMEOUT:?}");
        history.borrow_mut().violations.push(violation);
    }
    let limit = RECOVERY_TIMEOUT.saturating_sub(faults_ended.elapsed());
    let recovery =
        wait_until_serving(&mut deployment, &history, &addrs, options.groups, limit).await?;
    if recovery.is_none() {
        let violation = format!("recovery: not every daemon served within {RECOVERY_TIMEOUT:?}");
        history.borrow_mut().violations.push(violation);
    }
    // Fails only if all callers have ended.
    let _ = stop.send(true);
    for caller in callers {
        // The panic message of the caller's task describes the failure.
        if let Err(error) = caller.await {
            history.borrow_mut().violations.push(format!("caller: {error}"));
        }
    }
    check_configuration(&deployment, &addrs, &history, faults_ended + RECOVERY_TIMEOUT).await;
    let mut history = history.take();
    check::commits(&mut history, &deployment.commits().await?);
    history.violations.extend(deployment.fence_violations().await?);
    if options.has_organisations() {
        let run = deployment.statements().await?;
        let late = history.keys.violations(&run, options.check_names);
        let quota = if options.check_quota { history.limits.violations(&run) } else { Vec::new() };
        history.violations.extend(late.into_iter().chain(quota));
    }
    Ok(Outcome {
        statements: history.statements,
        successes: history.successes,
        writes: history.writes.len(),
        faults,
        recovery,
        violations: history.violations,
    })
}

/// Runs the schedule until its last fault has ended. Returns the number of faults.
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
            if !deployment.is_store_followed() {
                history.borrow_mut().config.record_unfollowed();
            }
            restart_daemons(deployment, history)?;
            time::sleep(POLL_INTERVAL).await;
        }
        if is_start {
            if fault == Fault::Configure {
                let exists = !deployment.extra_database().1;
                history.borrow_mut().config.begin_change(exists);
            }
            deployment.inject(fault, history).await?;
            if fault == Fault::Configure {
                history.borrow_mut().config.acknowledge_change();
            }
        } else {
            deployment.revert(fault, history).await?;
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
    for daemon in deployment.start_due_daemons()? {
        history.borrow_mut().violations.push(format!("ended: daemon {daemon} exited by itself"));
    }
    Ok(())
}

/// Waits until every daemon that was told to stop has exited and been started again. Until then it
/// serves sessions that it has, but accepts no others. Returns whether all did so in time.
async fn wait_for_restarts(
    deployment: &mut Deployment,
    history: &RefCell<History>,
) -> Result<bool, SoakError> {
    let started = Instant::now();
    while deployment.is_stop_pending() {
        if started.elapsed() > RECOVERY_TIMEOUT {
            return Ok(false);
        }
        time::sleep(POLL_INTERVAL).await;
        restart_daemons(deployment, history)?;
    }
    Ok(true)
}

/// Reports interrupted requests. In a run with only planned operations, no request that a daemon
/// has accepted may be interrupted.
fn check_interrupted(history: &RefCell<History>) {
    let mut history = history.borrow_mut();
    let interrupted = std::mem::take(&mut history.interrupted);
    for (waited, daemon, request) in interrupted {
        if waited > INTERRUPTION_TOLERANCE {
            let violation = format!(
                "cut: {request} at daemon {daemon} got no response, failed after {waited:?}"
            );
            history.violations.push(violation);
        }
    }
}

/// Waits until every daemon serves current reads of every group. Returns the time that this
/// took, or `None` if it took longer than `limit`.
async fn wait_until_serving(
    deployment: &mut Deployment,
    history: &RefCell<History>,
    addrs: &DaemonAddrs,
    groups: usize,
    limit: Duration,
) -> Result<Option<Duration>, SoakError> {
    let started = Instant::now();
    // All are probed concurrently: the duration of probes must not add up over the daemons.
    let unserved = RefCell::new(BTreeMap::new());
    let places = (0..addrs.len()).flat_map(|daemon| (0..groups).map(move |group| (daemon, group)));
    let key = history.borrow().keys.newest(organisations::OPERATOR);
    let probes = future::join_all(places.map(|(daemon, group)| {
        let (unserved, key) = (&unserved, &key);
        async move {
            while let Err(answer) = probe(addrs.get(daemon), group, key).await {
                unserved.borrow_mut().insert((daemon, group), answer);
                time::sleep(POLL_INTERVAL).await;
            }
            unserved.borrow_mut().remove(&(daemon, group));
        }
    }));
    let probes = time::timeout(limit, probes);
    tokio::pin!(probes);
    loop {
        tokio::select! {
            served = &mut probes => {
                for ((daemon, group), answer) in unserved.take() {
                    eprintln!("daemon {daemon}, group {group}: last answer {answer}");
                }
                return Ok(served.is_ok().then(|| started.elapsed()));
            }
            () = time::sleep(POLL_INTERVAL) => restart_daemons(deployment, history)?,
        }
    }
}

/// Runs a current read of a group at a daemon. The error describes the answer.
async fn probe(addr: SocketAddr, group: usize, key: &str) -> Result<(), String> {
    let probe = async {
        let conn = LineConn::open(addr, &format!("orders{group}"), key).await;
        let mut conn = conn.map_err(|line| format!("to STARTUP: {line:?}"))?;
        match conn.query("probe", "FETCH probe").await {
            Reply::Success(_) => Ok(()),
            reply => Err(format!("to FETCH: {reply:?}")),
        }
    };
    time::timeout(PROBE_TIMEOUT, probe).await.unwrap_or_else(|_| Err("none in time".to_owned()))
}

/// Checks that every daemon has applied the newest configuration. A daemon that cannot tell yet
/// whether the database exists, as when the store has just lost writes, must be able to by
/// `deadline`.
async fn check_configuration(
    deployment: &Deployment,
    addrs: &DaemonAddrs,
    history: &RefCell<History>,
    deadline: Instant,
) {
    let (database, exists) = deployment.extra_database();
    for daemon in 0..addrs.len() {
        let addr = addrs.get(daemon);
        let mut opened = LineConn::open(addr, database, "").await;
        while opened.as_ref().is_err_and(is_busy) && Instant::now() < deadline {
            time::sleep(POLL_INTERVAL).await;
            opened = LineConn::open(addr, database, "").await;
        }
        let as_expected = match &opened {
            Ok(_) => exists,
            Err(Some(answer)) => !exists && answer.starts_with("ERROR NODB"),
            Err(None) => false,
        };
        if !as_expected {
            let answer = opened.err();
            let violation = format!(
                "configuration: daemon {daemon} answered {answer:?}, database {database} \
                 exists: {exists}"
            );
            history.borrow_mut().violations.push(violation);
        }
    }
}

fn is_busy(answer: &Option<String>) -> bool {
    answer.as_ref().is_some_and(|answer| answer.starts_with("ERROR BUSY"))
}
