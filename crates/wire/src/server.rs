use pgwire::messages::{
    PgWireFrontendMessage, SslNegotiationMetaMessage, cancel::CancelRequest, startup::Startup,
};

use crate::{conn::Conn, error::WireError, message};

/// Answer to a request for SSL or GSSAPI encryption: not supported.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// First request of an accepted connection, after any encryption requests.
#[derive(Debug)]
pub enum InitialMessage {
    /// Start-up message: the caller opens a session.
    Session(Startup),
    /// Cancel request for the running request of another session.
    Cancel(CancelRequest),
}

/// Reads the first request of an accepted connection. Requests for encryption are
/// refused, after which the caller may continue without it.
pub async fn accept(conn: &mut Conn) -> Result<InitialMessage, WireError> {
    let mut cx = message::decode_context();
    cx.awaiting_frontend_ssl = true;
    cx.awaiting_frontend_startup = true;
    loop {
        let decoded = PgWireFrontendMessage::decode(conn.read_buffer(), &cx);
        match decoded.map_err(message::codec_error)? {
            None => conn.fill().await?,
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                cx.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => {
                conn.queue_bytes(ENCRYPTION_REFUSED);
                conn.flush().await?;
            }
            Some(PgWireFrontendMessage::Startup(msg)) => return Ok(InitialMessage::Session(msg)),
            Some(PgWireFrontendMessage::CancelRequest(cancel)) => {
                return Ok(InitialMessage::Cancel(cancel));
            }
            Some(_) => return Err(WireError::protocol("expected a start-up message")),
        }
    }
}
