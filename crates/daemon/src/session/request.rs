use budget::{Reason, SMALL_BYTES};
use wire::{Conn, Fragment, Frame, WireError, tags};

use crate::session::account::Account;

/// Length up to which an incomplete request is received without asking for memory. With what one
/// read may add, and the growth of the buffer, it stays within what is not charged.
const UNRESERVED_BYTES: usize = 4 * 1024;
/// Memory that a request takes while it is received, in its length: the buffer doubles, and
/// complete messages are copied out of it.
const RECEIVED_COPIES: usize = 2;
/// Memory that a request takes while it runs, in its length.
const RUNNING_COPIES: u64 = 3;

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
    /// The request needs more memory than there is at present. It has been received and dropped.
    Refused {
        /// Whether the request is complete: a simple query, after which nothing is to be skipped.
        synced: bool,
    },
    /// The caller ends the session.
    Terminate,
}

impl Request {
    /// Memory that the request takes while it runs, if it is not a small one: the messages, their
    /// translation, and the buffer that is sent to the member.
    pub(crate) fn held_bytes(&self) -> u64 {
        let length = match self {
            Request::Simple(frame) => frame.bytes.len(),
            Request::Extended { frames, .. } => frames.iter().map(|it| it.bytes.len()).sum(),
            Request::Refused { .. } | Request::Terminate => 0,
        };
        if length as u64 > SMALL_BYTES { RUNNING_COPIES * length as u64 } else { 0 }
    }
}

/// Reads the next request, of at most `limit` bytes in all its messages.
pub(crate) async fn read(
    conn: &mut Conn,
    limit: usize,
    account: &Account,
) -> Result<Request, WireError> {
    let mut frames = Vec::new();
    let mut remaining = limit;
    loop {
        account.end_turn().await;
        let frame = match next_frame(conn, remaining, limit - remaining, account).await? {
            Some(frame) => frame,
            None => return refuse(conn).await,
        };
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

/// Waits for the next message of a request of which `held` bytes have been received; `None` if
/// there is no memory for it.
async fn next_frame(
    conn: &mut Conn,
    limit: usize,
    held: usize,
    account: &Account,
) -> Result<Option<Frame>, WireError> {
    loop {
        match conn.buffered_frame(limit) {
            Ok(Some(frame)) => return Ok(Some(frame)),
            Ok(None) => {}
            Err(error) => {
                account.log_refused(Reason::LongMessage, (held + conn.buffered()) as u64);
                return Err(error);
            }
        }
        let received = held + conn.buffered();
        if received > 0 {
            account.receiving(received as u64);
        }
        if received >= UNRESERVED_BYTES {
            let length = held + conn.next_length().unwrap_or(UNRESERVED_BYTES);
            if !account.reserve((RECEIVED_COPIES * length) as u64).await {
                return Ok(None);
            }
        }
        conn.fill().await?;
    }
}

/// Receives the rest of the present message without keeping it.
async fn refuse(conn: &mut Conn) -> Result<Request, WireError> {
    let mut synced = false;
    loop {
        match conn.read_fragment().await? {
            Fragment::First { tag, .. } => synced = tag == tags::QUERY,
            Fragment::Continuation { last: false, .. } => {}
            Fragment::Continuation { last: true, .. } => return Ok(Request::Refused { synced }),
            Fragment::Complete(frame) => {
                let synced = matches!(frame.tag, tags::QUERY | tags::SYNC);
                return Ok(Request::Refused { synced });
            }
        }
    }
}
