use std::pin::pin;

use base::{Position, Term};
use bytes::{Bytes, BytesMut};
use futures_util::{future, future::Either};
use home::RunResult;
use wire::{WireError, sqlstate, tags};

use crate::{
    group::{self, GroupHandle, PooledConn, QueryResult, SlotLease},
    session::{
        relay::End,
        run::Session,
        tail::Tail,
        turn::{Tried, Turn},
    },
};

const TABLE: &str = "corianderwharf_answers";
const UNIQUE_VIOLATION: &str = "23505";
const UNDEFINED_TABLE: &str = "42P01";
const DUPLICATE_TABLE: &str = "42P07";
const MAX_STORED_BYTES: usize = 32 * 1024;
const NOT_RUN: &str = "Not run.";

/// What came of writing the record of a key.
enum Recorded {
    /// The submission may run in the open transaction.
    First,
    /// A submission with this key has run; its answer.
    Known { fingerprint: String, answer: Bytes, position: Position },
    /// The member refused; nothing has run.
    Refused(RunResult),
}

impl Session {
    /// Runs a submission whose key makes it safe to submit again.
    ///
    /// The record of the key is written in the submission's own transaction, so
    /// that both exist or neither. A second submission waits for the first one's
    /// transaction and then finds its answer. No lock expires, hence a paused
    /// holder cannot be overtaken.
    pub(crate) async fn try_keyed(
        &mut self,
        group: &GroupHandle,
        turn: &Turn<'_>,
        key: &str,
        (lease, mut conn, term): (SlotLease, PooledConn, Term),
    ) -> Result<Tried, WireError> {
        let fingerprint = self.statements.fingerprint(turn.frames)?;
        let recorded = self.record(&mut conn, key, &fingerprint, term).await;
        match recorded {
            Err(_) => {
                lease.end_closed(RunResult::Broken);
                Ok(Tried::Again("the connection to the member broke"))
            }
            Ok(Recorded::Refused(result)) => {
                lease.end_idle(result, conn);
                Ok(Tried::Again("the member refused the key's record"))
            }
            Ok(Recorded::Known { fingerprint: known, answer, position }) => {
                self.announce_at(group, turn, position);
                lease.end_idle(RunResult::Answered, conn);
                if known == fingerprint {
                    let reason = "a submission with this key has run";
                    logs::Decision::new("repeat answer", reason).log();
                    return self.confirm(turn, position, &answer).await;
                }
                self.refuse_other(turn)
            }
            Ok(Recorded::First) => self.run_first(group, turn, key, (lease, conn)).await,
        }
    }

    /// Opens a transaction and writes the key's record in it.
    async fn record(
        &mut self,
        conn: &mut PooledConn,
        key: &str,
        fingerprint: &str,
        term: Term,
    ) -> Result<Recorded, WireError> {
        if let Some(preamble) = self.preamble_text(conn, term) {
            self.ask_member(conn, &preamble).await?;
        }
        let (key, mark) = (quote(key), quote(fingerprint));
        let begin = format!("BEGIN; INSERT INTO {TABLE} VALUES ({key}, {mark}, '')");
        let begun = self.ask_member(conn, &begin).await?;
        let Some((code, _)) = begun.error else { return Ok(Recorded::First) };
        self.ask_member(conn, "ROLLBACK").await?;
        match code.as_str() {
            UNIQUE_VIOLATION => {}
            UNDEFINED_TABLE => return self.create_table(conn).await,
            sqlstate::STALE_TERM => return Ok(Recorded::Refused(RunResult::StaleTerm)),
            _ => return Ok(Recorded::Refused(RunResult::Answered)),
        }
        self.recall(conn, &key).await
    }

    /// Finds the answer of a submission that has run. Touching its record gives
    /// a position at or past it, which is proven before the answer is repeated:
    /// the first attempt may have ended before its own proof.
    async fn recall(&mut self, conn: &mut PooledConn, key: &str) -> Result<Recorded, WireError> {
        let touch = format!(
            "BEGIN; UPDATE {TABLE} SET answer = answer WHERE key = {key} \
             RETURNING request, answer; COMMIT"
        );
        let found = self.ask_member(conn, &touch).await?;
        let row = found.rows.first().map(Vec::as_slice);
        let (Some([request, answer]), Some(position)) = (row, found.position) else {
            self.ask_member(conn, "ROLLBACK").await?;
            return Ok(Recorded::Refused(RunResult::Answered));
        };
        Ok(Recorded::Known { fingerprint: request.clone(), answer: decode(answer), position })
    }

    /// Runs the submission, keeps its answer and commits.
    async fn run_first(
        &mut self,
        group: &GroupHandle,
        turn: &Turn<'_>,
        key: &str,
        (lease, mut conn): (SlotLease, PooledConn),
    ) -> Result<Tried, WireError> {
        let translated = self.translate(turn, &mut conn)?;
        let mut tail = Tail::default().with_everything_held();
        let end = self.exchange(turn, &mut conn, 0, translated, &mut tail, true).await?;
        let ready = match end {
            End::CallerGone => {
                lease.end_closed(RunResult::Answered);
                return Ok(Tried::CallerGone);
            }
            End::Broken => {
                lease.end_closed(RunResult::Broken);
                return Ok(Tried::Again("the connection to the member broke"));
            }
            End::Ready(ready) => ready,
        };
        let answer = without_end(tail.take());
        if ready.refused || ready.error.is_some() || answer.len() > MAX_STORED_BYTES {
            self.ask_member(&mut conn, "ROLLBACK").await?;
            lease.end_idle(RunResult::Answered, conn);
            return self.answer_failed(turn, ready.refused, &answer);
        }
        let update = format!(
            "UPDATE {TABLE} SET answer = '{}' WHERE key = {}; COMMIT",
            encode(&answer),
            quote(key)
        );
        let Ok(committed) = self.ask_member(&mut conn, &update).await else {
            lease.end_closed(RunResult::Broken);
            return Ok(Tried::Again("the connection to the member broke"));
        };
        let (Some(position), None) = (committed.position, committed.error) else {
            lease.end_closed(RunResult::StaleTerm);
            return Ok(Tried::Again("the member refused the commit"));
        };
        self.announce_at(group, turn, position);
        lease.end_idle(RunResult::Answered, conn);
        self.confirm(turn, position, &answer).await
    }

    /// Asks the member, unless it leaves the present reign meanwhile.
    async fn ask_member(
        &mut self,
        conn: &mut PooledConn,
        sql: &str,
    ) -> Result<QueryResult, WireError> {
        let lost = pin!(group::lost(&mut self.updates));
        match future::select(pin!(conn.query(sql)), lost).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Err(WireError::Closed),
        }
    }

    async fn create_table(&mut self, conn: &mut PooledConn) -> Result<Recorded, WireError> {
        let create = format!(
            "CREATE TABLE {TABLE} \
             (key text PRIMARY KEY, request text NOT NULL, answer text NOT NULL)"
        );
        let created = self.ask_member(conn, &create).await?;
        let failed = created.error.filter(|(code, _)| code != DUPLICATE_TABLE);
        if let Some((code, message)) = failed {
            logs::warn(&format!("creating {TABLE}: {code} {message}"));
        }
        Ok(Recorded::Refused(RunResult::Answered))
    }

    async fn confirm(
        &mut self,
        turn: &Turn<'_>,
        position: Position,
        answer: &[u8],
    ) -> Result<Tried, WireError> {
        self.profile.token.raise(&self.profile.group, position);
        if self.proven().await.is_err() {
            // The key makes another try safe: it finds the answer, or runs.
            return Ok(Tried::Again("the write could not be proven"));
        }
        self.report_token();
        self.conn.queue_bytes(answer);
        self.end_failed(turn.synced)?;
        Ok(Tried::Answered)
    }

    fn refuse_other(&mut self, turn: &Turn<'_>) -> Result<Tried, WireError> {
        let message = "the idempotency key was used for another request";
        self.fail(sqlstate::INVALID_PARAMETER_VALUE, message, NOT_RUN, turn.synced)?;
        Ok(Tried::Answered)
    }

    fn answer_failed(
        &mut self,
        turn: &Turn<'_>,
        refused: bool,
        answer: &[u8],
    ) -> Result<Tried, WireError> {
        if refused {
            return Ok(Tried::Again("the member refused the term"));
        }
        if answer.len() > MAX_STORED_BYTES {
            let message = "the answer is too large to be kept for an idempotency key";
            self.fail(sqlstate::FEATURE_NOT_SUPPORTED, message, NOT_RUN, turn.synced)?;
            return Ok(Tried::Answered);
        }
        self.conn.queue_bytes(answer);
        self.end_failed(turn.synced)?;
        Ok(Tried::Answered)
    }
}

/// The answer without the message that ends it: its status is that of the
/// daemon's own transaction.
fn without_end(answer: Bytes) -> Bytes {
    const READY_BYTES: usize = 6;
    let end = answer.len().saturating_sub(READY_BYTES);
    match answer.get(end) {
        Some(&tags::READY_FOR_QUERY) => answer.slice(..end),
        _ => answer,
    }
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode(text: &str) -> Bytes {
    let mut bytes = BytesMut::with_capacity(text.len() / 2);
    for pair in text.as_bytes().chunks_exact(2) {
        let digits = str::from_utf8(pair).unwrap_or_default();
        bytes.extend_from_slice(&[u8::from_str_radix(digits, 16).unwrap_or_default()]);
    }
    bytes.freeze()
}
