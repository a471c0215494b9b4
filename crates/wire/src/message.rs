use bytes::BytesMut;
use pgwire::messages::{DecodeContext, Message, ProtocolVersion, response::ErrorResponse};

use crate::{error::WireError, frame::Frame};

/// A message that can be encoded for the wire.
pub trait Encode {
    /// Appends the encoded message to `buf`.
    fn put(&self, buf: &mut BytesMut);
}

impl<M: Message> Encode for M {
    fn put(&self, buf: &mut BytesMut) {
        Message::encode(self, buf).expect("messages built by this process are within limits");
    }
}

/// Appends an encoded message to `buf`.
pub fn encode(buf: &mut BytesMut, msg: &impl Encode) {
    msg.put(buf);
}

/// Decodes a message of type `M` from its frame.
pub fn decode<M: Message>(frame: &Frame) -> Result<M, WireError> {
    let cx = decode_context();
    let mut bytes = BytesMut::from(frame.bytes.as_ref());
    let decoded = M::decode(&mut bytes, &cx).map_err(codec_error)?;
    decoded.ok_or_else(|| WireError::protocol("a message is cut short"))
}

/// Decode context for the messages that follow the start-up message.
pub(crate) fn decode_context() -> DecodeContext {
    let mut cx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    cx.awaiting_frontend_ssl = false;
    cx.awaiting_frontend_startup = false;
    cx
}

/// Converts an error of the `pgwire` library.
pub(crate) fn codec_error(error: pgwire::error::PgWireError) -> WireError {
    WireError::protocol(error.to_string())
}

/// Builds an error response; an empty `detail` is left out.
pub fn error_response(code: &str, message: &str, detail: &str) -> ErrorResponse {
    let mut fields = vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.to_owned()),
    ];
    if !detail.is_empty() {
        fields.push((b'D', detail.to_owned()));
    }
    ErrorResponse::new(fields)
}

/// SQLSTATE and message text of an error response; empty where a field is missing.
pub fn error_fields(frame: &Frame) -> Result<(String, String), WireError> {
    let error: ErrorResponse = decode(frame)?;
    let field = |tag: u8| {
        let found = error.fields.iter().find(|(field, _)| *field == tag);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    Ok((field(b'C'), field(b'M')))
}
