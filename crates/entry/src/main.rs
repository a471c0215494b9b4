//! Command line of the entry daemon.

use std::{env, path, process};

use adapter::Settings;
use cli::{Args, ArgsError, Failure};
use entry::{Daemon, ReplicasCommand};

const PROGRAM: &str = "corianderwharf-entry";
const HELP: &str = "
corianderwharf-entry: database proxy with session consistency, daemon of an entry
VM on the users' platform

Usage: corianderwharf-entry [--settings FILE] [--check]
       corianderwharf-entry [--settings FILE] --replicas
       corianderwharf-entry [--settings FILE] --give-up GROUP [--member ID]

Options:
      --settings FILE  settings file as written by the platform; by default the file
                       that CORIANDERWHARF_NODE_FILE names
      --check          check the settings and exit
      --replicas       list the members whose logs may hold acknowledged commits, of the
                       groups whose commits are confirmed by replicas, and exit
      --give-up GROUP  declare that a member of the group, or every member that is not
                       listed, is lost for good, and exit; a failover does not wait for
                       it any more, and commits that only it holds are lost
      --member ID      the member to give up
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
    let command = replicas_command(&mut args)?;
    args.finish()?;
    let file = file.or_else(|| env::var_os(Settings::FILE_VARIABLE).map(path::PathBuf::from));
    let file = Args::require("--settings", file)?;
    let settings = Settings::load(&file).map_err(Failure::new)?;
    if check {
        return Ok(());
    }
    if let Some(command) = command {
        print!("{}", command.run(&settings).map_err(Failure::new)?);
        return Ok(());
    }
    logs::init(logs::Level::Info).map_err(Failure::new)?;
    Daemon::run(settings, &file).map_err(Failure::new)
}

fn replicas_command(args: &mut Args) -> Result<Option<ReplicasCommand>, ArgsError> {
    let list = args.flag("--replicas");
    let group = args.option("--give-up")?;
    let member = args.option("--member")?;
    match (list, group, member) {
        (false, None, None) => Ok(None),
        (true, None, None) => Ok(Some(ReplicasCommand::List)),
        (false, Some(group), member) => Ok(Some(ReplicasCommand::GiveUp { group, member })),
        _ => Err(ArgsError::new("--replicas, or --give-up with or without --member")),
    }
}
