use bytes::Bytes;

/// Bytes of type byte and length.
pub(crate) const HEADER_BYTES: usize = 5;

/// A message as it stands on the wire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// Type byte.
    pub tag: u8,
    /// The whole message, type byte and length included.
    pub bytes: Bytes,
}

impl Frame {
    /// The message without type byte and length.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// A message, or part of one that is too large to be held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fragment {
    /// A whole message.
    Complete(Frame),
    /// The beginning of a large message.
    First {
        /// Type byte.
        tag: u8,
        /// Its bytes so far, type byte and length included.
        bytes: Bytes,
    },
    /// More of a large message.
    Continuation {
        /// The next bytes.
        bytes: Bytes,
        /// Whether the message ends here.
        last: bool,
    },
}
