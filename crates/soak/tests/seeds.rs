//! Short runs of the soak. A seed that fails is added here, with a line on the cause.

use std::{path::PathBuf, process::Command};

use soak::Options;

/// Length of a short run.
const SHORT_S: u64 = 8;
/// ScheduledFault work only: restarts, reloads, configurations.
const PLANNED: u64 = 4;
/// Faults of all kinds.
const MIXED: u64 = 321;
/// ScheduledFault work, as it was when it failed: a session that was never quiet went on until its
/// process ended, and a request was cut.
const BUSY_UNTIL_THE_END: (u64, Size) = (332, Size { seconds: 20, daemons: 6, callers: 24 });

/// What decides, with the seed, on the faults of a run.
#[derive(Clone, Copy)]
struct Size {
    seconds: u64,
    daemons: usize,
    callers: usize,
}

const SHORT: Size = Size { seconds: SHORT_S, daemons: 4, callers: 12 };

/// Where the programs of this workspace are, built as this test was.
fn program_dir() -> PathBuf {
    let own = std::env::current_exe().expect("a test has a path");
    let dir = own.parent().and_then(|dir| dir.parent()).expect("target/PROFILE/deps/TEST");
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "--package", "entry", "--package", "standins"]);
    if dir.ends_with("release") {
        build.arg("--release");
    }
    assert!(build.status().expect("cargo runs").success());
    dir.to_owned()
}

fn check(seed: u64, size: Size, program_dir: PathBuf) {
    let logs = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    let options = Options {
        seed,
        seconds: size.seconds,
        daemons: size.daemons,
        groups: 2,
        callers: size.callers,
        program_dir,
        logs: logs.clone(),
    };
    let outcome = soak::run(&options).expect("the run can be made");
    assert!(outcome.violations.is_empty(), "logs in {}: {outcome:#?}", logs.display());
    assert!(outcome.successes > 0 && outcome.faults > 0, "{outcome:?}");
    // Kept where the run failed; of no use to anybody otherwise.
    std::fs::remove_dir_all(&logs).expect("the run's own directory");
}

#[test]
fn promises_are_kept_in_a_short_run_of_these_seeds() {
    let program_dir = program_dir();
    for (seed, size) in [(PLANNED, SHORT), (MIXED, SHORT), BUSY_UNTIL_THE_END] {
        check(seed, size, program_dir.clone());
    }
}
