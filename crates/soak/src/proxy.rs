use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    time,
};

use crate::peer_process::DaemonProcesses;

const CHUNK_BYTES: usize = 16 * 1024;

/// How a proxy treats the bytes of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    PassThrough,
    /// Each chunk of bytes is delayed by this time.
    Delayed(Duration),
    /// Bytes are held back in both directions until the mode changes.
    Silent,
    /// Bytes to the client are held back until the mode changes.
    OneWay,
    /// Connections are closed, new ones without contacting the server.
    Reset,
}

/// A mode and the daemons whose connections it affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LinkFault {
    pub(crate) mode: Mode,
    /// A bit for each daemon. Only daemons' connections to members are told apart; all others
    /// count as daemon 0's.
    pub(crate) daemons: u64,
}

/// A TCP proxy on the loopback interface that injects network faults.
#[derive(Debug)]
pub(crate) struct FaultProxy {
    pub(crate) addr: SocketAddr,
    link_fault: watch::Sender<LinkFault>,
}

/// A proxied connection: the daemon that opened it, and the current link fault.
#[derive(Clone)]
struct Connection {
    daemon: usize,
    link_fault: watch::Receiver<LinkFault>,
}

impl LinkFault {
    pub(crate) const NONE: LinkFault = LinkFault { mode: Mode::PassThrough, daemons: 0 };

    /// A fault of the connections of all daemons.
    pub(crate) fn new(mode: Mode) -> LinkFault {
        LinkFault { mode, daemons: u64::MAX }
    }

    fn mode_for(self, daemon: usize) -> Mode {
        if self.daemons & (1 << daemon) == 0 { Mode::PassThrough } else { self.mode }
    }
}

impl FaultProxy {
    /// Starts a proxy that forwards connections to `target`. Connections of `daemons` are told apart.
    pub(crate) async fn start(
        target: SocketAddr,
        daemons: DaemonProcesses,
    ) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let (link_fault, changes) = watch::channel(LinkFault::NONE);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(forward_connection(
                    stream,
                    addr,
                    target,
                    changes.clone(),
                    daemons.clone(),
                ));
            }
        });
        Ok(FaultProxy { addr, link_fault })
    }

    /// Whether connections are disturbed at present.
    pub(crate) fn is_faulty(&self) -> bool {
        self.link_fault.borrow().mode != Mode::PassThrough
    }

    pub(crate) fn set(&self, link_fault: LinkFault) {
        // Sending cannot fail: the accept loop holds a receiver.
        let _ = self.link_fault.send(link_fault);
    }
}

async fn forward_connection(
    mut client: TcpStream,
    addr: SocketAddr,
    target: SocketAddr,
    link_fault: watch::Receiver<LinkFault>,
    daemons: DaemonProcesses,
) {
    let mut first = vec![0; CHUNK_BYTES];
    let Ok(count @ 1..) = client.read(&mut first).await else { return };
    // A daemon names itself to members, or the organisation that its connection is for.
    let named = daemon_index(&first[..count]);
    let daemon = named.or_else(|| daemons.find(client.peer_addr().ok()?, addr));
    let daemon = daemon.unwrap_or(0).min(u64::BITS as usize - 1);
    let mut connection = Connection { daemon, link_fault };
    if connection.mode() == Mode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    // Nagle's algorithm would delay small messages. If setting the option fails, they are
    // only late.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, mut server_tx) = server.into_split();
    let to_server = async {
        let mut connection = connection.clone();
        if connection.write(&first[..count], &client_rx, &mut server_tx, false).await.is_some() {
            copy(client_rx, server_tx, connection, false).await;
        }
    };
    let to_client = copy(server_rx, client_tx, connection.clone(), true);
    let (daemon, mut until_reset) = (connection.daemon, connection.link_fault.clone());
    tokio::select! {
        () = to_server => {}
        () = to_client => {}
        _ = until_reset.wait_for(|it| it.mode_for(daemon) == Mode::Reset) => {}
    }
}

/// Index of the daemon that opened a connection, from the node name in the start-up line that
/// it sends to members; `None` if there is none.
fn daemon_index(first: &[u8]) -> Option<usize> {
    let line = String::from_utf8_lossy(first);
    let node_name = line.strip_prefix("STARTUP ").and_then(|rest| rest.split([' ', '\r']).nth(1));
    let index = node_name.and_then(|node_name| node_name.strip_prefix('d')?.split('-').next());
    index.and_then(|index| index.parse().ok())
}

/// Copies bytes in one direction until either side closes.
async fn copy(
    mut rx: tcp::OwnedReadHalf,
    mut tx: tcp::OwnedWriteHalf,
    mut connection: Connection,
    is_reply: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count @ 1..) = rx.read(&mut buf).await else { return };
        if connection.write(&buf[..count], &rx, &mut tx, is_reply).await.is_none() {
            return;
        }
    }
}

impl Connection {
    fn mode(&mut self) -> Mode {
        self.link_fault.borrow_and_update().mode_for(self.daemon)
    }

    /// Writes the bytes once the mode permits it, unless their sender has reset the connection by
    /// then: a reset discards what has not been delivered.
    async fn write(
        &mut self,
        buf: &[u8],
        rx: &tcp::OwnedReadHalf,
        tx: &mut tcp::OwnedWriteHalf,
        is_reply: bool,
    ) -> Option<()> {
        let daemon = self.daemon;
        let lets_through = |it: &LinkFault| match it.mode_for(daemon) {
            Mode::Silent => false,
            Mode::OneWay => !is_reply,
            Mode::PassThrough | Mode::Delayed(_) | Mode::Reset => true,
        };
        self.link_fault.wait_for(lets_through).await.ok()?;
        if let Mode::Delayed(delay) = self.mode() {
            time::sleep(delay).await;
        }
        if !matches!(rx.as_ref().take_error(), Ok(None)) {
            return None;
        }
        tx.write_all(buf).await.ok()
    }
}
