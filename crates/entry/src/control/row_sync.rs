use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    time,
};

use crate::{
    control::{bounded_listener::BoundedListener, event::Event, tables::TableSnapshot},
    shared::Shared,
};

/// Timeout of a call, including the connection. A snapshot of all rows is about 100 kB.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time that the called carrier keeps a connection open, on which the caller makes one call.
const CONNECTION_TIME: Duration = Duration::from_secs(2);
/// Bytes that a carrier receives on a connection. A call takes less than 100.
const MAX_CALL_BYTES: usize = 4 * 1024;
/// Calls on a connection that are answered at the same time.
const MAX_CONCURRENT_CALLS: usize = 1;
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
pub(crate) async fn serve(
    listener: TcpListener,
    events: mpsc::UnboundedSender<Event>,
    shared: Arc<Shared>,
) {
    let mut listener = BoundedListener::new(listener, CONNECTION_TIME, MAX_CALL_BYTES, shared);
    loop {
        let (stream, _) = listener.next().await;
        let channel = BaseChannel::with_defaults(transport(stream));
        let channel = channel.max_concurrent_requests(MAX_CONCURRENT_CALLS);
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
        stream.set_nodelay(true).ok()?;
        let client = RowSyncClient::new(client::Config::default(), transport(stream)).spawn();
        client.rows(context::current(), table.map(str::to_owned)).await.ok()
    };
    time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
}

type Transport<S, Item, SinkItem> =
    tarpc::serde_transport::Transport<S, Item, SinkItem, Bincode<Item, SinkItem>>;

fn transport<S, Item, SinkItem>(stream: S) -> Transport<S, Item, SinkItem>
where
    S: AsyncRead + AsyncWrite,
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}
