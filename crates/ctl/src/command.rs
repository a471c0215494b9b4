use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use base::Rank;
use cli::{Args, ArgsError};
use peers::{DaemonReport, GroupReport};
use platform::Client;
use snafu::ResultExt;
use table::Table;

use crate::{
    error::{CtlError, ReadSnafu, TableSnafu},
    fleet::Fleet,
    organisations::organisations,
    put::Put,
    tables::TableClient,
    trace::trace,
};

/// Help text of `corianderctl`, printed for `--help`.
pub const HELP: &str = "
corianderctl: operators' tool of corianderwharf

Usage: corianderctl --platform ADDR [--secret SECRET] COMMAND

Commands:
  table get [--version N]        print a version of the table, the one in force by default
  table check FILE               check a file without applying it
  table put FILE --from N        apply an edit made from version N, and wait until it is
                                 in force on every VM (at most --wait-ms, 8000)
  table history                  list the versions that the platform holds
  names                          list names and the groups they lead to
  status                         show VMs, homes, primaries and members
  explain NAME RANK              show what would be chosen now, and why
  trace ID FILE...               show what the daemons' logs (one file each) say about a
                                 request, and what state each daemon was in then; needs
                                 no platform
  organisations [--once] ADDR... show limits, use and refusals of organisations by the metrics
                                 of these daemons (IP:9464), per second over one second, or
                                 since their start with --once; needs no platform

Options:
      --platform ADDR  address of the platform, such as 127.0.0.1:7000
      --secret SECRET  secret that the daemons share (or CORIANDERWHARF_SECRET)
      --check          check the arguments and exit
  -h, --help           show this help
  -V, --version        show the version

Exit codes: 0 success, 1 failure, 2 usage error.
";

const DEFAULT_APPLY_WAIT_MS: u64 = 8_000;

/// A parsed command line.
#[derive(Debug)]
pub struct Command {
    operation: Operation,
    /// Whether `--check` was given: the program exits after parsing the arguments.
    pub check: bool,
}

#[derive(Debug)]
enum Operation {
    /// Reads log files only.
    Trace { id: String, files: Vec<PathBuf> },
    /// Reads the metrics of daemons only.
    Organisations { addrs: Vec<SocketAddr>, once: bool },
    /// Queries the platform and the daemons that it lists.
    Fleet { platform: SocketAddr, secret: String, command: FleetCommand },
}

#[derive(Debug)]
enum FleetCommand {
    Get { version: Option<u64> },
    Check { file: PathBuf },
    Put { file: PathBuf, from: u64, wait: Duration },
    History,
    Names,
    Status,
    Explain { name: String, rank: Rank },
}

impl Command {
    /// Parses the arguments. An unknown argument is reported before a missing `--platform`.
    pub fn parse(mut args: Args) -> Result<Command, ArgsError> {
        let platform = args.option("--platform")?;
        let secret = args.option("--secret")?;
        let secret = secret.or_else(|| std::env::var("CORIANDERWHARF_SECRET").ok());
        let check = args.flag("--check");
        let name = args.required_positional("a command")?;
        if name == "trace" {
            let id = args.required_positional("an id")?;
            let files =
                args.required_positionals("a file")?.into_iter().map(PathBuf::from).collect();
            args.finish()?;
            return Ok(Command { operation: Operation::Trace { id, files }, check });
        }
        if name == "organisations" {
            let once = args.flag("--once");
            let addrs = args.required_positionals("a metrics address")?;
            let addrs = addrs.iter().map(|addr| parse_addr(addr)).collect::<Result<_, _>>()?;
            args.finish()?;
            return Ok(Command { operation: Operation::Organisations { addrs, once }, check });
        }
        let command = FleetCommand::parse(&name, &mut args)?;
        args.finish()?;
        let platform = Args::require("--platform", platform)?;
        let secret = secret.unwrap_or_default();
        Ok(Command { operation: Operation::Fleet { platform, secret, command }, check })
    }

    /// Runs the command and returns the text to print.
    pub async fn run(&self) -> Result<String, CtlError> {
        match &self.operation {
            Operation::Trace { id, files } => trace(id, files),
            // Nothing else runs in this process meanwhile.
            Operation::Organisations { addrs, once } => organisations(addrs, *once),
            Operation::Fleet { platform, secret, command } => command.run(*platform, secret).await,
        }
    }
}

impl FleetCommand {
    async fn run(&self, platform: SocketAddr, secret: &str) -> Result<String, CtlError> {
        let client = Client::new(platform);
        let tables = TableClient::new(client.clone());
        match self {
            FleetCommand::Get { version } => Ok(tables.text(*version).await?.1),
            FleetCommand::Check { file } => {
                let table = read_table(file)?;
                Ok(format!("good: {} rows\n", table.rows().count()))
            }
            FleetCommand::Put { file, from, wait } => {
                let put = Put::new(tables, *from, read_table(file)?).run().await?;
                let merged = if put.merged { ", merged with other edits" } else { "" };
                let mut text = format!("accepted as version {}{merged}\n", put.version);
                let fleet = Fleet::new(&client, secret.to_owned()).await?;
                for (vm, at) in fleet.wait_for_table(put.version, *wait).await {
                    text.push_str(&apply_status(vm.id.as_str(), at, put.version));
                }
                Ok(text)
            }
            FleetCommand::History => {
                let (_, pointer) = tables.pointer().await?;
                let mut text = format!("{} in force ({})\n", pointer.version, pointer.object);
                for known in &pointer.history {
                    text.push_str(&format!("{} ({})\n", known.version, known.object));
                }
                Ok(text)
            }
            FleetCommand::Names => {
                let (_, table) = tables.table(None).await?;
                let names = table.names();
                Ok(names.iter().map(|(name, group)| format!("{name} {group}\n")).collect())
            }
            FleetCommand::Status => {
                let fleet = Fleet::new(&client, secret.to_owned()).await?;
                let reports = fleet.reports().await;
                Ok(reports
                    .iter()
                    .map(|(vm, report)| status(vm.id.as_str(), report.as_ref()))
                    .collect())
            }
            FleetCommand::Explain { name, rank } => {
                let fleet = Fleet::new(&client, secret.to_owned()).await?;
                let explanation = fleet.explain(name, *rank).await?;
                Ok(explanation.lines.iter().map(|line| format!("{line}\n")).collect())
            }
        }
    }

    fn parse(command: &str, args: &mut Args) -> Result<FleetCommand, ArgsError> {
        match command {
            "table" => FleetCommand::parse_table(args),
            "names" => Ok(FleetCommand::Names),
            "status" => Ok(FleetCommand::Status),
            "explain" => {
                let name = args.required_positional("a name")?;
                let rank = args.required_positional("a rank")?;
                let rank = rank.parse().map_err(|error| ArgsError::new(format!("{error}")))?;
                Ok(FleetCommand::Explain { name, rank })
            }
            other => Err(ArgsError::new(format!("unknown command {other:?}; see --help"))),
        }
    }

    fn parse_table(args: &mut Args) -> Result<FleetCommand, ArgsError> {
        match args.required_positional("a table command")?.as_str() {
            "get" => Ok(FleetCommand::Get { version: args.option("--version")? }),
            "check" => Ok(FleetCommand::Check { file: args.required_positional("a file")?.into() }),
            "put" => {
                let from = args.required("--from")?;
                let wait: Option<u64> = args.option("--wait-ms")?;
                let wait = Duration::from_millis(wait.unwrap_or(DEFAULT_APPLY_WAIT_MS));
                Ok(FleetCommand::Put {
                    file: args.required_positional("a file")?.into(),
                    from,
                    wait,
                })
            }
            "history" => Ok(FleetCommand::History),
            other => Err(ArgsError::new(format!("unknown table command {other:?}; see --help"))),
        }
    }
}

fn parse_addr(addr: &str) -> Result<SocketAddr, ArgsError> {
    addr.parse().map_err(|_| ArgsError::new(format!("{addr:?} is not an address such as IP:9464")))
}

fn read_table(file: &PathBuf) -> Result<Table, CtlError> {
    let what = file.display().to_string();
    let text = fs::read_to_string(file).context(ReadSnafu { file: what.clone() })?;
    Table::parse(&text).context(TableSnafu { what })
}

fn apply_status(vm: &str, at: Option<u64>, version: u64) -> String {
    match at {
        Some(at) if at >= version => format!("{vm}: in force\n"),
        Some(at) => format!("{vm}: still at version {at}\n"),
        None => format!("{vm}: does not answer\n"),
    }
}

fn status(vm: &str, report: Option<&DaemonReport>) -> String {
    let Some(report) = report else { return format!("{vm}: does not answer\n") };
    let mut text = format!("{vm}: table {}, {} callers\n", report.table, report.callers);
    for group in &report.homes {
        text.push_str(&group_status(group));
    }
    text
}

fn group_status(group: &GroupReport) -> String {
    let primary = group.primary.as_ref().map_or("none", |primary| primary.as_str());
    let mut text = format!(
        "  home of {}: term {}, primary {primary}, {} waiting\n",
        group.group, group.term, group.waiting
    );
    for member in &group.members {
        let health = if member.usable { "answers" } else { "silent" };
        let leaving = if member.leaving { ", leaving" } else { "" };
        text.push_str(&format!(
            "    {}: {health}{leaving}, position {}, {} running, {} connections\n",
            member.member, member.position, member.in_flight, member.open_connections
        ));
    }
    text
}
