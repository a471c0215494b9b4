use std::{io, net::SocketAddr, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use crate::control::{event::Event, tables::TableSnapshot};

/// Timeout of a call, including the connection. A snapshot of all rows is about 100 kB.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a message, enough for a configuration with thousands of routes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// RPC interface between carriers.
#[tarpc::service]
trait RowSync {
    /// Returns the store's rows as the called carrier has cached them, of one table or of all.
    async fn rows(table: Option<String>) -> Vec<TableSnapshot>;
}

#[derive(Clone, Debug)]
struct Server {
    events: mpsc::UnboundedSender<Event>,
}

impl RowSync for Server {
    async fn rows(self, _: context::Context, table: Option<String>) -> Vec<TableSnapshot> {
        let (tx, rx) = oneshot::channel();
        // Both fail only during shutdown, when an empty answer is correct.
        let _ = self.events.unbounded_send(Event::RowsRequested { table, tx });
        rx.await.unwrap_or_default()
    }
}

/// Serves the other carriers' calls until the process ends.
pub(crate) async fn serve(listener: TcpListener, events: mpsc::UnboundedSender<Event>) {
    loop {
        let accepted = listener.accept().await;
        let transport = match accepted.and_then(|(stream, _)| transport(stream)) {
            Ok(transport) => transport,
            Err(error) => {
                logs::warn(&format!("row sync: a connection could not be accepted: {error}"));
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(Server { events: events.clone() }.serve());
        tokio::spawn(requests.for_each(|response| async {
            tokio::spawn(response);
        }));
    }
}

/// Fetches a carrier's cached rows, of one table or of all; `None` if the call fails or exceeds
/// its timeout.
pub(crate) async fn rows(addr: SocketAddr, table: Option<&str>) -> Option<Vec<TableSnapshot>> {
    let call = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let transport = transport(stream).ok()?;
        let client = RowSyncClient::new(client::Config::default(), transport).spawn();
        client.rows(context::current(), table.map(str::to_owned)).await.ok()
    };
    time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
}

type Transport<Item, SinkItem> =
    tarpc::serde_transport::Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

fn transport<Item, SinkItem>(stream: TcpStream) -> io::Result<Transport<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    stream.set_nodelay(true)?;
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream);
    Ok(tarpc::serde_transport::new(framed, Bincode::default()))
}
