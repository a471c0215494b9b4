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
    group::{self, Pooled, Update},
    session::{
        profile::TOKEN_SETTING,
        statements::{Statements, Swallow},
        tail::Tail,
    },
};

const POSITION_PARAMETER: &str = "group.position";
const CALLER_AHEAD_BYTES: usize = 64 * 1024;

/// One request's way through an upstream connection and its answer's way back.
pub(crate) struct Relay<'a> {
    /// The caller's connection.
    pub(crate) caller: &'a mut Conn,
    /// The caller's prepared statements, for what follows a flush.
    pub(crate) statements: &'a mut Statements,
    /// Updates from the group's home.
    pub(crate) updates: &'a mut mpsc::UnboundedReceiver<Update>,
    /// Whether the end of the answer is held back.
    pub(crate) holds: bool,
    /// Whether the request has its end already.
    pub(crate) synced: bool,
    /// Ends of answers that belong to the preamble.
    pub(crate) preamble: u32,
    /// Answers that the caller did not ask for.
    pub(crate) swallow: Swallow,
    /// Largest message of the caller.
    pub(crate) limit: usize,
    /// What is held back.
    pub(crate) tail: Tail,
}

/// How a request ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The upstream is ready for more.
    Ready(Ready),
    /// The upstream's connection broke, or the upstream left the reign.
    Broken,
    /// The caller is gone.
    CallerGone,
}

/// State at the end of an answer.
#[derive(Debug, Default)]
pub(crate) struct Ready {
    /// Whether a transaction is open or failed.
    pub(crate) in_transaction: bool,
    /// SQLSTATE of the answer's error.
    pub(crate) error: Option<String>,
    /// Position of a write that was committed.
    pub(crate) position: Option<Position>,
    /// Token that another daemon reported.
    pub(crate) token: Option<ConsistencyToken>,
    /// The member refused the term; nothing has run, nothing has been passed on.
    pub(crate) refused: bool,
    /// The preamble failed.
    pub(crate) preamble_failed: bool,
}

enum Input {
    Upstream(Fragment),
    Caller,
    Lost,
}

impl Relay<'_> {
    /// Passes the answer on until its end.
    pub(crate) async fn run(&mut self, conn: &mut Pooled) -> Result<End, WireError> {
        let mut ready = Ready::default();
        let mut copying = false;
        loop {
            let piece = match conn.upstream.conn.buffered_fragment() {
                Ok(Some(piece)) => piece,
                Ok(None) => match self.wait(conn, copying).await {
                    Ok(Input::Upstream(piece)) => piece,
                    Ok(Input::Caller) => match self.pass_caller(conn, copying).await {
                        Ok(()) => continue,
                        Err(Side::Caller) => return Ok(End::CallerGone),
                        Err(Side::Upstream) => return Ok(End::Broken),
                    },
                    Ok(Input::Lost) => return Ok(End::Broken),
                    Err(Side::Caller) => return Ok(End::CallerGone),
                    Err(Side::Upstream) => return Ok(End::Broken),
                },
                Err(_) => return Ok(End::Broken),
            };
            match piece {
                Fragment::Complete(frame) if self.preamble > 0 => {
                    self.skip(&frame, &mut ready)?;
                    if ready.refused {
                        return Ok(End::Ready(ready));
                    }
                }
                Fragment::Complete(frame) if frame.tag == tags::READY_FOR_QUERY => {
                    let msg: ReadyForQuery = wire::decode(&frame)?;
                    ready.in_transaction = msg.status != TransactionStatus::Idle;
                    if !ready.refused {
                        self.tail.push(&frame, self.caller);
                    }
                    return Ok(End::Ready(ready));
                }
                Fragment::Complete(frame) => {
                    copying |= frame.tag == tags::COPY_IN_RESPONSE;
                    self.pass(&frame, &mut ready)?;
                }
                Fragment::First { bytes, .. } | Fragment::Continuation { bytes, .. } => {
                    self.tail.push_bytes(&bytes, self.caller);
                    if !self.holds {
                        self.tail.release(self.caller);
                    }
                }
            }
        }
    }

    /// Waits for whichever side speaks first.
    async fn wait(&mut self, conn: &mut Pooled, copying: bool) -> Result<Input, Side> {
        if !self.holds || copying || !self.synced {
            self.tail.release(self.caller);
        }
        self.caller.flush().await.map_err(|_| Side::Caller)?;
        if (copying || !self.synced) && self.caller_has_more(copying) {
            return Ok(Input::Caller);
        }
        let listens = self.caller.buffered() < CALLER_AHEAD_BYTES;
        let upstream = pin!(conn.upstream.conn.read_fragment());
        let caller = pin!(async {
            if !listens {
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

    fn caller_has_more(&self, copying: bool) -> bool {
        let tag = self.caller.next_tag();
        self.caller.buffered() > 0 && tag.is_some_and(|tag| belongs(tag, copying))
    }

    /// Passes on what the caller adds to its request: copy data, or what
    /// follows a flush. Anything else waits for its turn.
    async fn pass_caller(&mut self, conn: &mut Pooled, copying: bool) -> Result<(), Side> {
        let mut batch: Vec<Frame> = Vec::new();
        while let Some(tag) = self.caller.next_tag() {
            if !belongs(tag, copying) || (self.synced && !copying) {
                break;
            }
            let frame = self.caller.buffered_frame(self.limit).map_err(|_| Side::Caller)?;
            let Some(frame) = frame else { break };
            self.synced |= frame.tag == tags::SYNC;
            batch.push(frame);
        }
        if batch.is_empty() {
            let waits = copying || !self.synced;
            let partial = self.caller.next_tag().is_some_and(|tag| belongs(tag, copying));
            if waits && partial {
                self.caller.fill().await.map_err(|_| Side::Caller)?;
            }
            return Ok(());
        }
        if copying {
            for frame in &batch {
                conn.upstream.conn.queue_bytes(&frame.bytes);
            }
        } else {
            self.statements.note(&batch).map_err(|_| Side::Caller)?;
            let translated = self.statements.translate(&batch, conn).map_err(|_| Side::Caller)?;
            conn.upstream.conn.queue_bytes(&translated.bytes);
            self.swallow.parses.extend(translated.swallow.parses);
            self.swallow.closes.extend(translated.swallow.closes);
        }
        conn.upstream.conn.flush().await.map_err(|_| Side::Upstream)
    }

    /// Skips the answer to the preamble. A daemon that stops says goodbye instead;
    /// then it has not read the request.
    fn skip(&mut self, frame: &Frame, ready: &mut Ready) -> Result<(), WireError> {
        match frame.tag {
            tags::READY_FOR_QUERY => self.preamble -= 1,
            tags::ERROR_RESPONSE => {
                let (code, _) = wire::error_fields(frame)?;
                ready.refused |= code == sqlstate::ADMIN_SHUTDOWN;
                ready.preamble_failed = true;
            }
            _ => {}
        }
        Ok(())
    }

    fn pass(&mut self, frame: &Frame, ready: &mut Ready) -> Result<(), WireError> {
        if ready.refused || self.swallow.hides(frame.tag) {
            return Ok(());
        }
        match frame.tag {
            tags::PARAMETER_STATUS => return self.parameter(frame, ready),
            tags::ERROR_RESPONSE => {
                let (code, _) = wire::error_fields(frame)?;
                let not_run = [sqlstate::STALE_TERM, sqlstate::NOT_HOME].contains(&code.as_str());
                if not_run && !self.tail.sent_any() {
                    self.tail.discard();
                    ready.refused = true;
                    return Ok(());
                }
                ready.error = Some(code);
            }
            _ => {}
        }
        self.tail.push(frame, self.caller);
        if !self.holds {
            self.tail.release(self.caller);
        }
        Ok(())
    }

    fn parameter(&mut self, frame: &Frame, ready: &mut Ready) -> Result<(), WireError> {
        let parameter: ParameterStatus = wire::decode(frame)?;
        match parameter.name.as_str() {
            POSITION_PARAMETER => ready.position = parameter.value.parse().ok(),
            TOKEN_SETTING => ready.token = parameter.value.parse().ok(),
            _ => self.tail.push(frame, self.caller),
        }
        Ok(())
    }
}

/// Side of the relay that failed.
enum Side {
    Caller,
    Upstream,
}

/// Whether a message of the caller belongs to the request under way.
fn belongs(tag: u8, copying: bool) -> bool {
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
