use base::MemberId;
use home::{PinnedStatement, RunResult};
use wire::{WireError, sqlstate};

use crate::{
    group::{GroupEvent, GroupHandle, HeldConn, Owner, RequestUpdate, SlotLease},
    session::{relay::End, run::Session, tail::Tail, turn::Turn},
};

impl Session {
    /// Runs a statement of an open transaction on its own connection.
    pub(crate) async fn serve_held(
        &mut self,
        owner: &Owner,
        turn: &Turn<'_>,
    ) -> Result<(), WireError> {
        let lease = match owner {
            Owner::Member { group, member } => {
                match self.ask_pinned(group, member.clone(), turn).await {
                    Some(lease) => Some(lease),
                    None => return Err(WireError::Closed),
                }
            }
            Owner::Daemon { .. } => None,
        };
        let Some(mut conn) = self.held.as_mut().and_then(HeldConn::take) else {
            return Err(WireError::protocol("the held connection is missing"));
        };
        let translated = self.translate(turn, &mut conn)?;
        let mut tail = Tail::default();
        let holds = lease.is_some() && turn.must_not_repeat();
        let end = self.exchange(turn, &mut conn, 0, translated, &mut tail, holds).await?;
        let ready = match end {
            End::CallerGone => return Err(WireError::Closed),
            End::Broken => {
                if let Some(lease) = lease {
                    lease.end_held(RunResult::Broken);
                }
                drop(conn);
                self.held = None;
                return self.broken_transaction(turn, tail.sent_any());
            }
            End::Ready(ready) => ready,
        };
        if let Some(lease) = lease {
            lease.end_held(RunResult::Answered);
        }
        let Some(mut held) = self.held.take() else { return Ok(()) };
        self.note_settings(turn, &ready, &mut conn);
        if ready.refused {
            // The term has passed: the member has rolled the transaction back.
            drop(held);
            return self.broken_transaction(turn, false);
        }
        self.pinned |= turn.plan.pin.is_some();
        let announced = match owner {
            Owner::Member { group, .. } => self.announce(group, turn, &ready),
            Owner::Daemon { .. } => None,
        };
        held.put_back(conn);
        if ready.in_transaction || self.pinned {
            self.held = Some(held);
        } else {
            held.release();
        }
        match owner {
            Owner::Member { .. } => self.conclude(turn, announced, tail).await,
            Owner::Daemon { .. } => {
                self.conclude_there(&ready, tail);
                Ok(())
            }
        }
    }

    pub(crate) async fn ask_pinned(
        &mut self,
        group: &GroupHandle,
        member: MemberId,
        turn: &Turn<'_>,
    ) -> Option<SlotLease> {
        self.forget_updates();
        let statement = PinnedStatement { req: turn.req, key: turn.key.clone(), member };
        if !group.send(GroupEvent::Pinned(statement, self.updates_tx.clone())) {
            return None;
        }
        loop {
            match self.next_update().await {
                None => {
                    group.send(GroupEvent::Cancelled(turn.req));
                    return None;
                }
                Some(RequestUpdate::RunPinned(lease)) => return Some(lease),
                Some(_) => {}
            }
        }
    }

    /// Answers a transaction whose connection broke.
    pub(crate) fn broken_transaction(
        &mut self,
        turn: &Turn<'_>,
        sent_any: bool,
    ) -> Result<(), WireError> {
        self.pinned = false;
        if let Some(before) = self.settings_before.take() {
            self.profile.settings = before;
        }
        if sent_any || turn.plan.commits {
            return self.broken(turn, sent_any);
        }
        self.orphaned = true;
        let message = "the upstream was lost in the middle of the transaction";
        let detail = "The transaction was rolled back. Not run.";
        self.fail(sqlstate::SERIALIZATION_FAILURE, message, detail, turn.synced)
    }
}
