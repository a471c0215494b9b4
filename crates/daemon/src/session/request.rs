use wire::{Conn, Frame, WireError, tags};

/// A request as received from the caller.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// A simple query.
    Simple(Frame),
    /// Messages of the extended query protocol.
    Extended {
        /// The messages, including the final Sync or Flush.
        frames: Vec<Frame>,
        /// Whether the last message is a Sync rather than a Flush.
        synced: bool,
    },
    /// The caller ends the session.
    Terminate,
}

/// Reads the next request, of at most `limit` bytes in all its messages.
pub(crate) async fn read(conn: &mut Conn, limit: usize) -> Result<Request, WireError> {
    let mut frames = Vec::new();
    let mut remaining = limit;
    loop {
        let frame = conn.read_frame(remaining).await?;
        remaining -= frame.bytes.len();
        match frame.tag {
            tags::QUERY if frames.is_empty() => return Ok(Request::Simple(frame)),
            tags::TERMINATE => return Ok(Request::Terminate),
            tags::SYNC => {
                frames.push(frame);
                return Ok(Request::Extended { frames, synced: true });
            }
            tags::FLUSH => {
                frames.push(frame);
                return Ok(Request::Extended { frames, synced: false });
            }
            tags::PARSE | tags::BIND | tags::DESCRIBE | tags::EXECUTE | tags::CLOSE => {
                frames.push(frame);
            }
            // Rest of a COPY that the upstream has already aborted.
            tags::COPY_DATA | tags::COPY_DONE | tags::COPY_FAIL => {}
            tag => {
                let message = format!("message {:?} is not expected here", tag as char);
                return Err(WireError::protocol(message));
            }
        }
    }
}
