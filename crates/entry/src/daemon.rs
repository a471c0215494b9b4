use std::{io, mem, net::TcpListener, path, process, sync::Arc, thread};

use adapter::Settings;
use futures_channel::mpsc;
use monoio::LegacyDriver;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use snafu::{ResultExt, Snafu};

use crate::{
    clock,
    control::{self, Event},
    data,
    shared::Shared,
};

/// The entry daemon, one per process.
#[derive(Debug)]
pub struct Daemon;

/// Error that prevents the daemon from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address could not be bound, or a thread or signal handler could not be set up.
    #[snafu(display("{what}: {source}"))]
    System {
        /// Operation that failed, for the error message.
        what: String,
        /// Error from the operating system.
        source: io::Error,
    },
}

impl Daemon {
    /// Serves callers until a signal stops the process. `file` is read again on SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, or a thread or signal handler
    /// cannot be set up.
    pub fn run(settings: Settings, file: &path::Path) -> Result<(), StartError> {
        let what = format!("listening on {}", settings.callers);
        let callers = TcpListener::bind(settings.callers).context(SystemSnafu { what })?;
        callers.set_nonblocking(true).context(SystemSnafu { what: "configuring the listener" })?;
        let shared = Arc::new(Shared::new(clock::now()));
        let (orders, orders_rx) = mpsc::unbounded();
        let (events, events_rx) = mpsc::unbounded();
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
            .context(SystemSnafu { what: "registering signal handlers" })?;
        logs::event(
            "start",
            &serde_json::json!({"vm": settings.vm, "zone": settings.zone,
                "callers": settings.callers, "version": env!("CARGO_PKG_VERSION")}),
        );
        let data_setup = data::Setup {
            vm: settings.vm.clone(),
            grace: settings.grace,
            listener: callers,
            orders: orders_rx,
            events: events.clone(),
            shared: Arc::clone(&shared),
            keys: data::KeyPolicy {
                are_required: settings.requires_keys,
                revocation_limit: settings.revocation_limit,
            },
            quota: settings.quota,
            limits: budget::Limits::new(settings.memory_bytes, settings.max_descriptors),
        };
        thread::Builder::new()
            .name("data".to_owned())
            .spawn(move || data_thread(data_setup))
            .context(SystemSnafu { what: "starting the data thread" })?;
        let file = file.to_owned();
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                for signal in signals.forever() {
                    let event = match signal {
                        SIGHUP => Event::Reload(file.clone()),
                        _ => Event::Stop,
                    };
                    let _ = events.unbounded_send(event);
                }
            })
            .context(SystemSnafu { what: "starting the signal thread" })?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(SystemSnafu { what: "starting the control thread" })?;
        runtime
            .block_on(control::run(settings, shared, orders, events_rx))
            .context(SystemSnafu { what: "binding the control addresses" })?;
        logs::event("stop", &serde_json::json!({}));
        logs::flush();
        Ok(())
    }
}

/// Exits the process when dropped. If the data thread fails, the daemon is thereby
/// restarted instead of continuing to report itself ready to the platform.
struct ExitOnDrop;

impl Drop for ExitOnDrop {
    fn drop(&mut self) {
        logs::error("data thread failed; exiting the process");
        logs::flush();
        process::exit(1);
    }
}

fn data_thread(setup: data::Setup) {
    let exit_guard = ExitOnDrop;
    let runtime = monoio::RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let result = runtime.and_then(|mut runtime| runtime.block_on(data::run(setup)));
    match result {
        // The control thread has ended in an orderly shutdown.
        Ok(()) => mem::forget(exit_guard),
        Err(error) => logs::error(&format!("data thread: {error}")),
    }
}
