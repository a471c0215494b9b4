use std::{
    collections::VecDeque,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use axum::serve::Listener;
use base::Time;
use budget::Reason;
use futures_channel::oneshot;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{self, Sleep},
};

use crate::{clock, shared::Shared};

/// Connections that may be open at a time. A probe or a scrape takes one for some milliseconds.
const MAX_CONNECTIONS: usize = 32;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listener with a limit on the number of connections and on the time and bytes of each, for ports
/// whose clients send one short request per connection. If the number is exceeded, the oldest
/// connection is closed, so that connections that stall don't keep others out.
#[derive(Debug)]
pub(crate) struct BoundedListener {
    listener: TcpListener,
    /// Longest time that a connection stays open.
    lifetime: Duration,
    /// Bytes that may be received on a connection.
    max_received: usize,
    shared: Arc<Shared>,
    /// The open connections in the order in which they were accepted. Dropping a sender closes the
    /// connection.
    open: VecDeque<oneshot::Sender<()>>,
}

/// A connection of a [`BoundedListener`].
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    end: Pin<Box<Sleep>>,
    evicted: oneshot::Receiver<()>,
    /// Bytes that may still be received.
    receivable: usize,
    received: usize,
    accepted_at: Time,
    shared: Arc<Shared>,
}

impl BoundedListener {
    pub(crate) fn new(
        listener: TcpListener,
        lifetime: Duration,
        max_received: usize,
        shared: Arc<Shared>,
    ) -> BoundedListener {
        BoundedListener { listener, lifetime, max_received, shared, open: VecDeque::new() }
    }

    /// Waits for the next connection.
    pub(crate) async fn next(&mut self) -> (BoundedStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => return (self.bound(stream), peer),
                Err(error) => {
                    logs::warn(&format!("a connection could not be accepted: {error}"));
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn bound(&mut self, stream: TcpStream) -> BoundedStream {
        let _ = stream.set_nodelay(true);
        self.open.retain(|open| !open.is_canceled());
        while self.open.len() >= MAX_CONNECTIONS {
            self.open.pop_front();
        }
        let (tx, evicted) = oneshot::channel();
        self.open.push_back(tx);
        let end = Box::pin(time::sleep(self.lifetime));
        BoundedStream {
            stream,
            end,
            evicted,
            receivable: self.max_received,
            received: 0,
            accepted_at: clock::now(),
            shared: Arc::clone(&self.shared),
        }
    }
}

impl Listener for BoundedListener {
    type Io = BoundedStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (BoundedStream, SocketAddr) {
        self.next().await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl BoundedStream {
    /// Fails if the connection must end.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.end.as_mut().poll(cx).is_ready() {
            return Err(self.refuse(Reason::SlowMessage, io::ErrorKind::TimedOut));
        }
        match Pin::new(&mut self.evicted).poll(cx) {
            Poll::Ready(_) => Err(self.refuse(Reason::Sessions, io::ErrorKind::ConnectionAborted)),
            Poll::Pending => Ok(()),
        }
    }

    /// Counts and logs that the connection ends early.
    fn refuse(&self, reason: Reason, kind: io::ErrorKind) -> io::Error {
        self.shared.count_client(reason);
        let age = clock::now().since(self.accepted_at).as_millis();
        let addr = self.stream.local_addr().ok();
        logs::event(
            "client refused",
            &serde_json::json!({"reason": reason.as_str(), "bytes": self.received, "age_ms": age,
                "addr": addr}),
        );
        kind.into()
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = buf.filled().len() - before;
        self.received += received;
        match self.receivable.checked_sub(received) {
            Some(left) => self.receivable = left,
            None => {
                let kind = io::ErrorKind::InvalidData;
                return Poll::Ready(Err(self.refuse(Reason::LongMessage, kind)));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
