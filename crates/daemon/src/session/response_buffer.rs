use bytes::{Bytes, BytesMut};
use wire::{Conn, Frame, tags};

const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The part of an answer that is held back until its write is proven to last.
///
/// The end of a statement tells the caller that its write has happened, so it
/// must not leave before the proof. Rows may: they tell nothing by themselves.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffer {
    buffer: BytesMut,
    has_completion: bool,
    sent_any: bool,
    retain_all: bool,
}

impl ResponseBuffer {
    /// Holds everything, until it is taken.
    pub(crate) fn retaining_all(mut self) -> ResponseBuffer {
        self.retain_all = true;
        self
    }

    /// Takes what is held.
    pub(crate) fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.buffer).freeze()
    }

    /// Adds a message; what need not be held any longer is queued on `caller`.
    pub(crate) fn push(&mut self, frame: &Frame, caller: &mut Conn) {
        self.has_completion |= frame.tag == tags::COMMAND_COMPLETE;
        self.push_bytes(&frame.bytes, caller);
    }

    /// Adds part of a large message.
    pub(crate) fn push_bytes(&mut self, bytes: &[u8], caller: &mut Conn) {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_BUFFERED_BYTES && !self.has_completion {
            self.release(caller);
        }
    }

    /// Whether something has gone to the caller.
    pub(crate) fn sent_any(&self) -> bool {
        self.sent_any
    }

    /// Queues everything on `caller`.
    pub(crate) fn release(&mut self, caller: &mut Conn) {
        if self.retain_all {
            return;
        }
        self.sent_any |= !self.buffer.is_empty();
        caller.queue_bytes(&self.buffer);
        self.buffer.clear();
        self.has_completion = false;
    }

    /// Forgets what is held.
    pub(crate) fn discard(&mut self) {
        self.buffer.clear();
        self.has_completion = false;
    }
}
