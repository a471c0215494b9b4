use std::{
    future, net,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::StreamExt;
use tarpc::{
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::AbortHandle,
    time,
};

use crate::service::{IncomingCall, Peer, Server};

/// Largest message that is accepted from a peer.
const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;
/// Time within which a connection must carry a call with the right secret.
const PROOF_TIME: Duration = Duration::from_secs(2);
/// Connections without such a call that may be open at a time. Daemons call as soon as they have
/// connected.
const MAX_UNPROVEN: usize = 32;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves control calls and passes them to `calls`. Connections that carry no call with the right
/// secret are closed: the oldest ones if there are too many, and each after a time limit.
///
/// # Errors
///
/// If the listener cannot be registered with the runtime.
pub async fn serve(
    listener: net::TcpListener,
    secret: String,
    calls: mpsc::Sender<IncomingCall>,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut unproven: Vec<(Arc<AtomicBool>, AbortHandle)> = Vec::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        unproven.retain(|(proven, task)| !proven.load(Ordering::Relaxed) && !task.is_finished());
        if unproven.len() >= MAX_UNPROVEN {
            unproven.remove(0).1.abort();
        }
        let proven = Arc::new(AtomicBool::new(false));
        let (secret, calls) = (secret.clone(), calls.clone());
        let server = Server { secret, calls, proven: Arc::clone(&proven) };
        let task = tokio::spawn(serve_connection(stream, server));
        unproven.push((proven, task.abort_handle()));
    }
}

async fn serve_connection(stream: TcpStream, server: Server) {
    let proven = Arc::clone(&server.proven);
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_CALL_BYTES).new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let requests = channel.execute(server.serve()).for_each(|response| async {
        tokio::spawn(response);
    });
    let expired = async {
        time::sleep(PROOF_TIME).await;
        if proven.load(Ordering::Relaxed) {
            future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = requests => {}
        () = expired => {}
    }
}
