//! Runs the soak test of the platform edition for a range of seeds.

use std::{path::PathBuf, process};

use cli::{Args, ArgsError, Failure};
use soak::Options;

const PROGRAM: &str = "corianderwharf-soak";
const MAX_DAEMONS: usize = 200;
const HELP: &str = "
corianderwharf-soak: runs real daemons as processes on this machine, injects faults
from outside, and checks what callers were guaranteed

Usage: corianderwharf-soak [OPTIONS]

Options:
      --seed N       first seed [1]
      --seeds N      number of seeds, run one after the other [1]
      --seconds N    time during which faults are started [20]
      --daemons N    number of daemons, 1 to 200 [6]
      --groups N     number of groups of three members, 1 to 50 [2]
      --callers N    number of concurrent callers [24]
      --logs DIR     directory for the logs of the processes [target/soak]
      --check-names  also check that members run statements under the names of
                     the callers' organisations
      --check-quota  also check that no organisation exceeds its limit
      --check        check the options and exit
  -h, --help         show this text
  -V, --version      show the version

Seeds divisible by four run only planned operations, during which no request may be
cut; in seeds divisible by three, callers belong to no organisation; in other seeds that leave
two when divided by five, all daemons are replaced. The programs under test are taken from this program's directory. Exit codes:
0 all guarantees were kept, 1 a violation or a run that could not be completed,
2 usage error.
";

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, run)
}

fn run(mut args: Args) -> Result<(), Failure> {
    let first: u64 = args.option("--seed")?.unwrap_or(1);
    let seeds: u64 = args.option("--seeds")?.unwrap_or(1);
    let seconds = args.option("--seconds")?.unwrap_or(20);
    let daemons = args.option("--daemons")?.unwrap_or(6);
    let groups = args.option("--groups")?.unwrap_or(2);
    let callers = args.option("--callers")?.unwrap_or(24);
    let logs: PathBuf = args.option("--logs")?.unwrap_or_else(|| "target/soak".into());
    let check_names = args.flag("--check-names");
    let check_quota = args.flag("--check-quota");
    let check = args.flag("--check");
    args.finish()?;
    if !(1..=MAX_DAEMONS).contains(&daemons) {
        return Err(ArgsError::new(format!("--daemons: {daemons}; allowed: 1 to 200")).into());
    }
    if !(1..=50).contains(&groups) {
        return Err(ArgsError::new(format!("--groups: {groups}; allowed: 1 to 50")).into());
    }
    if check {
        return Ok(());
    }
    let own = std::env::current_exe().map_err(Failure::new)?;
    let program_dir = own.parent().map(PathBuf::from).unwrap_or_default();
    let mut seeds_with_violations = 0;
    for seed in first..first + seeds {
        let logs = logs.join(format!("seed-{seed}"));
        let program_dir = program_dir.clone();
        let options = Options {
            seed,
            seconds,
            daemons,
            groups,
            callers,
            program_dir,
            logs,
            check_names,
            check_quota,
        };
        let outcome = soak::run(&options).map_err(Failure::new)?;
        println!(
            "seed {seed}: {} statements, {} successes, {} writes, {} faults, recovered after {:?}, \
             {} violations",
            outcome.statements,
            outcome.successes,
            outcome.writes,
            outcome.faults,
            outcome.recovery,
            outcome.violations.len()
        );
        for line in &outcome.violations {
            println!("seed {seed}: BROKEN {line}");
        }
        seeds_with_violations += usize::from(!outcome.violations.is_empty());
    }
    if seeds_with_violations > 0 {
        return Err(Failure::new(format!(
            "{seeds_with_violations} of {seeds} seeds had violations"
        )));
    }
    Ok(())
}
