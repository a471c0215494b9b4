//! Command line of the entry daemon.

use std::{env, path, process};

use adapter::Settings;
use cli::{Args, Failure};
use entry::Daemon;

const PROGRAM: &str = "corianderwharf-entry";
const HELP: &str = "
corianderwharf-entry: database proxy with session consistency, daemon of an entry
VM on the users' platform

Usage: corianderwharf-entry [--settings FILE] [--check]

Options:
      --settings FILE  settings file as written by the platform; by default the file
                       that CORIANDERWHARF_NODE_FILE names
      --check          check the settings and exit
  -h, --help           show this help
  -V, --version        show the version

Exit codes: 0 success, 1 failure, 2 usage error. SIGTERM starts a planned stop:
running statements and transactions may end first. SIGHUP reloads the settings.
";

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, run)
}

fn run(mut args: Args) -> Result<(), Failure> {
    let file: Option<path::PathBuf> = args.option("--settings")?;
    let check = args.flag("--check");
    args.finish()?;
    let file = file.or_else(|| env::var_os(Settings::FILE_VARIABLE).map(path::PathBuf::from));
    let file = Args::require("--settings", file)?;
    let settings = Settings::load(&file).map_err(Failure::new)?;
    if check {
        return Ok(());
    }
    logs::init(logs::Level::Info).map_err(Failure::new)?;
    Daemon::run(settings, &file).map_err(Failure::new)
}
