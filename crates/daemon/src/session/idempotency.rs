use std::pin::pin;

use base::{Position, Term};
use bytes::{Bytes, BytesMut};
use futures_util::{future, future::Either};
use home::RunResult;
use wire::{WireError, sqlstate, tags};

use crate::{
    group::{self, GroupHandle, PooledConn, QueryResult, SlotLease},
    session::{
        active_request::{ActiveRequest, AttemptOutcome},
        relay::RelayEnd,
        response_buffer::ResponseBuffer,
        run::Session,
    },
};

/// Table at the members that stores the answer of each idempotency key.
const ANSWERS_TABLE: &str = "corianderwharf_answers";
const UNIQUE_VIOLATION: &str = "23505";
const UNDEFINED_TABLE: &str = "42P01";
const DUPLICATE_TABLE: &str = "42P07";
const MAX_STORED_ANSWER_BYTES: usize = 32 * 1024;
const NOT_RUN: &str = "Not run.";

/// Outcome of inserting an idempotency key's row.
enum KeyInsert {
    /// The key is new; the submission may run in the open transaction.
    Inserted,
    /// A submission with this key has already committed; its fingerprint, stored
    /// answer, and a position at or after its commit.
    Duplicate { fingerprint: String, answer: Bytes, position: Position },
    /// The member rejected the insert; the submission has not run.
    Refused(RunResult),
}

impl Session {
    /// Runs a submission with an idempotency key, which makes it safe to retry.
    ///
    /// The key's row is inserted in the submission's own transaction, so that both
    /// are committed or neither is. A concurrent submission with the same key blocks
    /// on the row until the first transaction ends, and then finds its answer. No
    /// lock expires, so a submission that stalls cannot be overtaken by another one.
    pub(crate) async fn execute_idempotent(
        &mut self,
        group: &GroupHandle,
        request: &ActiveRequest<'_>,
        key: &str,
        (lease, mut conn, term): (SlotLease, PooledConn, Term),
    ) -> Result<AttemptOutcome, WireError> {
        let fingerprint = self.statements.fingerprint(request.frames)?;
        let insertion = self.insert_key(&mut conn, key, &fingerprint, term).await;
        match insertion {
            Err(_) => {
                lease.end_closed(RunResult::Broken);
                Ok(AttemptOutcome::Retry("the connection to the member broke"))
            }
            Ok(KeyInsert::Refused(result)) => {
                lease.end_idle(result, conn);
                Ok(AttemptOutcome::Retry("the member refused the key's record"))
            }
            Ok(KeyInsert::Duplicate { fingerprint: stored, answer, position }) => {
                self.report_commit_at(group, request, position);
                lease.end_idle(RunResult::Answered, conn);
                if stored == fingerprint {
                    let reason = "a submission with this key has run";
                    logs::Decision::new("repeat answer", reason).log();
                    return self.send_acknowledged(request, position, &answer).await;
                }
                self.fail_key_reused(request)
            }
            Ok(KeyInsert::Inserted) => self.execute_new(group, request, key, (lease, conn)).await,
        }
    }

    /// Opens a transaction and inserts the key's row in it.
    async fn insert_key(
        &mut self,
        conn: &mut PooledConn,
        key: &str,
        fingerprint: &str,
        term: Term,
    ) -> Result<KeyInsert, WireError> {
        if let Some(preamble) = self.preamble_text(conn, term) {
            self.query_member(conn, &preamble).await?;
        }
        let (key, quoted_fingerprint) = (quote(key), quote(fingerprint));
        let begin =
            format!("BEGIN; INSERT INTO {ANSWERS_TABLE} VALUES ({key}, {quoted_fingerprint}, '')");
        let inserted = self.query_member(conn, &begin).await?;
        let Some((code, _)) = inserted.error else { return Ok(KeyInsert::Inserted) };
        self.query_member(conn, "ROLLBACK").await?;
        match code.as_str() {
            UNIQUE_VIOLATION => {}
            UNDEFINED_TABLE => return self.create_table(conn).await,
            sqlstate::STALE_TERM => return Ok(KeyInsert::Refused(RunResult::StaleTerm)),
            _ => return Ok(KeyInsert::Refused(RunResult::Answered)),
        }
        self.load_answer(conn, &key).await
    }

    /// Loads the answer of a submission that has already committed.
    ///
    /// An update that leaves the row's content unchanged yields a position at or
    /// after the original commit. That position must be acknowledged as durable
    /// before the answer is repeated, since the first attempt may have ended before
    /// its own commit was acknowledged.
    async fn load_answer(
        &mut self,
        conn: &mut PooledConn,
        key: &str,
    ) -> Result<KeyInsert, WireError> {
        let update = format!(
            "BEGIN; UPDATE {ANSWERS_TABLE} SET answer = answer WHERE key = {key} \
             RETURNING request, answer; COMMIT"
        );
        let found = self.query_member(conn, &update).await?;
        let row = found.rows.first().map(Vec::as_slice);
        let (Some([request, answer]), Some(position)) = (row, found.position) else {
            self.query_member(conn, "ROLLBACK").await?;
            return Ok(KeyInsert::Refused(RunResult::Answered));
        };
        Ok(KeyInsert::Duplicate {
            fingerprint: request.clone(),
            answer: decode_hex(answer),
            position,
        })
    }

    /// Runs a submission whose key is new, stores its answer and commits.
    async fn execute_new(
        &mut self,
        group: &GroupHandle,
        request: &ActiveRequest<'_>,
        key: &str,
        (lease, mut conn): (SlotLease, PooledConn),
    ) -> Result<AttemptOutcome, WireError> {
        let translated = self.translate(request, &mut conn)?;
        let mut response = ResponseBuffer::default().retaining_all();
        let end = self.exchange(request, &mut conn, 0, translated, &mut response, true).await?;
        let ready = match end {
            RelayEnd::CallerGone => {
                lease.end_closed(RunResult::Answered);
                return Ok(AttemptOutcome::CallerGone);
            }
            RelayEnd::NoMemory => {
                lease.end_closed(RunResult::Answered);
                self.fail_broken(request, false)?;
                return Ok(AttemptOutcome::Answered);
            }
            RelayEnd::Broken => {
                lease.end_closed(RunResult::Broken);
                return Ok(AttemptOutcome::Retry("the connection to the member broke"));
            }
            RelayEnd::Ready(ready) => ready,
        };
        let answer = strip_ready_for_query(response.take());
        if ready.refused || ready.error.is_some() || answer.len() > MAX_STORED_ANSWER_BYTES {
            self.query_member(&mut conn, "ROLLBACK").await?;
            lease.end_idle(RunResult::Answered, conn);
            return self.send_unstored_answer(request, ready.refused, &answer);
        }
        let update = format!(
            "UPDATE {ANSWERS_TABLE} SET answer = '{}' WHERE key = {}; COMMIT",
            encode_hex(&answer),
            quote(key)
        );
        let Ok(committed) = self.query_member(&mut conn, &update).await else {
            lease.end_closed(RunResult::Broken);
            let reason = "the connection to the member broke before it answered the commit";
            return Ok(AttemptOutcome::RetryUnresolved(reason));
        };
        if committed.error.is_some() {
            lease.end_closed(RunResult::StaleTerm);
            return Ok(AttemptOutcome::Retry("the member refused the commit"));
        }
        let Some(position) = committed.position else {
            lease.end_closed(RunResult::Broken);
            return Ok(AttemptOutcome::RetryUnresolved("the member reported no position"));
        };
        self.report_commit_at(group, request, position);
        lease.end_idle(RunResult::Answered, conn);
        self.send_acknowledged(request, position, &answer).await
    }

    /// Runs a query at the member; fails with [`WireError::Closed`] if the member is
    /// no longer part of the current term.
    async fn query_member(
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

    async fn create_table(&mut self, conn: &mut PooledConn) -> Result<KeyInsert, WireError> {
        let create = format!(
            "CREATE TABLE {ANSWERS_TABLE} \
             (key text PRIMARY KEY, request text NOT NULL, answer text NOT NULL)"
        );
        let created = self.query_member(conn, &create).await?;
        let failed = created.error.filter(|(code, _)| code != DUPLICATE_TABLE);
        if let Some((code, message)) = failed {
            logs::warn(&format!("failed to create table {ANSWERS_TABLE}: {code} {message}"));
        }
        Ok(KeyInsert::Refused(RunResult::Answered))
    }

    /// Sends the answer once the commit at `position` is acknowledged as durable.
    async fn send_acknowledged(
        &mut self,
        request: &ActiveRequest<'_>,
        position: Position,
        answer: &[u8],
    ) -> Result<AttemptOutcome, WireError> {
        self.profile.token.raise(&self.profile.group, position);
        if self.wait_acknowledged().await.is_err() {
            // The key makes a retry safe: it either finds the stored answer or runs
            // the submission.
            return Ok(AttemptOutcome::RetryUnresolved("the write could not be proven"));
        }
        self.report_token();
        self.conn.queue_bytes(answer);
        self.end_request(request.synced)?;
        Ok(AttemptOutcome::Answered)
    }

    fn fail_key_reused(
        &mut self,
        request: &ActiveRequest<'_>,
    ) -> Result<AttemptOutcome, WireError> {
        let message = "the idempotency key was used for another request";
        self.fail(sqlstate::INVALID_PARAMETER_VALUE, message, NOT_RUN, request.synced)?;
        Ok(AttemptOutcome::Answered)
    }

    /// Answers a submission whose transaction was rolled back: the member refused the
    /// term, the submission failed, or its answer is too large to store.
    fn send_unstored_answer(
        &mut self,
        request: &ActiveRequest<'_>,
        refused: bool,
        answer: &[u8],
    ) -> Result<AttemptOutcome, WireError> {
        if refused {
            return Ok(AttemptOutcome::Retry("the member refused the term"));
        }
        if answer.len() > MAX_STORED_ANSWER_BYTES {
            let message = "the answer is too large to be kept for an idempotency key";
            self.fail(sqlstate::FEATURE_NOT_SUPPORTED, message, NOT_RUN, request.synced)?;
            return Ok(AttemptOutcome::Answered);
        }
        self.conn.queue_bytes(answer);
        self.end_request(request.synced)?;
        Ok(AttemptOutcome::Answered)
    }
}

/// Removes the final ReadyForQuery message: its transaction status is that of the
/// transaction that the daemon opened, not that of the caller's session.
fn strip_ready_for_query(answer: Bytes) -> Bytes {
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

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Bytes {
    let mut bytes = BytesMut::with_capacity(text.len() / 2);
    for pair in text.as_bytes().chunks_exact(2) {
        let digits = str::from_utf8(pair).unwrap_or_default();
        bytes.extend_from_slice(&[u8::from_str_radix(digits, 16).unwrap_or_default()]);
    }
    bytes.freeze()
}
