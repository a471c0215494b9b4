use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    time,
};

const CHUNK_BYTES: usize = 16 * 1024;

/// What a proxy does to the bytes that pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    Open,
    /// Bytes come this much later.
    Slow(Duration),
    /// Nothing passes; what waits passes once the mode ends.
    Silent,
    /// Nothing passes back to whoever connected.
    OneWay,
    /// Connections are closed, and new ones at once.
    Reset,
}

/// Stands before an address on the loopback interface.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Passes connections on to `target`.
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let (mode, changes) = watch::channel(Mode::Open);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(pass(stream, target, changes.clone()));
            }
        });
        Ok(Proxy { addr, mode })
    }

    pub(crate) fn set(&self, mode: Mode) {
        // Without a connection nobody needs to know.
        let _ = self.mode.send(mode);
    }
}

async fn pass(near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    // Small messages must not wait for more; if it cannot be set they come late.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let mut until_reset = mode.clone();
    tokio::select! {
        () = copy(near_rx, far_tx, mode.clone(), false) => {}
        () = copy(far_rx, near_tx, mode, true) => {}
        _ = until_reset.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Passes bytes one way until either side ends.
async fn copy(
    mut rx: tcp::OwnedReadHalf,
    mut tx: tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    back: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count @ 1..) = rx.read(&mut buf).await else { return };
        let held = |mode: &Mode| *mode == Mode::Silent || (back && *mode == Mode::OneWay);
        if mode.wait_for(|mode| !held(mode)).await.is_err() {
            return;
        }
        let slow = match *mode.borrow() {
            Mode::Slow(slow) => slow,
            _ => Duration::ZERO,
        };
        time::sleep(slow).await;
        if tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
