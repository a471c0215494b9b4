use base::MemberId;
use home::{PinnedStatement, RunResult};
use wire::{WireError, sqlstate};

use crate::{
    group::{GroupEvent, GroupHandle, HeldConn, Owner, RequestUpdate, SlotLease},
    session::{
        active_request::ActiveRequest, relay::RelayEnd, response_buffer::ResponseBuffer,
        run::Session,
    },
};

impl Session {
    /// Runs a request on the connection that the session holds, for an open
    /// transaction or because of session state.
    pub(crate) async fn serve_held(
        &mut self,
        owner: &Owner,
        request: &ActiveRequest<'_>,
    ) -> Result<(), WireError> {
        let lease = match owner {
            Owner::Member { group, member } => {
                match self.submit_pinned(group, member.clone(), request).await {
                    Some(lease) => Some(lease),
                    None => return Err(WireError::Closed),
                }
            }
            Owner::Daemon { .. } => None,
        };
        let Some(mut conn) = self.held.as_mut().and_then(HeldConn::take) else {
            return Err(WireError::protocol("the session holds no connection"));
        };
        let translated = self.translate(request, &mut conn)?;
        let mut response = ResponseBuffer::default();
        let hold_completion = lease.is_some() && request.must_not_repeat();
        let end = self
            .exchange(request, &mut conn, 0, translated, &mut response, hold_completion)
            .await?;
        let ready = match end {
            RelayEnd::CallerGone => return Err(WireError::Closed),
            end @ (RelayEnd::Broken | RelayEnd::NoMemory) => {
                if let Some(lease) = lease {
                    lease.end_held(match end {
                        RelayEnd::Broken => RunResult::Broken,
                        _ => RunResult::Answered,
                    });
                }
                drop(conn);
                self.held = None;
                return self.fail_broken_transaction(request, response.sent_any());
            }
            RelayEnd::Ready(ready) => ready,
        };
        if let Some(lease) = lease {
            lease.end_held(RunResult::Answered);
        }
        let Some(mut held) = self.held.take() else { return Ok(()) };
        self.record_settings(request, &ready, &mut conn);
        if ready.refused {
            // The term is stale: the member has rolled the transaction back.
            drop(held);
            return self.fail_broken_transaction(request, false);
        }
        self.pinned |= request.plan.pin_reason.is_some();
        let commit_position = match owner {
            Owner::Member { group, .. } => self.report_commit(group, request, &ready),
            Owner::Daemon { .. } => None,
        };
        held.put_back(conn);
        if ready.in_transaction || self.pinned {
            self.held = Some(held);
        } else {
            held.release();
        }
        match owner {
            Owner::Member { .. } => self.finish(request, commit_position, response).await,
            Owner::Daemon { .. } => {
                self.finish_remote(&ready, response);
                Ok(())
            }
        }
    }

    /// Announces the statement to the group's home, which counts it as in flight at `member`,
    /// to which the held connection leads; `None` if the home's task has ended or the caller is
    /// gone.
    pub(crate) async fn submit_pinned(
        &mut self,
        group: &GroupHandle,
        member: MemberId,
        request: &ActiveRequest<'_>,
    ) -> Option<SlotLease> {
        self.discard_updates();
        let statement = PinnedStatement { req: request.id, key: request.key.clone(), member };
        if !group.send(GroupEvent::Pinned(statement, self.updates_tx.clone())) {
            return None;
        }
        loop {
            match self.next_update().await {
                None => {
                    group.send(GroupEvent::Cancelled(request.id));
                    return None;
                }
                Some(RequestUpdate::RunPinned(lease)) => return Some(lease),
                Some(_) => {}
            }
        }
    }

    /// Answers a request whose transaction was lost with its connection.
    pub(crate) fn fail_broken_transaction(
        &mut self,
        request: &ActiveRequest<'_>,
        sent_any: bool,
    ) -> Result<(), WireError> {
        self.pinned = false;
        if let Some(before) = self.settings_at_begin.take() {
            self.profile.settings = before;
        }
        if sent_any || request.plan.commits {
            return self.fail_broken(request, sent_any);
        }
        self.transaction_lost = true;
        let message = "the upstream was lost in the middle of the transaction";
        let detail = "The transaction was rolled back. Not run.";
        self.fail(sqlstate::SERIALIZATION_FAILURE, message, detail, request.synced)
    }
}
