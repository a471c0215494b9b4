use monoio::net::{TcpListener, TcpStream};
use wire::{Conn, InitialMessage, WireError, sqlstate};

use crate::{
    orders::Report,
    session::{cancels::Cancelled, context::Context, run::Session},
};

/// Who connects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another daemon that forwards requests.
    Daemon,
}

/// Accepts connections until the process ends.
pub(crate) async fn listen(cx: Context, listener: TcpListener, origin: Origin) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => cx.tasks.spawn(welcome(cx.clone(), stream, origin)),
            Err(error) => {
                logs::warn(&format!("a connection could not be accepted: {error}"));
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn welcome(cx: Context, stream: TcpStream, origin: Origin) {
    let mut conn = Conn::new(stream);
    match wire::accept(&mut conn).await {
        Ok(InitialMessage::Cancel(cancel)) => {
            let secret = cancel.secret_key.as_i32().unwrap_or_default();
            if !cancel_here(&cx, cancel.pid, secret).await {
                let _ = cx.reports.unbounded_send(Report::Cancel { pid: cancel.pid, secret });
            }
        }
        Ok(InitialMessage::Session(startup)) => {
            let open = cx.open.get();
            if origin == Origin::Caller && open >= cx.limits.connections {
                let _ = refuse_full(&mut conn).await;
                return;
            }
            cx.open.set(open + 1);
            cx.metrics.gauge("callers", u64::from(open + 1));
            let _ = Session::serve(cx.clone(), conn, startup, origin).await;
            cx.open.set(cx.open.get() - 1);
        }
        Err(_) => {}
    }
}

/// Cancels a request of a session of this daemon; whether it is known here.
pub(crate) async fn cancel_here(cx: &Context, pid: i32, secret: i32) -> bool {
    let cancelled = cx.cancels.borrow().cancel(pid, secret);
    match cancelled {
        Cancelled::Unknown => false,
        Cancelled::Waiting => true,
        Cancelled::Running(target) => {
            let _ = wire::cancel(target.addr, target.pid, target.secret).await;
            true
        }
    }
}

async fn refuse_full(conn: &mut Conn) -> Result<(), WireError> {
    let message = "this daemon serves as many callers as its settings allow";
    conn.queue(&wire::error_response(sqlstate::TOO_MANY_CONNECTIONS, message, "Not run."));
    conn.flush().await
}
