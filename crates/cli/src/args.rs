use std::{ffi, str};

use snafu::Snafu;

/// Command-line arguments that have not been parsed yet. Each method removes the arguments
/// that it returns.
#[derive(Debug)]
pub struct Args {
    inner: pico_args::Arguments,
}

/// Usage error in the command line: an argument is unknown, missing or invalid.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct ArgsError {
    message: String,
}

impl ArgsError {
    /// Creates an error with a message for the user.
    pub fn new(message: impl Into<String>) -> ArgsError {
        ArgsError { message: message.into() }
    }
}

impl Args {
    /// Returns the arguments of this process, or `None` if `--help` or `--version` was given
    /// and has been answered on standard output.
    pub fn from_env(program: &str, help: &str) -> Option<Args> {
        let mut inner = pico_args::Arguments::from_env();
        if inner.contains(["-h", "--help"]) {
            println!("{}", help.trim());
            return None;
        }
        if is_version(&mut inner) {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            return None;
        }
        Some(Args { inner })
    }

    /// Creates arguments from a list, for tests.
    pub fn from_list(list: &[&str]) -> Args {
        let list = list.iter().map(ffi::OsString::from).collect();
        Args { inner: pico_args::Arguments::from_vec(list) }
    }

    /// Removes a flag and returns whether it was present.
    pub fn flag(&mut self, flag: &'static str) -> bool {
        self.inner.contains(flag)
    }

    /// Removes an option and returns its value, or `None` if the option is absent.
    pub fn option<T>(&mut self, option: &'static str) -> Result<Option<T>, ArgsError>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        let value = self.inner.opt_value_from_str(option);
        value.map_err(|error| ArgsError { message: format!("{option}: {error}") })
    }

    /// Removes and returns all remaining positional arguments. At least one is required;
    /// `what` describes it in the error.
    pub fn required_positionals(&mut self, what: &str) -> Result<Vec<String>, ArgsError> {
        let mut arguments = vec![self.required_positional(what)?];
        while let Some(argument) = self.positional()? {
            arguments.push(argument);
        }
        Ok(arguments)
    }

    /// Removes an option and returns its value. An absent option is an error.
    pub fn required<T>(&mut self, option: &'static str) -> Result<T, ArgsError>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        let value = self.option(option)?;
        value.ok_or_else(|| ArgsError { message: format!("{option}: a value is required") })
    }

    /// Removes and returns the next positional argument, or `None` if there is none.
    pub fn positional(&mut self) -> Result<Option<String>, ArgsError> {
        let value = self.inner.opt_free_from_str::<String>();
        value.map_err(|error| ArgsError { message: error.to_string() })
    }

    /// Removes and returns the next positional argument, which is required; `what`
    /// describes it in the error.
    pub fn required_positional(&mut self, what: &str) -> Result<String, ArgsError> {
        let argument = self.positional()?;
        argument.ok_or_else(|| ArgsError { message: format!("{what} is required") })
    }

    /// Returns `value`, or an error if the option was absent. To be called after
    /// [`Args::finish`], so that an unknown argument is reported before a missing one.
    pub fn require<T>(option: &str, value: Option<T>) -> Result<T, ArgsError> {
        value.ok_or_else(|| ArgsError { message: format!("{option}: a value is required") })
    }

    /// Returns an error that names the first remaining argument, if there is one.
    pub fn finish(self) -> Result<(), ArgsError> {
        let rest = self.inner.finish();
        let Some(first) = rest.first() else { return Ok(()) };
        Err(ArgsError { message: format!("unknown argument {:?}; see --help", first) })
    }
}

/// Whether `--version` is the only argument. Otherwise it is an option of a subcommand, as
/// in `--version N`.
fn is_version(inner: &mut pico_args::Arguments) -> bool {
    let alone = inner.clone().finish().len() == 1;
    alone && inner.contains(["-V", "--version"])
}
