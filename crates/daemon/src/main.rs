//! `corianderwharfd`, the daemon of an entry VM.

use std::{path, process, time};

use cli::{Args, Failure};
use daemon::Daemon;
use settings::Settings;

const PROGRAM: &str = "corianderwharfd";
const READY_WARNING_DELAY: time::Duration = time::Duration::from_secs(5);
const HELP: &str = "
corianderwharfd: database proxy with session consistency, daemon of an entry VM

Usage: corianderwharfd --settings FILE [--check]

Options:
      --settings FILE  settings in TOML
      --check          check the settings and end
  -h, --help           show this text
  -V, --version        show the version

Exit codes: 0 done, 1 failed, 2 wrong usage. SIGTERM or SIGINT stops it as
planned: requests and transactions under way end first.
";

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, run)
}

fn run(mut args: Args) -> Result<(), Failure> {
    let file: Option<path::PathBuf> = args.option("--settings")?;
    let check = args.flag("--check");
    args.finish()?;
    let file = Args::require("--settings", file)?;
    let settings = Settings::load(&file).map_err(Failure::new)?;
    if check {
        return Ok(());
    }
    logs::init(settings.log).map_err(Failure::new)?;
    let daemon = Daemon::start(&settings).map_err(Failure::new)?;
    if !daemon.wait_ready(READY_WARNING_DELAY) {
        logs::warn("still waiting for the platform; callers are refused until then");
    }
    println!("ready {}", daemon.listen);
    cli::wait_for_stop().map_err(Failure::new)?;
    daemon.stop();
    Ok(())
}
