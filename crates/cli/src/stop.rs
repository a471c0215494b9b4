use std::io;

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Registers handlers for SIGINT and SIGTERM, and returns an iterator over the signals
/// received.
pub fn stop_signals() -> io::Result<Signals> {
    Signals::new([SIGINT, SIGTERM])
}

/// Blocks until the process receives SIGINT or SIGTERM.
pub fn wait_for_stop() -> io::Result<()> {
    stop_signals()?.forever().next();
    Ok(())
}
