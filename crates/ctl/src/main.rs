//! `corianderctl`, the operators' command-line tool.

use std::process;

use cli::{Args, Failure};
use ctl::{Command, HELP};

const PROGRAM: &str = "corianderctl";

fn main() -> process::ExitCode {
    cli::run(PROGRAM, HELP, run)
}

fn run(args: Args) -> Result<(), Failure> {
    let command = Command::parse(args)?;
    if command.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Failure::new)?;
    let text = runtime.block_on(command.run()).map_err(Failure::new)?;
    print!("{text}");
    Ok(())
}
