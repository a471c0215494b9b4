//! Command line of the experiments.

use std::{
    path::{Path, PathBuf},
    process,
};

use bench::{BenchError, Experiment};
use cli::{Args, ArgsError, Failure};

const PROGRAM: &str = "corianderwharf-bench";
const HELP: &str = "
corianderwharf-bench: runs load experiments and compares their reports

Usage: corianderwharf-bench run FILE [--out DIR]
       corianderwharf-bench compare FIRST.json SECOND.json

Options:
      --out DIR  write the report as JSON, CSV and SVG plot to DIR
      --check    check the experiment file without running it
  -h, --help     show this text
  -V, --version  show the version
";

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, run)
}

fn run(mut args: Args) -> Result<(), Failure> {
    let out: Option<PathBuf> = args.option("--out")?;
    let check = args.flag("--check");
    let command = args.required_positional("a command")?;
    let file: PathBuf = args.required_positional("a file")?.into();
    match command.as_str() {
        "run" => {
            args.finish()?;
            run_file(&file, check, out.as_deref()).map_err(Failure::new)
        }
        "compare" => {
            let second: PathBuf = args.required_positional("a second file")?.into();
            args.finish()?;
            print!("{}", bench::compare(&file, &second).map_err(Failure::new)?);
            Ok(())
        }
        other => Err(ArgsError::new(format!("unknown command {other:?}; see --help")).into()),
    }
}

fn run_file(file: &Path, check: bool, out: Option<&Path>) -> Result<(), BenchError> {
    let experiment = Experiment::load(file)?;
    if check {
        return Ok(());
    }
    let _ = logs::init(logs::Level::Error);
    let report = bench::run(&experiment)?;
    out.map_or(Ok(()), |dir| report.write(dir))
}
