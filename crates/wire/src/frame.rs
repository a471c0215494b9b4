use bytes::Bytes;

/// Size of the message header: type byte and length field.
pub(crate) const HEADER_BYTES: usize = 5;

/// A complete message in its wire encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// Type byte.
    pub tag: u8,
    /// Encoded message, including the header.
    pub bytes: Bytes,
}

impl Frame {
    /// Encoded message without the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// A complete message, or part of one that is too large to be buffered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fragment {
    /// A complete message.
    Complete(Frame),
    /// First part of a large message.
    First {
        /// Type byte.
        tag: u8,
        /// Bytes received so far, including the header.
        bytes: Bytes,
    },
    /// Further part of a large message.
    Continuation {
        /// Bytes that follow the previous fragment.
        bytes: Bytes,
        /// Whether this is the last fragment of the message.
        last: bool,
    },
}
