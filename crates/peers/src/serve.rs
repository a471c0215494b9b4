use std::{io, net};

use futures_util::StreamExt;
use tarpc::{
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{net::TcpListener, sync::mpsc};

use crate::service::{IncomingCall, Peer, Server};

/// Largest message that is accepted from a peer.
const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// Serves control calls and passes them to `calls`. Returns only if the listener fails.
pub async fn serve(
    listener: net::TcpListener,
    secret: String,
    calls: mpsc::Sender<IncomingCall>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let server = Server { secret, calls };
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_CALL_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(server.clone().serve());
        tokio::spawn(requests.for_each(|response| async {
            tokio::spawn(response);
        }));
    }
}
