//! Runs a local cluster, that is several daemons and stand-ins for the members and the platform,
//! as threads of one process.

use std::{process, thread, time::Duration};

use cli::{Args, ArgsError, Failure};
use trial::{LocalCluster, Options, PEER_SECRET, Preset};

const PROGRAM: &str = "corianderwharf-trial";
const DEFAULT_PORT: u16 = 6432;
const HELP: &str = "
corianderwharf-trial: a local cluster for any PostgreSQL client: daemons of the proxy, with
stand-ins for the database members and the platform, in one process

Usage: corianderwharf-trial [OPTIONS]

Options:
      --preset NAME  database names, zones and limits: prensa-sul (default) or registry
      --port PORT    port of the first daemon; the others use the next ports [6432]
      --daemons N    number of daemons, 1 to 6 [3]
      --lag-ms N     replication lag in milliseconds [20]
      --seconds N    stop after this time; by default on SIGINT or SIGTERM
      --log LEVEL    error, warn or info (also events and each decision) [warn]
      --check        check the options and exit without starting anything
  -h, --help         show this help
  -V, --version      show the version
";

struct Invocation {
    options: Options,
    seconds: Option<u64>,
    check: bool,
}

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, |args| {
        let request = parse(args)?;
        if request.check { Ok(()) } else { run(&request) }
    })
}

fn parse(mut args: Args) -> Result<Invocation, ArgsError> {
    let preset = args.option::<Preset>("--preset")?;
    let port = args.option("--port")?;
    let daemons = args.option("--daemons")?.unwrap_or(3);
    let lag_ms = args.option("--lag-ms")?.unwrap_or(20);
    let seconds = args.option("--seconds")?;
    let log = args.option::<String>("--log")?;
    let check = args.flag("--check");
    args.finish()?;
    if !(1..=6).contains(&daemons) {
        return Err(ArgsError::new(format!("--daemons: {daemons}; allowed: 1 to 6")));
    }
    let options = Options {
        preset: preset.unwrap_or(Preset::PrensaSul),
        port: port.unwrap_or(DEFAULT_PORT),
        daemons,
        lag_ms,
        log: level(log.as_deref())?,
        ..Options::default()
    };
    Ok(Invocation { options, seconds, check })
}

/// Parses the value of `--log`.
fn level(name: Option<&str>) -> Result<logs::Level, ArgsError> {
    match name {
        None | Some("warn") => Ok(logs::Level::Warn),
        Some("error") => Ok(logs::Level::Error),
        Some("info") => Ok(logs::Level::Info),
        Some(other) => {
            Err(ArgsError::new(format!("--log: {other:?}; allowed: error, warn or info")))
        }
    }
}

fn run(request: &Invocation) -> Result<(), Failure> {
    logs::init(request.options.log).map_err(Failure::new)?;
    let cluster = LocalCluster::start(&request.options).map_err(Failure::new)?;
    for (index, addr) in cluster.addrs().iter().enumerate() {
        println!("ready: daemon {} on {addr}", index + 1);
    }
    println!("platform on {}, secret {PEER_SECRET:?} (for corianderctl)", cluster.platform());
    for names in request.options.preset.names() {
        println!("one group, three names: {}", names.join(" = "));
    }
    match request.seconds {
        Some(seconds) => thread::sleep(Duration::from_secs(seconds)),
        None => cli::wait_for_stop().map_err(Failure::new)?,
    }
    Ok(())
}
