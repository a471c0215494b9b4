use std::{cell::Cell, rc::Rc, time::Duration};

use budget::Reason;
use futures_util::future::Abortable;
use monoio::net::{TcpListener, TcpStream};
use wire::{Conn, ErrorResponse, InitialMessage, sqlstate};

use crate::{
    orders::Report,
    session::{account::Account, cancel_registry::CancelOutcome, context::Context, run::Session},
};

/// Connections that are accepted in a row, before the sessions get their turn.
const ACCEPT_BATCH: u32 = 4;
/// Time limit for a new connection's start-up message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Kind of client at the other end of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A caller of the proxy.
    Caller,
    /// Another daemon that forwards requests.
    Daemon,
}

/// Accepts connections until the task is cancelled.
pub(crate) async fn listen(cx: Context, listener: TcpListener, origin: Origin) {
    let mut accepted = 0_u32;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                admit(&cx, stream, origin);
                accepted = accepted.wrapping_add(1);
                if accepted.is_multiple_of(ACCEPT_BATCH) {
                    accounts::yield_now().await;
                }
            }
            Err(error) => {
                logs::warn(&format!("a connection could not be accepted: {error}"));
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Starts to serve a connection if the limits allow another one.
fn admit(cx: &Context, stream: TcpStream, origin: Origin) {
    let Some((account, registration)) = cx.accounts.open(1) else {
        cx.tasks.spawn(async move {
            let mut conn = Conn::new(stream);
            conn.queue(&over_limit());
            // The socket of a new connection takes it as soon as the runtime has registered it.
            let _ = conn.flush_part().await;
        });
        return;
    };
    let accounts = Rc::clone(&cx.accounts);
    let connection = handle_connection(cx.clone(), stream, origin, account);
    cx.tasks.spawn(async move {
        let _ = accounts.in_turns(Abortable::new(connection, registration)).await;
    });
}

async fn handle_connection(cx: Context, stream: TcpStream, origin: Origin, account: Account) {
    let mut conn = Conn::new(stream);
    let Ok(initial) = monoio::time::timeout(STARTUP_TIMEOUT, wire::accept(&mut conn)).await else {
        account.log_refused(Reason::Startup, conn.buffered() as u64);
        return;
    };
    account.running(0);
    match initial {
        Ok(InitialMessage::Cancel(cancel)) => {
            let secret = cancel.secret_key.as_i32().unwrap_or_default();
            if !cancel_local(&cx, cancel.pid, secret).await {
                let _ = cx.reports.unbounded_send(Report::Cancel { pid: cancel.pid, secret });
            }
        }
        Ok(InitialMessage::Session(startup)) => {
            let open = cx.open_sessions.get();
            if origin == Origin::Caller && open >= cx.limits.connections {
                conn.queue(&over_limit());
                let _ = account.send(&mut conn).await;
                return;
            }
            let _open = OpenSession::new(&cx.open_sessions);
            cx.metrics.gauge("callers", u64::from(open + 1));
            let _ = Session::serve(cx.clone(), conn, startup, origin, account).await;
        }
        Err(_) => {}
    }
}

/// Counts a session while it is open, however it ends.
struct OpenSession(Rc<Cell<u32>>);

impl OpenSession {
    fn new(count: &Rc<Cell<u32>>) -> OpenSession {
        count.set(count.get() + 1);
        OpenSession(Rc::clone(count))
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Cancels the current request of a session of this daemon; returns whether the
/// session exists here.
pub(crate) async fn cancel_local(cx: &Context, pid: i32, secret: i32) -> bool {
    let outcome = cx.cancel_registry.borrow().cancel(pid, secret);
    match outcome {
        CancelOutcome::Unknown => false,
        CancelOutcome::Waiting => true,
        CancelOutcome::Running(target) => {
            let _ = wire::cancel(target.addr, target.pid, target.secret).await;
            true
        }
    }
}

/// Refuses a caller's session because the daemon has as many as it may have.
fn over_limit() -> ErrorResponse {
    let message = "this daemon serves as many callers as its settings allow";
    wire::error_response(sqlstate::TOO_MANY_CONNECTIONS, message, "Not run.")
}
