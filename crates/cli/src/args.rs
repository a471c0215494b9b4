use std::{ffi, str};

use snafu::Snafu;

/// Arguments of a program that have not been taken yet.
#[derive(Debug)]
pub struct Args {
    inner: pico_args::Arguments,
}

/// Arguments that the program does not understand.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct ArgsError {
    message: String,
}

impl ArgsError {
    /// An error that says what is wrong.
    pub fn new(message: impl Into<String>) -> ArgsError {
        ArgsError { message: message.into() }
    }
}

impl Args {
    /// Arguments of this process, or `None` after answering `--help` or
    /// `--version` on standard output.
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

    /// Arguments given as a list, for tests.
    pub fn from_list(list: &[&str]) -> Args {
        let list = list.iter().map(ffi::OsString::from).collect();
        Args { inner: pico_args::Arguments::from_vec(list) }
    }

    /// Whether a flag is present.
    pub fn flag(&mut self, flag: &'static str) -> bool {
        self.inner.contains(flag)
    }

    /// The value of an option, if present.
    pub fn option<T>(&mut self, option: &'static str) -> Result<Option<T>, ArgsError>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        let value = self.inner.opt_value_from_str(option);
        value.map_err(|error| ArgsError { message: format!("{option}: {error}") })
    }

    /// Every further word, at least one.
    pub fn required_positionals(&mut self, what: &str) -> Result<Vec<String>, ArgsError> {
        let mut words = vec![self.required_positional(what)?];
        while let Some(word) = self.positional()? {
            words.push(word);
        }
        Ok(words)
    }

    /// The value of an option that must be present.
    pub fn required<T>(&mut self, option: &'static str) -> Result<T, ArgsError>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        let value = self.option(option)?;
        value.ok_or_else(|| ArgsError { message: format!("{option}: a value is needed") })
    }

    /// The next argument that is no option, if any.
    pub fn positional(&mut self) -> Result<Option<String>, ArgsError> {
        let value = self.inner.opt_free_from_str::<String>();
        value.map_err(|error| ArgsError { message: error.to_string() })
    }

    /// The next word, which must be present.
    pub fn required_positional(&mut self, what: &str) -> Result<String, ArgsError> {
        let word = self.positional()?;
        word.ok_or_else(|| ArgsError { message: format!("{what} is needed") })
    }

    /// The value of an option that must be present, to be asked for after
    /// [`Args::finish`], so that an unknown argument is named first.
    pub fn require<T>(option: &str, value: Option<T>) -> Result<T, ArgsError> {
        value.ok_or_else(|| ArgsError { message: format!("{option}: a value is needed") })
    }

    /// Refuses whatever has not been taken, by name.
    pub fn finish(self) -> Result<(), ArgsError> {
        let rest = self.inner.finish();
        let Some(first) = rest.first() else { return Ok(()) };
        Err(ArgsError { message: format!("unknown argument {:?}; see --help", first) })
    }
}

/// Whether the program's version is asked for, rather than `--version N` of a
/// subcommand.
fn is_version(inner: &mut pico_args::Arguments) -> bool {
    let alone = inner.clone().finish().len() == 1;
    alone && inner.contains(["-V", "--version"])
}
