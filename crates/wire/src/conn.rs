use std::{io, mem};

use bytes::{Buf, Bytes, BytesMut};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt},
    net::TcpStream,
};

use crate::{
    error::WireError,
    frame::{Fragment, Frame, HEADER_BYTES},
    message, scratch,
};

/// Larger messages are returned in fragments as they arrive, instead of being
/// buffered completely.
const MAX_BUFFERED_MESSAGE_BYTES: usize = 64 * 1024;
/// Size of the length field, which counts itself.
const LENGTH_FIELD_BYTES: usize = 4;

/// A buffered TCP connection that can be read message by message.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    read_buffer: BytesMut,
    write_buffer: BytesMut,
    /// What [`Conn::flush_part`] has begun to send.
    unsent: Bytes,
    remaining_message_bytes: usize,
}

impl Conn {
    /// Wraps a connected socket and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            read_buffer: BytesMut::new(),
            write_buffer: BytesMut::new(),
            unsent: Bytes::new(),
            remaining_message_bytes: 0,
        }
    }

    /// Bytes that have been received and not consumed yet.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        &mut self.read_buffer
    }

    /// Waits for bytes and appends them to the read buffer. Cancel-safe: dropping the
    /// future loses no bytes.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        self.stream.readable(true).await?;
        let (result, buf) = self.stream.read(scratch::acquire()).await;
        let result = self.append_received(result, &buf);
        scratch::release(buf);
        result
    }

    /// Number of bytes that have been received and not consumed yet.
    pub fn buffered(&self) -> usize {
        self.read_buffer.len()
    }

    /// Length of the next message with its header, as the header says; `None` if that has not been
    /// received completely or is invalid.
    pub fn next_length(&self) -> Option<usize> {
        let header =
            if self.is_in_message() { None } else { self.buffered_header().ok().flatten() };
        header.map(|(_, total)| total)
    }

    /// Whether the first part of a message has been consumed as a fragment, and the last has not.
    pub fn is_in_message(&self) -> bool {
        self.remaining_message_bytes > 0
    }

    /// Type byte of the next message; `None` if nothing of it is buffered.
    pub fn next_tag(&self) -> Option<u8> {
        let first = self.read_buffer.first().copied();
        first.filter(|_| !self.is_in_message())
    }

    /// Consumes the next message or fragment; `None` if more bytes must be received
    /// first.
    pub fn buffered_fragment(&mut self) -> Result<Option<Fragment>, WireError> {
        if self.remaining_message_bytes > 0 {
            return Ok(self.next_continuation());
        }
        let Some((tag, total)) = self.buffered_header()? else { return Ok(None) };
        if self.read_buffer.len() >= total {
            let bytes = self.consume(total);
            return Ok(Some(Fragment::Complete(Frame { tag, bytes })));
        }
        if total <= MAX_BUFFERED_MESSAGE_BYTES {
            return Ok(None);
        }
        let bytes = self.consume(self.read_buffer.len());
        self.remaining_message_bytes = total - bytes.len();
        Ok(Some(Fragment::First { tag, bytes }))
    }

    /// Waits for the next message or fragment and consumes it.
    pub async fn read_fragment(&mut self) -> Result<Fragment, WireError> {
        loop {
            if let Some(fragment) = self.buffered_fragment()? {
                return Ok(fragment);
            }
            self.fill().await?;
        }
    }

    /// Consumes the next message; `None` if it has not been received completely. A
    /// message of more than `limit` bytes is an error. The rest of one that was consumed in part is
    /// dropped.
    pub fn buffered_frame(&mut self, limit: usize) -> Result<Option<Frame>, WireError> {
        if self.is_in_message() {
            self.next_continuation();
        }
        let Some((tag, total)) = self.buffered_header()? else { return Ok(None) };
        if total > limit {
            let message = format!("a message of {total} bytes; allowed: at most {limit}");
            return Err(WireError::protocol(message));
        }
        if self.read_buffer.len() < total {
            return Ok(None);
        }
        Ok(Some(Frame { tag, bytes: self.consume(total) }))
    }

    /// Waits for the next complete message and consumes it. A message of more than
    /// `limit` bytes is an error.
    pub async fn read_frame(&mut self, limit: usize) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = self.buffered_frame(limit)? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Encodes a message into the write buffer; [`Conn::flush`] sends it.
    pub fn queue(&mut self, msg: &impl message::Encode) {
        message::encode(&mut self.write_buffer, msg);
    }

    /// Appends bytes to the write buffer as they are; [`Conn::flush`] sends them.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.write_buffer.extend_from_slice(bytes);
    }

    /// The write buffer, to encode messages into; [`Conn::flush`] sends them.
    pub fn write_buffer(&mut self) -> &mut BytesMut {
        &mut self.write_buffer
    }

    /// Number of bytes in the write buffer.
    pub fn queued(&self) -> usize {
        self.write_buffer.len()
    }

    /// Number of bytes that were queued and not sent yet.
    pub fn unsent(&self) -> usize {
        self.write_buffer.len() + self.unsent.len()
    }

    /// Sends the contents of the write buffer.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.write_buffer.is_empty() {
            return Ok(());
        }
        let out = mem::take(&mut self.write_buffer);
        let (result, _) = self.stream.write_all(out.freeze()).await;
        result?;
        Ok(())
    }

    /// Sends as much of the write buffer as the socket takes at once, and waits until it takes
    /// anything. Returns whether all has been sent; if not, it must be called again before
    /// [`Conn::flush`].
    pub async fn flush_part(&mut self) -> Result<bool, WireError> {
        if self.unsent.is_empty() {
            if self.write_buffer.is_empty() {
                return Ok(true);
            }
            self.unsent = mem::take(&mut self.write_buffer).freeze();
        }
        let (result, _) = self.stream.write(self.unsent.clone()).await;
        match result? {
            0 => Err(WireError::Closed),
            count => {
                self.unsent.advance(count);
                if !self.unsent.is_empty() {
                    return Ok(false);
                }
                // Frees the memory now, not with the next message.
                self.unsent = Bytes::new();
                Ok(self.write_buffer.is_empty())
            }
        }
    }

    /// Shuts down the write half of the connection; errors are ignored.
    pub async fn shutdown(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    fn append_received(&mut self, result: io::Result<usize>, buf: &[u8]) -> Result<(), WireError> {
        match result? {
            0 => Err(WireError::Closed),
            count => {
                self.read_buffer.extend_from_slice(&buf[..count]);
                Ok(())
            }
        }
    }

    /// Type byte of the next message and its total length, type byte included; `None`
    /// if the header has not been received completely.
    fn buffered_header(&self) -> Result<Option<(u8, usize)>, WireError> {
        if self.read_buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.read_buffer[1..]).get_u32() as usize;
        if length < LENGTH_FIELD_BYTES {
            return Err(WireError::protocol(format!("a message of length {length}")));
        }
        Ok(Some((self.read_buffer[0], 1 + length)))
    }

    fn next_continuation(&mut self) -> Option<Fragment> {
        if self.read_buffer.is_empty() {
            return None;
        }
        let count = self.read_buffer.len().min(self.remaining_message_bytes);
        self.remaining_message_bytes -= count;
        let bytes = self.consume(count);
        Some(Fragment::Continuation { bytes, last: self.remaining_message_bytes == 0 })
    }

    fn consume(&mut self, count: usize) -> Bytes {
        if count == self.read_buffer.len() {
            return mem::take(&mut self.read_buffer).freeze();
        }
        Bytes::copy_from_slice(&self.read_buffer.split_to(count))
    }
}
