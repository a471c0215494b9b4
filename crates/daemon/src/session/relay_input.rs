use wire::{Fragment, Frame, tags};

use crate::{
    group::PooledConn,
    session::relay::{MAX_READAHEAD_BYTES, Relay},
};

/// Memory that a message takes while it is received, in its length.
const RECEIVED_COPIES: usize = 2;
/// COPY data that is relayed at a time.
const COPY_PART_BYTES: usize = 64 * 1024;

impl Relay<'_> {
    /// Relays further messages of the current request to the upstream: COPY data, or
    /// messages that follow a Flush. Other messages stay buffered for later requests.
    pub(super) async fn relay_caller_input(
        &mut self,
        conn: &mut PooledConn,
        copying: bool,
    ) -> Result<(), Side> {
        if copying {
            return self.relay_copy_data(conn).await;
        }
        let mut batch: Vec<Frame> = Vec::new();
        while let Some(tag) = self.caller.next_tag() {
            if !is_part_of_request(tag, false) || self.synced {
                break;
            }
            let frame = self.caller.buffered_frame(self.limit).map_err(|_| Side::Caller)?;
            let Some(frame) = frame else { break };
            self.synced |= frame.tag == tags::SYNC;
            batch.push(frame);
        }
        if batch.is_empty() {
            let partial = self.caller.next_tag().is_some_and(|tag| is_part_of_request(tag, false));
            if !self.synced && partial {
                return self.fill_message().await;
            }
            return Ok(());
        }
        self.statements.record(&batch).map_err(|_| Side::Caller)?;
        let translated = self.statements.translate(&batch, conn).map_err(|_| Side::Caller)?;
        conn.upstream.conn.queue_bytes(&translated.bytes);
        self.suppressed.parses.extend(translated.suppressed.parses);
        self.suppressed.closes.extend(translated.suppressed.closes);
        conn.upstream.conn.flush().await.map_err(|_| Side::Upstream)
    }

    /// Receives more of an incomplete message that follows a Flush.
    async fn fill_message(&mut self) -> Result<(), Side> {
        let received = self.caller.buffered();
        self.account.receiving(received as u64);
        if received >= MAX_READAHEAD_BYTES {
            let length = self.caller.next_length().unwrap_or(received);
            if !self.account.reserve((RECEIVED_COPIES * length) as u64).await {
                return Err(Side::Caller);
            }
        }
        self.caller.fill().await.map_err(|_| Side::Caller)
    }

    /// Relays COPY data as it arrives: a message of it may be long, and is not kept.
    async fn relay_copy_data(&mut self, conn: &mut PooledConn) -> Result<(), Side> {
        let mut is_empty = true;
        while conn.upstream.conn.queued() < COPY_PART_BYTES {
            if !self.caller.is_in_message() {
                let Some(tag) = self.caller.next_tag() else { break };
                if !is_part_of_request(tag, true) {
                    break;
                }
                if self.caller.next_length().is_some_and(|length| length > self.limit) {
                    return Err(Side::Caller);
                }
            }
            let fragment = self.caller.buffered_fragment().map_err(|_| Side::Caller)?;
            let Some(fragment) = fragment else { break };
            is_empty = false;
            let bytes = match fragment {
                Fragment::Complete(frame) => {
                    self.synced |= frame.tag == tags::SYNC;
                    frame.bytes
                }
                Fragment::First { bytes, .. } | Fragment::Continuation { bytes, .. } => bytes,
            };
            conn.upstream.conn.queue_bytes(&bytes);
        }
        if !is_empty {
            return conn.upstream.conn.flush().await.map_err(|_| Side::Upstream);
        }
        let is_partial = self.caller.is_in_message()
            || self.caller.next_tag().is_some_and(|tag| is_part_of_request(tag, true));
        if is_partial {
            self.caller.fill().await.map_err(|_| Side::Caller)?;
        }
        Ok(())
    }
}

/// Side of the relay that failed.
pub(super) enum Side {
    Caller,
    Upstream,
}

/// Whether a caller message belongs to the current request rather than the next.
pub(super) fn is_part_of_request(tag: u8, copying: bool) -> bool {
    if copying {
        return matches!(
            tag,
            tags::COPY_DATA | tags::COPY_DONE | tags::COPY_FAIL | tags::SYNC | tags::FLUSH
        );
    }
    matches!(
        tag,
        tags::PARSE
            | tags::BIND
            | tags::DESCRIBE
            | tags::EXECUTE
            | tags::CLOSE
            | tags::FLUSH
            | tags::SYNC
    )
}
