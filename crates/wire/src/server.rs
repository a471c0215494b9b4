use pgwire::messages::{
    PgWireFrontendMessage, SslNegotiationMetaMessage, cancel::CancelRequest, startup::Startup,
};

use crate::{conn::Conn, error::WireError, message};

const REFUSE_ENCRYPTION: &[u8] = b"N";

/// What a caller opens its connection with.
#[derive(Debug)]
pub enum InitialMessage {
    /// It wants a session.
    Session(Startup),
    /// It wants another session's request cancelled.
    Cancel(CancelRequest),
}

/// Reads the first messages of an accepted connection; encryption is refused.
pub async fn accept(conn: &mut Conn) -> Result<InitialMessage, WireError> {
    let mut cx = message::context();
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
                conn.queue_bytes(REFUSE_ENCRYPTION);
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
