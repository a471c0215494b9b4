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

const STREAM_ABOVE_BYTES: usize = 64 * 1024;
const LENGTH_BYTES: usize = 4;

/// A connection that carries PostgreSQL messages.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    read_buffer: BytesMut,
    outbox: BytesMut,
    rest_of_large: usize,
}

impl Conn {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, read_buffer: BytesMut::new(), outbox: BytesMut::new(), rest_of_large: 0 }
    }

    /// Bytes that have been read and not taken yet.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        &mut self.read_buffer
    }

    /// Waits for bytes and reads them. Dropping the future loses nothing.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        self.stream.readable(true).await?;
        let (result, buf) = self.stream.read(scratch::take()).await;
        let result = self.take_in(result, &buf);
        scratch::give(buf);
        result
    }

    /// Number of bytes that have been read and not taken yet.
    pub fn buffered(&self) -> usize {
        self.read_buffer.len()
    }

    /// Type byte of the next message, if it has been read already.
    pub fn next_tag(&self) -> Option<u8> {
        self.read_buffer.first().copied()
    }

    /// The next message or part of one, if it has been read already.
    pub fn buffered_fragment(&mut self) -> Result<Option<Fragment>, WireError> {
        if self.rest_of_large > 0 {
            return Ok(self.more_of_large());
        }
        let Some((tag, total)) = self.header()? else { return Ok(None) };
        if self.read_buffer.len() >= total {
            let bytes = self.take(total);
            return Ok(Some(Fragment::Complete(Frame { tag, bytes })));
        }
        if total <= STREAM_ABOVE_BYTES {
            return Ok(None);
        }
        let bytes = self.take(self.read_buffer.len());
        self.rest_of_large = total - bytes.len();
        Ok(Some(Fragment::First { tag, bytes }))
    }

    /// Waits for the next message or part of one.
    pub async fn read_fragment(&mut self) -> Result<Fragment, WireError> {
        loop {
            if let Some(piece) = self.buffered_fragment()? {
                return Ok(piece);
            }
            self.fill().await?;
        }
    }

    /// The next whole message of at most `limit` bytes, if it has been read.
    pub fn buffered_frame(&mut self, limit: usize) -> Result<Option<Frame>, WireError> {
        let Some((tag, total)) = self.header()? else { return Ok(None) };
        if total > limit {
            let message = format!("a message of {total} bytes; allowed: at most {limit}");
            return Err(WireError::protocol(message));
        }
        if self.read_buffer.len() < total {
            return Ok(None);
        }
        Ok(Some(Frame { tag, bytes: self.take(total) }))
    }

    /// Waits for the next whole message of at most `limit` bytes.
    pub async fn read_frame(&mut self, limit: usize) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = self.buffered_frame(limit)? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Appends a message to what will be sent.
    pub fn queue(&mut self, msg: &impl message::Encode) {
        message::encode(&mut self.outbox, msg);
    }

    /// Appends bytes to what will be sent.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.outbox.extend_from_slice(bytes);
    }

    /// Number of bytes that wait to be sent.
    pub fn queued(&self) -> usize {
        self.outbox.len()
    }

    /// Sends what has been queued.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.outbox.is_empty() {
            return Ok(());
        }
        let out = mem::take(&mut self.outbox);
        let (result, _) = self.stream.write_all(out.freeze()).await;
        result?;
        Ok(())
    }

    /// Closes the sending direction.
    pub async fn shutdown(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    fn take_in(&mut self, result: io::Result<usize>, buf: &[u8]) -> Result<(), WireError> {
        match result? {
            0 => Err(WireError::Closed),
            count => {
                self.read_buffer.extend_from_slice(&buf[..count]);
                Ok(())
            }
        }
    }

    /// Type byte and total length of the message at hand.
    fn header(&self) -> Result<Option<(u8, usize)>, WireError> {
        if self.read_buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.read_buffer[1..]).get_u32() as usize;
        if length < LENGTH_BYTES {
            return Err(WireError::protocol(format!("a message of length {length}")));
        }
        Ok(Some((self.read_buffer[0], 1 + length)))
    }

    fn more_of_large(&mut self) -> Option<Fragment> {
        if self.read_buffer.is_empty() {
            return None;
        }
        let count = self.read_buffer.len().min(self.rest_of_large);
        self.rest_of_large -= count;
        let bytes = self.take(count);
        Some(Fragment::Continuation { bytes, last: self.rest_of_large == 0 })
    }

    fn take(&mut self, count: usize) -> Bytes {
        if count == self.read_buffer.len() {
            return mem::take(&mut self.read_buffer).freeze();
        }
        Bytes::copy_from_slice(&self.read_buffer.split_to(count))
    }
}
