use accounts::excerpt;

use adapter::{CallerMsg, Code, MAX_LINE_BYTES};
use budget::{Reason, SMALL_BYTES};
use bytes::BytesMut;
use wire::WireError;

use crate::data::{
    answer_memory::{AnswerMemory, EXPECTED_COPIES},
    session::Session,
};

/// Length up to which an incomplete message is received without asking for memory. With what one
/// read may add, and the growth of the buffer, it stays within what is not charged.
const UNRESERVED_BYTES: usize = 4 * 1024;
/// Steps in which memory for an incomplete message is reserved: its length is not known.
const STEPS: [usize; 2] = [64 * 1024, MAX_LINE_BYTES + 16 * 1024];
/// Memory that a message takes while it is received, in its length: the buffer doubles.
const RECEIVED_COPIES: u64 = 2;
/// Memory that a message takes while its statement runs, in its length: the text, with it as a
/// prepared statement's arguments, and the buffer that is sent to the member.
const RUNNING_COPIES: u64 = 3;
/// Memory that an answer takes until it is sent, in its length: the rows and the encoded answer.
const ANSWER_COPIES: u64 = 2;

/// Error text of a message or statement that found no memory in time.
const NO_MEMORY: &str = "this daemon has no memory for a message of this size at present";

impl Session {
    /// Takes the next complete message from what was received.
    pub(super) fn take_message(&mut self) -> Result<Option<CallerMsg>, WireError> {
        let buf = self.conn.read_buffer();
        if !self.scan.is_complete(buf) {
            return Ok(None);
        }
        let received = buf.len();
        let taken = CallerMsg::take(buf);
        let length = (received - buf.len()) as u64;
        match taken {
            Ok(msg) => {
                self.message_bytes = if length > SMALL_BYTES { RUNNING_COPIES * length } else { 0 };
                self.account.running(self.message_bytes);
                Ok(msg)
            }
            Err(error) => {
                if received > MAX_LINE_BYTES {
                    self.account.log_refused(Reason::LongMessage, received as u64);
                }
                Err(WireError::protocol(error.to_string()))
            }
        }
    }

    /// Called before more of a message is read. Waits for the memory that this takes; if there is
    /// none, answers the message as refused and returns `false`.
    pub(super) async fn admit_more(&mut self) -> Result<bool, WireError> {
        let received = self.conn.buffered();
        if received == 0 {
            return Ok(true);
        }
        self.account.receiving(received as u64);
        if received < UNRESERVED_BYTES {
            return Ok(true);
        }
        let step = STEPS.into_iter().find(|step| received + UNRESERVED_BYTES <= *step);
        let bytes = RECEIVED_COPIES * step.unwrap_or(received) as u64;
        if self.account.reserve(bytes).await {
            return Ok(true);
        }
        self.refuse_message().await?;
        Ok(false)
    }

    /// Waits for the memory of a statement's answer, as large as the session's last one. Returns
    /// `false` if there is none, and the statement has been answered as refused.
    pub(super) async fn admit_statement(&mut self, id: &str) -> Result<bool, WireError> {
        if self.answer_bytes <= SMALL_BYTES {
            return Ok(true);
        }
        let bytes = self.message_bytes + EXPECTED_COPIES * self.answer_bytes;
        if self.account.reserve(bytes).await {
            return Ok(true);
        }
        // The next answer may be a short one.
        self.answer_bytes = 0;
        self.fail(id, Code::Busy, NO_MEMORY).await?;
        Ok(false)
    }

    /// Memory for the answer to a statement that [`Session::admit_statement`] has admitted.
    pub(super) fn answer_memory(&self) -> AnswerMemory<'_> {
        let expected = if self.answer_bytes > SMALL_BYTES { self.answer_bytes } else { 0 };
        AnswerMemory::Reserved { account: &self.account, admitted: EXPECTED_COPIES * expected }
    }

    /// Sends the reply in the write buffer. While the caller does not take it, it counts against
    /// the budget.
    pub(super) async fn send_reply(&mut self) -> Result<(), WireError> {
        let length = self.conn.queued() as u64;
        let is_large = length > SMALL_BYTES;
        if is_large || self.answer_bytes > SMALL_BYTES {
            self.answer_bytes = length;
            self.account.set_held(self.message_bytes + ANSWER_COPIES * length);
        }
        self.account.release_answer();
        self.account.send(&mut self.conn).await
    }

    /// Receives the rest of a message without keeping it, and answers it as refused.
    async fn refuse_message(&mut self) -> Result<(), WireError> {
        let id = request_id(self.conn.read_buffer());
        let mut discarded = 0;
        loop {
            let buf = self.conn.read_buffer();
            if let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
                *buf = BytesMut::from(&buf[end + 1..]);
                break;
            }
            discarded += buf.len();
            if discarded > MAX_LINE_BYTES {
                self.account.log_refused(Reason::LongMessage, discarded as u64);
                return Err(WireError::protocol("a message over 1 MiB"));
            }
            *buf = BytesMut::new();
            self.account.set_held(0);
            self.account.receiving(discarded as u64);
            self.account.end_turn().await;
            self.conn.fill().await?;
        }
        self.scan = Default::default();
        self.account.running(0);
        if self.database.is_empty() {
            self.reject(Code::Busy, NO_MEMORY).await?;
            return Err(WireError::Closed);
        }
        self.fail(&id, Code::Busy, NO_MEMORY).await?;
        self.account.idle();
        Ok(())
    }
}

/// Identifier of the request that an incomplete message begins with, for the log.
fn request_id(message: &[u8]) -> String {
    let mut words = message.split(|byte| *byte == b' ');
    let id = words.nth(1).map(String::from_utf8_lossy).unwrap_or_default();
    excerpt(&id).to_owned()
}
