//! Runs the stand-in for the users' platform and its line protocol members in one process.

use std::process;

use base::Span;
use cli::{Args, ArgsError, Failure};
use standins::lines::{Options, Platform};

const PROGRAM: &str = "corianderwharf-lines-standin";
const MAX_GROUPS: usize = 100;
/// Number of replicas in a group.
const MAX_SYNC_REPLICAS: u32 = 2;
const HELP: &str = "
corianderwharf-lines-standin: stand-in for the users' platform: its store, the
failover call, and members that speak the line protocol

Usage: corianderwharf-lines-standin [OPTIONS]

Options:
      --groups N   groups of three members, each with the databases ordersN and
                   lookupsN, 1 to 100 [1]
      --lag-ms N   delay before replicas apply commits, in milliseconds [30]
      --sync-replicas N
                   replicas that must receive a commit before it is
                   acknowledged, 0 to 2 [0]
      --check      check the options and exit
  -h, --help       show this help
  -V, --version    show the version

It prints the address of the store once it serves, and runs until SIGINT or SIGTERM.
";

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, run)
}

fn run(mut args: Args) -> Result<(), Failure> {
    let groups: usize = args.option("--groups")?.unwrap_or(1);
    let lag_ms: u64 = args.option("--lag-ms")?.unwrap_or(30);
    let sync_replicas: u32 = args.option("--sync-replicas")?.unwrap_or(0);
    let check = args.flag("--check");
    args.finish()?;
    if !(1..=MAX_GROUPS).contains(&groups) {
        return Err(ArgsError::new(format!("--groups: {groups}; allowed: 1 to 100")).into());
    }
    if sync_replicas > MAX_SYNC_REPLICAS {
        let message =
            format!("--sync-replicas: {sync_replicas}; allowed: 0 to {MAX_SYNC_REPLICAS}");
        return Err(ArgsError::new(message).into());
    }
    if check {
        return Ok(());
    }
    logs::init(logs::Level::Warn).map_err(Failure::new)?;
    let options = Options {
        groups: (0..groups).map(|number| format!("group{number}")).collect(),
        lag: Span::from_millis(lag_ms),
        databases: (0..groups).map(Options::default_databases).collect(),
        sync_replicas,
    };
    let platform = Platform::start(&options).map_err(Failure::new)?;
    println!("platform {}", platform.addr);
    cli::wait_for_stop().map_err(Failure::new)
}
