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

/// A mode, and whose connections it is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Disturbance {
    pub(crate) mode: Mode,
    /// A bit for each daemon; a connection that names none counts as the first's.
    pub(crate) daemons: u64,
}

/// Stands before an address on the loopback interface.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    disturbance: watch::Sender<Disturbance>,
}

/// A connection's part of what a proxy does.
#[derive(Clone)]
struct Link {
    daemon: usize,
    changes: watch::Receiver<Disturbance>,
}

impl Disturbance {
    pub(crate) const NONE: Disturbance = Disturbance { mode: Mode::Open, daemons: 0 };

    /// For everybody.
    pub(crate) fn new(mode: Mode) -> Disturbance {
        Disturbance { mode, daemons: u64::MAX }
    }

    fn of(self, daemon: usize) -> Mode {
        if self.daemons & (1 << daemon) == 0 { Mode::Open } else { self.mode }
    }
}

impl Proxy {
    /// Passes connections on to `target`.
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let (disturbance, changes) = watch::channel(Disturbance::NONE);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(pass(stream, target, changes.clone()));
            }
        });
        Ok(Proxy { addr, disturbance })
    }

    pub(crate) fn set(&self, disturbance: Disturbance) {
        // Without a connection nobody needs to know.
        let _ = self.disturbance.send(disturbance);
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, changes: watch::Receiver<Disturbance>) {
    let mut first = vec![0; CHUNK_BYTES];
    let Ok(count @ 1..) = near.read(&mut first).await else { return };
    let mut link = Link { daemon: daemon(&first[..count]), changes };
    if link.mode() == Mode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    // Small messages must not wait for more; if it cannot be set they come late.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, mut far_tx) = far.into_split();
    let forth = async {
        if link.clone().write(&first[..count], &mut far_tx, false).await.is_some() {
            copy(near_rx, far_tx, link.clone(), false).await;
        }
    };
    let back = copy(far_rx, near_tx, link.clone(), true);
    let (daemon, mut until_reset) = (link.daemon, link.changes.clone());
    tokio::select! {
        () = forth => {}
        () = back => {}
        _ = until_reset.wait_for(|it| it.of(daemon) == Mode::Reset) => {}
    }
}

/// Number of the daemon that opened a connection, as a member's session names it.
fn daemon(first: &[u8]) -> usize {
    let line = String::from_utf8_lossy(first);
    let who = line.strip_prefix("STARTUP ").and_then(|rest| rest.split([' ', '\r']).nth(1));
    let number = who.and_then(|who| who.strip_prefix('d')?.parse::<usize>().ok());
    number.unwrap_or(0).min(u64::BITS as usize - 1)
}

/// Passes bytes one way until either side ends.
async fn copy(mut rx: tcp::OwnedReadHalf, mut tx: tcp::OwnedWriteHalf, mut link: Link, back: bool) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count @ 1..) = rx.read(&mut buf).await else { return };
        if link.write(&buf[..count], &mut tx, back).await.is_none() {
            return;
        }
    }
}

impl Link {
    fn mode(&mut self) -> Mode {
        self.changes.borrow_and_update().of(self.daemon)
    }

    /// Passes bytes on once the mode lets them.
    async fn write(&mut self, buf: &[u8], tx: &mut tcp::OwnedWriteHalf, back: bool) -> Option<()> {
        let daemon = self.daemon;
        let passes = |it: &Disturbance| match it.of(daemon) {
            Mode::Silent => false,
            Mode::OneWay => !back,
            Mode::Open | Mode::Slow(_) | Mode::Reset => true,
        };
        self.changes.wait_for(passes).await.ok()?;
        if let Mode::Slow(slow) = self.mode() {
            time::sleep(slow).await;
        }
        tx.write_all(buf).await.ok()
    }
}
