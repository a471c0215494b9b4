use bytes::{Bytes, BytesMut};
use wire::{Conn, Frame, tags};

/// Amount of buffered response data above which it is sent early, unless it contains
/// a CommandComplete message.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Response data that is held back until the write is acknowledged as durable.
///
/// CommandComplete tells the caller that its write has happened, so it must not be
/// sent before the acknowledgement. Rows that precede it may be sent early, since
/// they confirm nothing by themselves.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffer {
    held: BytesMut,
    has_completion: bool,
    sent_any: bool,
    retain_all: bool,
}

impl ResponseBuffer {
    /// Makes the buffer keep all data until [`ResponseBuffer::take`].
    pub(crate) fn retaining_all(mut self) -> ResponseBuffer {
        self.retain_all = true;
        self
    }

    /// Removes and returns the held data.
    pub(crate) fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.held).freeze()
    }

    /// Appends a message; queues the held data on `caller` if it grows too large
    /// and may be sent.
    pub(crate) fn push(&mut self, frame: &Frame, caller: &mut Conn) {
        self.has_completion |= frame.tag == tags::COMMAND_COMPLETE;
        self.push_bytes(&frame.bytes, caller);
    }

    /// Appends part of a large message, as [`ResponseBuffer::push`].
    pub(crate) fn push_bytes(&mut self, bytes: &[u8], caller: &mut Conn) {
        self.held.extend_from_slice(bytes);
        if self.held.len() > MAX_BUFFERED_BYTES && !self.has_completion {
            self.release(caller);
        }
    }

    /// Number of bytes that are held.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether any data was queued on the caller's connection.
    pub(crate) fn sent_any(&self) -> bool {
        self.sent_any
    }

    /// Queues the held data on `caller`, unless the buffer keeps all data.
    pub(crate) fn release(&mut self, caller: &mut Conn) {
        if self.retain_all {
            return;
        }
        self.sent_any |= !self.held.is_empty();
        caller.queue_bytes(&self.held);
        self.held.clear();
        self.has_completion = false;
    }

    /// Drops the held data.
    pub(crate) fn discard(&mut self) {
        self.held.clear();
        self.has_completion = false;
    }
}
