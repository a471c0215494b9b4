use std::pin::pin;

use base::Position;
use consistency::ConsistencyToken;
use futures_channel::mpsc;
use futures_util::{future, future::Either};
use wire::{
    Conn, Fragment, Frame, ParameterStatus, ReadyForQuery, TransactionStatus, WireError, sqlstate,
    tags,
};

use crate::{
    group::{self, GroupHandle, PooledConn, RequestUpdate},
    session::{
        account::Account,
        profile::TOKEN_SETTING,
        relay_input::{self, Side},
        response_buffer::ResponseBuffer,
        statements::{Statements, SuppressedReplies},
    },
};

const POSITION_PARAMETER: &str = "group.position";
/// Bytes that are read from a caller while its request waits or runs. With what one read may add,
/// they stay within what is not charged to the session.
pub(crate) const MAX_READAHEAD_BYTES: usize = 4 * 1024;

/// Relays the response to one request from an upstream to the caller, and the rest
/// of an incomplete request from the caller to the upstream.
pub(crate) struct Relay<'a> {
    /// The group in which the request occupies a slot; `None` if it runs at another daemon.
    pub(crate) group: Option<GroupHandle>,
    /// The caller's connection.
    pub(crate) caller: &'a mut Conn,
    /// The account of the caller's session.
    pub(crate) account: &'a Account,
    /// The caller's prepared statements, to translate messages that follow a Flush.
    pub(crate) statements: &'a mut Statements,
    /// Updates from the group's home, which report that the member is lost.
    pub(crate) updates: &'a mut mpsc::UnboundedReceiver<RequestUpdate>,
    /// Whether to hold back the end of the response until the write is acknowledged.
    pub(crate) hold_completion: bool,
    /// Whether the request is complete: a simple query, or ended by a Sync.
    pub(crate) synced: bool,
    /// Number of responses to the preamble that are still to come.
    pub(crate) preamble_responses: u32,
    /// Replies to messages that the proxy inserted, to drop.
    pub(crate) suppressed: SuppressedReplies,
    /// Limit on the size of one caller message, in bytes.
    pub(crate) limit: usize,
    /// Response data that has not been sent to the caller.
    pub(crate) response: ResponseBuffer,
}

/// Outcome of relaying a response.
#[derive(Debug)]
pub(crate) enum RelayEnd {
    /// The upstream is ready for the next request, or the request was refused.
    Ready(ReadyState),
    /// The upstream connection broke, or the member is no longer part of the term.
    Broken,
    /// The caller is gone.
    CallerGone,
    /// There is no memory for the part of the answer that must be held back.
    NoMemory,
}

/// Upstream state at the end of a response.
#[derive(Debug, Default)]
pub(crate) struct ReadyState {
    /// Whether a transaction is open, possibly in the failed state.
    pub(crate) in_transaction: bool,
    /// SQLSTATE of the error in the response; `None` on success.
    pub(crate) error: Option<String>,
    /// Position of the committed write; `None` if nothing was written.
    pub(crate) position: Option<Position>,
    /// Consistency token reported by the daemon that ran the request; `None` from a
    /// member.
    pub(crate) token: Option<ConsistencyToken>,
    /// The request was refused because of its term or home: it has not run, and
    /// nothing has been relayed to the caller.
    pub(crate) refused: bool,
    /// The preamble failed, so the upstream connection's state is not known.
    pub(crate) preamble_failed: bool,
}

/// What ends a wait for input.
pub(super) enum Input {
    Upstream(Fragment),
    Caller,
    Lost,
    NoMemory,
}

impl Relay<'_> {
    /// Relays the response until its end.
    pub(crate) async fn run(&mut self, conn: &mut PooledConn) -> Result<RelayEnd, WireError> {
        let mut ready = ReadyState::default();
        let mut copying = false;
        loop {
            let piece = match conn.upstream.conn.buffered_fragment() {
                Ok(Some(piece)) => piece,
                Ok(None) => match self.wait_for_input(conn, copying).await {
                    Ok(Input::Upstream(piece)) => piece,
                    Ok(Input::Caller) => match self.relay_caller_input(conn, copying).await {
                        Ok(()) => continue,
                        Err(Side::Caller) => return Ok(RelayEnd::CallerGone),
                        Err(Side::Upstream) => return Ok(RelayEnd::Broken),
                    },
                    Ok(Input::Lost) => return Ok(RelayEnd::Broken),
                    Ok(Input::NoMemory) => return Ok(RelayEnd::NoMemory),
                    Err(Side::Caller) => return Ok(RelayEnd::CallerGone),
                    Err(Side::Upstream) => return Ok(RelayEnd::Broken),
                },
                Err(_) => return Ok(RelayEnd::Broken),
            };
            match piece {
                Fragment::Complete(frame) if self.preamble_responses > 0 => {
                    self.skip_preamble_frame(&frame, &mut ready)?;
                    if ready.refused {
                        return Ok(RelayEnd::Ready(ready));
                    }
                }
                Fragment::Complete(frame) if frame.tag == tags::READY_FOR_QUERY => {
                    let msg: ReadyForQuery = wire::decode(&frame)?;
                    ready.in_transaction = msg.status != TransactionStatus::Idle;
                    if !ready.refused {
                        self.response.push(&frame, self.caller);
                    }
                    return Ok(RelayEnd::Ready(ready));
                }
                Fragment::Complete(frame) => {
                    copying |= frame.tag == tags::COPY_IN_RESPONSE;
                    self.relay_frame(&frame, &mut ready)?;
                }
                Fragment::First { bytes, .. } | Fragment::Continuation { bytes, .. } => {
                    self.response.push_bytes(&bytes, self.caller);
                    if !self.hold_completion {
                        self.response.release(self.caller);
                    }
                }
            }
        }
    }

    /// Waits for data from the upstream or the caller, or for the loss of the member.
    async fn wait_for_input(
        &mut self,
        conn: &mut PooledConn,
        copying: bool,
    ) -> Result<Input, Side> {
        self.account.end_turn().await;
        if !self.hold_completion || copying || !self.synced {
            self.response.release(self.caller);
        }
        if !self.account.send_now(self.caller).await.map_err(|_| Side::Caller)? {
            return self.read_ahead_of_caller(conn).await;
        }
        if !self.reserve_held().await {
            return Ok(Input::NoMemory);
        }
        if (copying || !self.synced) && self.has_caller_input(copying) {
            return Ok(Input::Caller);
        }
        let can_read = self.caller.buffered() < MAX_READAHEAD_BYTES;
        let upstream = pin!(conn.upstream.conn.read_fragment());
        let caller = pin!(async {
            if !can_read {
                future::pending::<()>().await;
            }
            self.caller.fill().await
        });
        let lost = pin!(group::lost(self.updates));
        match future::select(upstream, future::select(caller, lost)).await {
            Either::Left((Ok(piece), _)) => Ok(Input::Upstream(piece)),
            Either::Left((Err(_), _)) => Err(Side::Upstream),
            Either::Right((Either::Left((Ok(()), _)), _)) => Ok(Input::Caller),
            Either::Right((Either::Left((Err(_), _)), _)) => Err(Side::Caller),
            Either::Right((Either::Right(((), _)), _)) => Ok(Input::Lost),
        }
    }

    fn has_caller_input(&self, copying: bool) -> bool {
        if copying && self.caller.is_in_message() {
            return self.caller.buffered() > 0;
        }
        let tag = self.caller.next_tag();
        self.caller.buffered() > 0
            && tag.is_some_and(|tag| relay_input::is_part_of_request(tag, copying))
    }

    /// Skips a message of the response to the preamble. A daemon that is shutting
    /// down sends an ADMIN_SHUTDOWN error instead; it has not read the request then.
    fn skip_preamble_frame(
        &mut self,
        frame: &Frame,
        ready: &mut ReadyState,
    ) -> Result<(), WireError> {
        match frame.tag {
            tags::READY_FOR_QUERY => self.preamble_responses -= 1,
            tags::ERROR_RESPONSE => {
                let (code, _) = wire::error_fields(frame)?;
                ready.refused |= code == sqlstate::ADMIN_SHUTDOWN;
                ready.preamble_failed = true;
            }
            _ => {}
        }
        Ok(())
    }

    fn relay_frame(&mut self, frame: &Frame, ready: &mut ReadyState) -> Result<(), WireError> {
        if ready.refused || self.suppressed.suppresses(frame.tag) {
            return Ok(());
        }
        match frame.tag {
            tags::PARAMETER_STATUS => return self.relay_parameter(frame, ready),
            tags::ERROR_RESPONSE => {
                let (code, _) = wire::error_fields(frame)?;
                let not_run = [sqlstate::STALE_TERM, sqlstate::NOT_HOME].contains(&code.as_str());
                if not_run && !self.response.sent_any() {
                    self.response.discard();
                    ready.refused = true;
                    return Ok(());
                }
                ready.error = Some(code);
            }
            _ => {}
        }
        self.response.push(frame, self.caller);
        if !self.hold_completion {
            self.response.release(self.caller);
        }
        Ok(())
    }

    fn relay_parameter(&mut self, frame: &Frame, ready: &mut ReadyState) -> Result<(), WireError> {
        let parameter: ParameterStatus = wire::decode(frame)?;
        match parameter.name.as_str() {
            POSITION_PARAMETER => ready.position = parameter.value.parse().ok(),
            TOKEN_SETTING => ready.token = parameter.value.parse().ok(),
            _ => self.response.push(frame, self.caller),
        }
        Ok(())
    }
}
