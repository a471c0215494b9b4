use std::{net::SocketAddr, rc::Rc};

use wire::{WireError, sqlstate};

use crate::{
    group::{HeldConn, Owner, PooledConn},
    session::{
        active_request::{ActiveRequest, AttemptOutcome},
        forward::PEER_SECRET_PARAMETER,
        relay::{ReadyState, RelayEnd},
        response_buffer::ResponseBuffer,
        run::Session,
        serve, statements,
    },
};

impl Session {
    /// Forwards a request to the daemon at `addr`, the group's home.
    pub(crate) async fn try_remote(
        &mut self,
        addr: SocketAddr,
        request: &ActiveRequest<'_>,
    ) -> Result<AttemptOutcome, WireError> {
        let idle = self.cx.daemon_pool.borrow_mut().take(addr);
        let mut conn = match idle {
            Some(conn) => conn,
            None => match self.connect_remote(addr).await {
                Some(conn) => conn,
                None => return Ok(AttemptOutcome::Reroute("the group's home cannot be reached")),
            },
        };
        self.cx.metrics.count("forwarded");
        let remaining = request.deadline.since(self.cx.clock.now());
        let forward = self.profile.forward(
            request.key.rank,
            remaining.as_millis(),
            request.idempotency_key.clone(),
        );
        conn.upstream.conn.queue_bytes(&statements::encode_simple_query(&forward.set_statement()));
        let translated = self.translate(request, &mut conn)?;
        let mut response = ResponseBuffer::default();
        // Held back if the home's answer must not reach the caller as it is.
        let hold_completion = request.may_have_run;
        let end = self
            .exchange(request, &mut conn, 1, translated, &mut response, hold_completion)
            .await?;
        match end {
            RelayEnd::CallerGone => Ok(AttemptOutcome::CallerGone),
            RelayEnd::NoMemory => {
                self.fail_broken(request, response.sent_any())?;
                Ok(AttemptOutcome::Answered)
            }
            RelayEnd::Broken => {
                if !request.must_not_repeat() && !response.sent_any() {
                    let reason = "the connection to the group's home broke";
                    return Ok(AttemptOutcome::RetryUnresolved(reason));
                }
                self.fail_broken(request, response.sent_any())?;
                Ok(AttemptOutcome::Answered)
            }
            RelayEnd::Ready(ready) if ready.refused => {
                self.cx.daemon_pool.borrow_mut().put_back(addr, conn);
                Ok(AttemptOutcome::Reroute("the group's home has moved"))
            }
            RelayEnd::Ready(ready) if request.may_have_run && ready.error.is_some() => {
                // The home knows nothing of the earlier attempt, and may say "not run".
                self.cx.daemon_pool.borrow_mut().put_back(addr, conn);
                let code = ready.error.as_deref().unwrap_or(sqlstate::CANNOT_CONNECT_NOW);
                let message = "the group's home refused to repeat the request";
                self.fail_unserved(request, code, message)?;
                Ok(AttemptOutcome::Answered)
            }
            RelayEnd::Ready(ready) => {
                self.save_settings(&ready);
                self.record_settings(request, &ready, &mut conn);
                self.pinned |= request.plan.pin_reason.is_some() && ready.error.is_none();
                let owner = Owner::Daemon { pool: Rc::clone(&self.cx.daemon_pool), addr };
                let held = HeldConn::new(owner, conn);
                if ready.in_transaction || self.pinned {
                    self.held = Some(held);
                } else {
                    held.release();
                }
                self.finish_remote(&ready, response);
                Ok(AttemptOutcome::Answered)
            }
        }
    }

    /// Opens a connection to another daemon; `None` if that fails.
    pub(crate) async fn connect_remote(&self, addr: SocketAddr) -> Option<PooledConn> {
        let parameters = [
            ("user", self.profile.user.as_str()),
            ("database", self.profile.name.as_str()),
            (PEER_SECRET_PARAMETER, self.cx.peer_secret.as_ref()),
        ];
        serve::connect(addr, &parameters).await
    }

    /// Sends the rest of a response from another daemon, which has already waited for
    /// the write's acknowledgement, and takes over the token that it reported.
    pub(crate) fn finish_remote(&mut self, ready: &ReadyState, mut response: ResponseBuffer) {
        if let Some(token) = &ready.token {
            self.profile.token.merge(token);
            self.report_token();
        }
        response.release(&mut self.conn);
    }
}
