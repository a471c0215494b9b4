//! Runs the stand-ins of a deployment file in one process.

use std::{path, process};

use cli::{Args, Failure};
use standins::{Deployment, RunningStandIns};

const PROGRAM: &str = "corianderwharf-standins";
const HELP: &str = "
corianderwharf-standins: stand-ins for database groups and the platform

Usage: corianderwharf-standins --deployment FILE [--check]

Options:
      --deployment FILE  deployment in TOML
      --check            check the file and exit
  -h, --help             show this help
  -V, --version          show the version
";

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, run)
}

fn run(mut args: Args) -> Result<(), Failure> {
    let file: Option<path::PathBuf> = args.option("--deployment")?;
    let check = args.flag("--check");
    args.finish()?;
    let file = Args::require("--deployment", file)?;
    let deployment = Deployment::load(&file).map_err(Failure::new)?;
    if check {
        return Ok(());
    }
    logs::init(logs::Level::Info).map_err(Failure::new)?;
    let running = RunningStandIns::start(&deployment).map_err(Failure::new)?;
    println!("platform {}", running.platform);
    for (id, addr) in &running.members {
        println!("member {id} {addr}");
    }
    cli::wait_for_stop().map_err(Failure::new)
}
