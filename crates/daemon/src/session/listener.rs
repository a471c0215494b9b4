use monoio::net::{TcpListener, TcpStream};
use wire::{Conn, InitialMessage, WireError, sqlstate};

use crate::{
    orders::Report,
    session::{cancel_registry::CancelOutcome, context::Context, run::Session},
};

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
    loop {
        match listener.accept().await {
            Ok((stream, _)) => cx.tasks.spawn(handle_connection(cx.clone(), stream, origin)),
            Err(error) => {
                logs::warn(&format!("a connection could not be accepted: {error}"));
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn handle_connection(cx: Context, stream: TcpStream, origin: Origin) {
    let mut conn = Conn::new(stream);
    match wire::accept(&mut conn).await {
        Ok(InitialMessage::Cancel(cancel)) => {
            let secret = cancel.secret_key.as_i32().unwrap_or_default();
            if !cancel_local(&cx, cancel.pid, secret).await {
                let _ = cx.reports.unbounded_send(Report::Cancel { pid: cancel.pid, secret });
            }
        }
        Ok(InitialMessage::Session(startup)) => {
            let open = cx.open_sessions.get();
            if origin == Origin::Caller && open >= cx.limits.connections {
                let _ = reject_over_limit(&mut conn).await;
                return;
            }
            cx.open_sessions.set(open + 1);
            cx.metrics.gauge("callers", u64::from(open + 1));
            let _ = Session::serve(cx.clone(), conn, startup, origin).await;
            cx.open_sessions.set(cx.open_sessions.get() - 1);
        }
        Err(_) => {}
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

/// Refuses a caller's session because the daemon has `limits.connections` sessions already.
async fn reject_over_limit(conn: &mut Conn) -> Result<(), WireError> {
    let message = "this daemon serves as many callers as its settings allow";
    conn.queue(&wire::error_response(sqlstate::TOO_MANY_CONNECTIONS, message, "Not run."));
    conn.flush().await
}
