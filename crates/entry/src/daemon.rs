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
    control::{self, Event},
    data,
    shared::Shared,
};

/// The daemon.
#[derive(Debug)]
pub struct Daemon;

/// Why the daemon cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound, or a thread or signal handler not set up.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: String,
        /// The system's error.
        source: io::Error,
    },
}

impl Daemon {
    /// Serves until a signal ends the process.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or a thread cannot be started.
    pub fn run(settings: Settings, file: &path::Path) -> Result<(), StartError> {
        let what = format!("listening on {}", settings.callers);
        let callers = TcpListener::bind(settings.callers).context(SystemSnafu { what })?;
        callers.set_nonblocking(true).context(SystemSnafu { what: "listening" })?;
        let shared = Arc::new(Shared::new());
        let (orders, orders_rx) = mpsc::unbounded();
        let (events, events_rx) = mpsc::unbounded();
        let mut signals =
            Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SystemSnafu { what: "signals" })?;
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

/// Ends the process when the data thread fails, so that it starts anew instead of
/// telling the platform that it is ready.
struct EndsProcess;

impl Drop for EndsProcess {
    fn drop(&mut self) {
        logs::error("the data thread has failed; the process ends with it");
        logs::flush();
        process::exit(1);
    }
}

fn data_thread(setup: data::Setup) {
    let ends_process = EndsProcess;
    let runtime = monoio::RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let ended = runtime.and_then(|mut runtime| runtime.block_on(data::run(setup)));
    match ended {
        // The control thread has ended as planned.
        Ok(()) => mem::forget(ends_process),
        Err(error) => logs::error(&format!("data thread: {error}")),
    }
}
