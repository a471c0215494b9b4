use wire::{Conn, Frame, WireError, tags};

/// A request as the caller sent it.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// A simple query.
    Simple(Frame),
    /// Messages of the extended protocol.
    Extended {
        /// The messages, the last one included.
        frames: Vec<Frame>,
        /// Whether a sync message ends them, rather than a flush.
        synced: bool,
    },
    /// The caller leaves.
    Terminate,
}

/// Waits for the next request of at most `limit` bytes.
pub(crate) async fn read(conn: &mut Conn, limit: usize) -> Result<Request, WireError> {
    let mut frames = Vec::new();
    let mut room = limit;
    loop {
        let frame = conn.read_frame(room).await?;
        room -= frame.bytes.len();
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
            // What is left of a copy that the upstream has given up already.
            tags::COPY_DATA | tags::COPY_DONE | tags::COPY_FAIL => {}
            tag => {
                let message = format!("message {:?} is not expected here", tag as char);
                return Err(WireError::protocol(message));
            }
        }
    }
}
