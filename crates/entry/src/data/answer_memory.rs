use budget::SMALL_BYTES;

use crate::data::account::Account;

/// Memory that an answer takes while it is received, in its length.
pub(super) const EXPECTED_COPIES: u64 = 3;
/// Steps in which memory for an answer is reserved: its length is not known.
const STEP_BYTES: u64 = 64 * 1024;

/// What happens to a long answer while it is received.
#[derive(Clone, Copy)]
pub(crate) enum AnswerMemory<'a> {
    /// It answers a statement of the daemon's own, and is short.
    Own,
    /// Nobody waits for it any more, so its rows are not kept.
    Discarded,
    /// Memory is reserved before more of it is read, except the part that the session was admitted
    /// with.
    Reserved { account: &'a Account, admitted: u64 },
}

impl AnswerMemory<'_> {
    pub(super) fn keeps_rows(self) -> bool {
        !matches!(self, AnswerMemory::Discarded)
    }

    /// Waits for the memory that an answer takes of which this much has been received; `false` if
    /// there is none.
    pub(super) async fn admit(self, received: u64) -> bool {
        let AnswerMemory::Reserved { account, admitted } = self else { return true };
        if received <= SMALL_BYTES {
            return true;
        }
        // The next read, and the buffer doubles when it is full.
        let steps = (received + STEP_BYTES).next_multiple_of(STEP_BYTES);
        let bytes = (EXPECTED_COPIES * steps).saturating_sub(admitted);
        account.wait_for_answer_memory(bytes).await
    }
}
