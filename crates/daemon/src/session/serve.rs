use std::{net::SocketAddr, pin::pin, time::Duration};

use base::{Position, Span, StatementKind, Term};
use futures_util::{StreamExt, future, future::Either};
use home::{Commit, Refusal, RunResult, Submission};
use membership::Place;
use sql::PinReason;
use table::{Policy, RowKey};
use wire::{Frame, WireError, sqlstate, tags};

use crate::{
    group::{
        Granted, GroupEvent, GroupHandle, HeldConn, Owner, PooledConn, RequestUpdate, SlotLease,
    },
    session::{
        active_request::{ActiveRequest, AttemptOutcome, Location, SubmitOutcome},
        cancel_registry::CancelTarget,
        listener::Origin,
        local,
        plan::Plan,
        relay::{MAX_READAHEAD_BYTES, ReadyState, Relay, RelayEnd},
        response_buffer::ResponseBuffer,
        run::Session,
        statements::{self, Translated},
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(2);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of session settings that may stay with an idle connection to a member.
const MAX_KEPT_SETTINGS: usize = 16 * 1024;
const NOT_RUN: &str = "Not run.";
const MAY_HAVE_RUN: &str = "The request may or may not have run.";

impl Session {
    /// Runs a request and sends its response.
    pub(crate) async fn serve_request(
        &mut self,
        frames: &[Frame],
        plan: &Plan,
        synced: bool,
    ) -> Result<(), WireError> {
        if self.transaction_lost {
            if local::answer_lost_transaction(&mut self.conn, frames, plan.ends_transaction)? {
                self.transaction_lost = false;
            }
            return self.end_request(synced);
        }
        if plan.pin_reason == Some(PinReason::Notifications) {
            let message = "LISTEN and UNLISTEN cannot be offered on pooled connections";
            return self.fail(sqlstate::FEATURE_NOT_SUPPORTED, message, NOT_RUN, synced);
        }
        if plan.is_too_complex {
            let message = "too long to find its idempotency key; split it, or set the key before";
            return self.fail(sqlstate::STATEMENT_TOO_COMPLEX, message, NOT_RUN, synced);
        }
        let Some((key, policy)) = self.policy(plan) else {
            let name = &self.profile.name;
            let is_recent = self.cx.directory.borrow().is_table_recent(self.cx.clock.now());
            let (code, message) = if is_recent {
                let message = format!("no database group answers to {name:?} any more");
                (sqlstate::INVALID_CATALOG_NAME, message)
            } else {
                let message = format!("cannot tell at present whether {name:?} exists");
                (sqlstate::CANNOT_CONNECT_NOW, message)
            };
            return self.fail(code, &message, NOT_RUN, synced);
        };
        let wait_ms = self.profile.wait_ms.unwrap_or(self.cx.timing.wait_ms);
        let deadline = self.cx.clock.now() + Span::from_millis(wait_ms);
        let id = self.cx.next_request_id();
        let idempotency_key = self.idempotency_key(plan);
        let request = ActiveRequest {
            id,
            frames,
            plan,
            synced,
            key,
            policy,
            deadline,
            idempotency_key,
            may_have_run: false,
        };
        if request.idempotency_key.is_some() && self.held.is_some() {
            let message = "an idempotency key cannot be used within a transaction";
            return self.fail(sqlstate::FEATURE_NOT_SUPPORTED, message, NOT_RUN, synced);
        }
        match self.held.as_ref().map(|held| held.owner().clone()) {
            Some(owner) => self.serve_held(&owner, &request).await,
            None => self.serve_with_retries(request).await,
        }
    }

    /// Returns the idempotency key of a submission: from a comment hint, else from
    /// the setting, which applies to one submission only.
    fn idempotency_key(&mut self, plan: &Plan) -> Option<String> {
        if plan.kind != StatementKind::Write || !plan.executes {
            return None;
        }
        plan.idempotency_key.clone().or_else(|| self.profile.idempotency_key.take())
    }

    /// Returns the name, rank and policy of a request; `None` if the table no longer
    /// maps the name to the session's group.
    fn policy(&self, plan: &Plan) -> Option<(RowKey, Policy)> {
        let directory = self.cx.directory.borrow();
        let table = directory.table()?;
        if table.group(&self.profile.name) != Some(&self.profile.group) {
            return None;
        }
        let rank = self.profile.request_rank(plan.rank, plan.kind);
        let policy = table.policy(&self.profile.name, rank);
        Some((RowKey { name: self.profile.name.clone(), rank }, policy))
    }

    /// Runs a request for which the session holds no connection; retries within the
    /// request's deadline and the retry budgets.
    async fn serve_with_retries(
        &mut self,
        mut request: ActiveRequest<'_>,
    ) -> Result<(), WireError> {
        let mut pause = FIRST_RETRY_PAUSE;
        self.retry_budget.record_request();
        self.cx.retry_budget.borrow_mut().record_request();
        loop {
            let outcome = match self.locate() {
                Location::Local(group) => self.try_local(&group, &request).await?,
                Location::Remote(addr) if self.origin == Origin::Caller => {
                    self.try_remote(addr, &request).await?
                }
                Location::Remote(_) => return self.fail_not_home(&request),
                Location::Unknown => AttemptOutcome::Reroute("no home of the group is known"),
            };
            let (reason, counted) = match outcome {
                AttemptOutcome::Answered => return Ok(()),
                AttemptOutcome::CallerGone => return Err(WireError::Closed),
                AttemptOutcome::Reroute(reason) => (reason, false),
                AttemptOutcome::Retry(reason) => (reason, true),
                AttemptOutcome::RetryUnresolved(reason) => {
                    request.may_have_run = true;
                    (reason, true)
                }
            };
            if counted && !self.take_retry() {
                self.cx.metrics.count("retries_refused");
                return self.fail_unserved(&request, sqlstate::CANNOT_CONNECT_NOW, reason);
            }
            if self.cx.clock.now() >= request.deadline {
                return self.fail_unserved(&request, sqlstate::CANNOT_CONNECT_NOW, reason);
            }
            if !self.wait_before_retry(self.cx.jitter(pause)).await {
                return Err(WireError::Closed);
            }
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
            request.id = self.cx.next_request_id();
        }
    }

    /// Takes a retry from the session's budget and from the daemon's; returns whether
    /// both allowed it.
    fn take_retry(&mut self) -> bool {
        self.retry_budget.take() && self.cx.retry_budget.borrow_mut().take()
    }

    /// Returns the current home of the session's group.
    fn locate(&self) -> Location {
        let directory = self.cx.directory.borrow();
        let Some(entry) = directory.group(&self.profile.group) else { return Location::Unknown };
        match (&entry.place, &entry.handle) {
            (Some(Place::Here), Some(handle)) => Location::Local(handle.clone()),
            (Some(Place::There { forward, .. }), _) => Location::Remote(*forward),
            _ => Location::Unknown,
        }
    }

    /// Waits before a retry; returns whether the caller is still connected.
    async fn wait_before_retry(&mut self, pause: Duration) -> bool {
        let caller = pin!(async {
            loop {
                if self.conn.buffered() >= MAX_READAHEAD_BYTES {
                    future::pending::<()>().await;
                }
                if self.conn.fill().await.is_err() {
                    return;
                }
            }
        });
        monoio::time::timeout(pause, caller).await.is_err()
    }

    fn fail_not_home(&mut self, request: &ActiveRequest<'_>) -> Result<(), WireError> {
        let message = "this daemon is not the group's home";
        self.fail(sqlstate::NOT_HOME, message, NOT_RUN, request.synced)
    }

    async fn try_local(
        &mut self,
        group: &GroupHandle,
        request: &ActiveRequest<'_>,
    ) -> Result<AttemptOutcome, WireError> {
        match self.submit(group, request).await {
            SubmitOutcome::Granted(granted) => self.execute_granted(group, request, granted).await,
            SubmitOutcome::Refused(Refusal::HomeMoved) if self.origin == Origin::Caller => {
                Ok(AttemptOutcome::Reroute("the group's home has moved"))
            }
            SubmitOutcome::Refused(Refusal::HomeMoved) => {
                self.fail_not_home(request)?;
                Ok(AttemptOutcome::Answered)
            }
            SubmitOutcome::Refused(refusal) => {
                self.fail_refused(request, refusal)?;
                Ok(AttemptOutcome::Answered)
            }
            SubmitOutcome::Cancelled => {
                let message = "canceling statement due to user request";
                self.fail_unserved(request, sqlstate::QUERY_CANCELED, message)?;
                Ok(AttemptOutcome::Answered)
            }
            SubmitOutcome::CallerGone => Ok(AttemptOutcome::CallerGone),
        }
    }

    /// Submits a request to the group's home and waits for the grant or refusal.
    async fn submit(&mut self, group: &GroupHandle, request: &ActiveRequest<'_>) -> SubmitOutcome {
        self.discard_updates();
        let session = self.profile.position();
        let submission = Submission {
            req: request.id,
            caller: self.profile.caller.clone(),
            key: request.key.clone(),
            policy: request.policy,
            kind: request.plan.kind,
            token: self.profile.has_token.then_some(session),
            session,
            deadline: request.deadline,
        };
        if !group.send(GroupEvent::Submit(submission, self.updates_tx.clone())) {
            return SubmitOutcome::Refused(Refusal::HomeMoved);
        }
        loop {
            match self.next_update().await {
                None => {
                    group.send(GroupEvent::Cancelled(request.id));
                    return SubmitOutcome::CallerGone;
                }
                Some(RequestUpdate::Granted(granted)) => return SubmitOutcome::Granted(granted),
                Some(RequestUpdate::Refused(refusal)) => return SubmitOutcome::Refused(refusal),
                Some(RequestUpdate::Cancelled) => {
                    group.send(GroupEvent::Cancelled(request.id));
                    return SubmitOutcome::Cancelled;
                }
                Some(_) => {}
            }
        }
    }

    /// Discards updates that belong to an earlier request.
    pub(crate) fn discard_updates(&mut self) {
        while self.updates.try_recv().is_ok() {}
    }

    /// Waits for the next update from the home; `None` if the caller disconnects.
    pub(crate) async fn next_update(&mut self) -> Option<RequestUpdate> {
        loop {
            let can_read = self.conn.buffered() < MAX_READAHEAD_BYTES;
            let caller = pin!(async {
                if !can_read {
                    future::pending::<()>().await;
                }
                self.conn.fill().await
            });
            match future::select(self.updates.next(), caller).await {
                Either::Left((update, _)) => return update,
                Either::Right((Ok(()), _)) => {}
                Either::Right((Err(_), _)) => return None,
            }
        }
    }

    /// Runs a request once at the member that the home granted.
    async fn execute_granted(
        &mut self,
        group: &GroupHandle,
        request: &ActiveRequest<'_>,
        granted: Box<Granted>,
    ) -> Result<AttemptOutcome, WireError> {
        let Granted { lease, addr, term, conn, required, reason } = *granted;
        self.log(request, &lease, term, required, reason);
        let usable = conn.and_then(|mut conn| conn.is_clean().then_some(conn));
        let mut conn = match usable {
            Some(conn) => conn,
            None => match connect(addr, &[("user", "corianderwharf")]).await {
                Some(conn) => conn,
                None => {
                    lease.end_closed(RunResult::Broken);
                    return Ok(AttemptOutcome::Retry(
                        "no connection to the member could be opened",
                    ));
                }
            },
        };
        if let Some(key) = &request.idempotency_key {
            return self.execute_idempotent(group, request, key, (lease, conn, term)).await;
        }
        let preamble_responses = self.queue_preamble(&mut conn, term);
        let translated = self.translate(request, &mut conn)?;
        let mut response = ResponseBuffer::default();
        let hold_completion = request.must_not_repeat();
        let end = self
            .exchange(
                request,
                &mut conn,
                preamble_responses,
                translated,
                &mut response,
                hold_completion,
            )
            .await?;
        match end {
            RelayEnd::CallerGone => {
                self.cancel_at_member(&conn);
                lease.end_closed(RunResult::Answered);
                Ok(AttemptOutcome::CallerGone)
            }
            RelayEnd::NoMemory => {
                self.cancel_at_member(&conn);
                lease.end_closed(RunResult::Answered);
                self.fail_broken(request, response.sent_any())?;
                Ok(AttemptOutcome::Answered)
            }
            RelayEnd::Broken => {
                lease.end_closed(RunResult::Broken);
                if !request.must_not_repeat() && !response.sent_any() {
                    let reason = "the connection to the member broke";
                    return Ok(AttemptOutcome::RetryUnresolved(reason));
                }
                self.fail_broken(request, response.sent_any())?;
                Ok(AttemptOutcome::Answered)
            }
            RelayEnd::Ready(ready) if ready.refused => {
                lease.end_idle(RunResult::StaleTerm, conn);
                Ok(AttemptOutcome::Retry("the member refused the term"))
            }
            RelayEnd::Ready(ready) => {
                let commit_position = self.report_commit(group, request, &ready);
                self.release_or_hold(group, request, lease, conn, &ready);
                self.finish(request, commit_position, response).await?;
                Ok(AttemptOutcome::Answered)
            }
        }
    }

    /// Queues the preamble on the connection; returns the number of responses to
    /// expect for it.
    fn queue_preamble(&self, conn: &mut PooledConn, term: Term) -> u32 {
        let Some(text) = self.preamble_text(conn, term) else { return 0 };
        conn.upstream.conn.queue_bytes(&statements::encode_simple_query(&text));
        1
    }

    /// Returns the statements that apply the caller's settings and the term to the
    /// connection; `None` if both are set already.
    pub(crate) fn preamble_text(&self, conn: &mut PooledConn, term: Term) -> Option<String> {
        let mut parts = Vec::new();
        if conn.settings != self.profile.settings {
            parts.push("RESET ALL".to_owned());
            for (name, value) in &self.profile.settings {
                parts.push(format!("SET {name} = '{}'", value.replace('\'', "''")));
            }
            conn.settings = self.profile.settings.clone();
        }
        if conn.term != Some(term) {
            parts.push(format!("SET group.term = {term}"));
            conn.term = Some(term);
        }
        (!parts.is_empty()).then(|| parts.join("; "))
    }

    /// Cancels the running request at the member after its caller has disconnected.
    fn cancel_at_member(&self, conn: &PooledConn) {
        let (addr, greeting) = (conn.addr(), &conn.upstream.startup_response);
        let (pid, secret) = (greeting.pid, greeting.secret);
        self.cx.tasks.spawn(async move {
            let _ = wire::cancel(addr, pid, secret).await;
        });
    }

    pub(crate) fn translate(
        &mut self,
        request: &ActiveRequest<'_>,
        conn: &mut PooledConn,
    ) -> Result<Translated, WireError> {
        if let [frame] = request.frames {
            if frame.tag == tags::QUERY {
                let mut translated = Translated::default();
                translated.bytes.extend_from_slice(&frame.bytes);
                return Ok(translated);
            }
        }
        self.statements.translate(request.frames, conn)
    }

    /// Sends the request to the upstream and relays the response.
    pub(crate) async fn exchange(
        &mut self,
        request: &ActiveRequest<'_>,
        conn: &mut PooledConn,
        preamble_responses: u32,
        translated: Translated,
        response: &mut ResponseBuffer,
        hold_completion: bool,
    ) -> Result<RelayEnd, WireError> {
        *self.target.borrow_mut() = Some(CancelTarget {
            addr: conn.upstream.addr,
            pid: conn.upstream.startup_response.pid,
            secret: conn.upstream.startup_response.secret,
        });
        conn.upstream.conn.queue_bytes(&translated.bytes);
        let sent = conn.upstream.conn.flush().await;
        let group = match self.locate() {
            Location::Local(group) => Some(group),
            Location::Remote(_) | Location::Unknown => None,
        };
        let mut relay = Relay {
            group,
            caller: &mut self.conn,
            account: &self.account,
            statements: &mut self.statements,
            updates: &mut self.updates,
            hold_completion,
            synced: request.synced,
            preamble_responses,
            suppressed: translated.suppressed,
            limit: self.cx.limits.message_bytes,
            response: std::mem::take(response),
        };
        let end = match sent {
            Ok(()) => relay.run(conn).await,
            Err(_) => Ok(RelayEnd::Broken),
        };
        *response = relay.response;
        *self.target.borrow_mut() = None;
        if let Ok(RelayEnd::Ready(ready)) = &end {
            if ready.error.is_some() || ready.refused {
                statements::mark_uncertain(conn, &translated.prepared);
            }
        }
        end
    }

    /// Ends the lease: returns the connection to the home, closes it, or holds it for
    /// the session.
    fn release_or_hold(
        &mut self,
        group: &GroupHandle,
        request: &ActiveRequest<'_>,
        lease: SlotLease,
        mut conn: PooledConn,
        ready: &ReadyState,
    ) {
        self.save_settings(ready);
        self.record_settings(request, ready, &mut conn);
        self.pinned |= request.plan.pin_reason.is_some() && ready.error.is_none();
        if ready.in_transaction || self.pinned {
            let owner = Owner::Member { group: group.clone(), member: lease.member().clone() };
            self.held = Some(HeldConn::new(owner, conn));
            lease.end_held(RunResult::Answered);
        } else if ready.preamble_failed || self.has_large_settings() {
            lease.end_closed(RunResult::Answered);
        } else {
            lease.end_idle(RunResult::Answered, conn);
        }
    }

    /// Whether the connection holds settings that would stay with it, at the member and here, until
    /// another session uses it.
    fn has_large_settings(&self) -> bool {
        let settings = self.profile.settings.iter();
        settings.map(|(name, value)| name.len() + value.len()).sum::<usize>() > MAX_KEPT_SETTINGS
    }

    /// Saves the settings when a transaction begins.
    pub(crate) fn save_settings(&mut self, ready: &ReadyState) {
        if ready.in_transaction && self.settings_at_begin.is_none() {
            self.settings_at_begin = Some(self.profile.settings.clone());
        }
    }

    /// Records the settings that the upstream accepted. A transaction that is rolled
    /// back reverts the settings changed in it.
    pub(crate) fn record_settings(
        &mut self,
        request: &ActiveRequest<'_>,
        ready: &ReadyState,
        conn: &mut PooledConn,
    ) {
        if ready.error.is_none() {
            for change in &request.plan.settings {
                self.profile.apply(change);
            }
            conn.settings = self.profile.settings.clone();
        }
        if ready.in_transaction {
            return;
        }
        let before = self.settings_at_begin.take();
        if let Some(before) = before.filter(|_| !request.plan.commits || ready.error.is_some()) {
            self.profile.settings = before.clone();
            conn.settings = before;
        }
    }

    /// Sends the rest of the response, after the write, if any, is acknowledged as
    /// durable.
    pub(crate) async fn finish(
        &mut self,
        request: &ActiveRequest<'_>,
        commit_position: Option<Position>,
        mut response: ResponseBuffer,
    ) -> Result<(), WireError> {
        let Some(position) = commit_position else {
            response.release(&mut self.conn);
            return Ok(());
        };
        self.profile.token.raise(&self.profile.group, position);
        match self.wait_acknowledged().await {
            Ok(()) => {
                self.report_token();
                response.release(&mut self.conn);
                Ok(())
            }
            Err(reason) => {
                let message = format!("the write at {position} could not be proven: {reason}");
                self.conn.queue(&wire::error_response(
                    sqlstate::RESOLUTION_UNKNOWN,
                    &message,
                    MAY_HAVE_RUN,
                ));
                self.end_request(request.synced)
            }
        }
    }

    /// Reports a committed write to the home. This must precede the return of the
    /// connection: otherwise a home that retires could end in between.
    pub(crate) fn report_commit(
        &mut self,
        group: &GroupHandle,
        request: &ActiveRequest<'_>,
        ready: &ReadyState,
    ) -> Option<Position> {
        let position = ready.position?;
        self.report_commit_at(group, request, position);
        Some(position)
    }

    /// Reports a write committed at `position` to the home.
    pub(crate) fn report_commit_at(
        &self,
        group: &GroupHandle,
        request: &ActiveRequest<'_>,
        position: Position,
    ) {
        let req = self.cx.next_request_id();
        let caller = self.profile.caller.clone();
        let commit = Commit { req, caller, position, ack: request.policy.ack };
        group.send(GroupEvent::Committed(commit, self.updates_tx.clone()));
    }

    /// Waits until the home acknowledges that the write is durable; the error is the
    /// reason for which that is not known.
    pub(crate) async fn wait_acknowledged(&mut self) -> Result<(), &'static str> {
        loop {
            match self.updates.next().await {
                Some(RequestUpdate::Acknowledged) => return Ok(()),
                Some(RequestUpdate::Unresolved(reason)) => return Err(reason),
                Some(_) => {}
                None => return Err("the group's home has ended"),
            }
        }
    }

    fn fail_refused(
        &mut self,
        request: &ActiveRequest<'_>,
        refusal: Refusal,
    ) -> Result<(), WireError> {
        let code = match refusal {
            Refusal::Admission(_) => sqlstate::TOO_MANY_CONNECTIONS,
            Refusal::DeadlinePassed | Refusal::HomeMoved => sqlstate::CANNOT_CONNECT_NOW,
        };
        let reason = refusal.to_string();
        let mut decision = logs::Decision::new("refuse", &reason);
        decision.request = Some(request.id);
        decision.caller = Some(&self.profile.caller);
        decision.name = Some(&self.profile.name);
        decision.group = Some(&self.profile.group);
        decision.rank = Some(request.key.rank);
        decision.log();
        self.fail_unserved(request, code, &reason)
    }

    /// Answers a request whose last attempt did not run. If an earlier attempt may have run, a
    /// submission's outcome is unknown, whatever became of the last attempt.
    pub(crate) fn fail_unserved(
        &mut self,
        request: &ActiveRequest<'_>,
        code: &str,
        message: &str,
    ) -> Result<(), WireError> {
        let writes = request.plan.kind == StatementKind::Write;
        match request.may_have_run {
            false => self.fail(code, message, NOT_RUN, request.synced),
            true if writes => {
                self.fail(sqlstate::RESOLUTION_UNKNOWN, message, MAY_HAVE_RUN, request.synced)
            }
            true => self.fail(code, message, MAY_HAVE_RUN, request.synced),
        }
    }

    /// Fails a request whose connection broke after the request was sent.
    pub(crate) fn fail_broken(
        &mut self,
        request: &ActiveRequest<'_>,
        sent_any: bool,
    ) -> Result<(), WireError> {
        if sent_any {
            // Part of the response has been sent. Only closing the session tells the
            // caller that the response is incomplete.
            return Err(WireError::Closed);
        }
        let message = "the connection to the upstream broke before it answered";
        self.fail(sqlstate::RESOLUTION_UNKNOWN, message, MAY_HAVE_RUN, request.synced)
    }

    /// Answers a request with an error.
    pub(crate) fn fail(
        &mut self,
        code: &str,
        message: &str,
        detail: &str,
        synced: bool,
    ) -> Result<(), WireError> {
        self.conn.queue(&wire::error_response(code, message, detail));
        self.end_request(synced)
    }

    /// Ends a request that the proxy answered itself: queues ReadyForQuery, or skips
    /// the caller's messages up to the next Sync.
    pub(crate) fn end_request(&mut self, synced: bool) -> Result<(), WireError> {
        if synced {
            self.ready();
        } else {
            self.skip_to_sync = true;
        }
        Ok(())
    }

    fn log(
        &self,
        request: &ActiveRequest<'_>,
        lease: &SlotLease,
        term: Term,
        required: Position,
        reason: &str,
    ) {
        self.cx.metrics.count(match request.plan.kind {
            StatementKind::Read => "dispatched.read",
            StatementKind::Write => "dispatched.write",
        });
        let mut decision = logs::Decision::new("dispatch", reason);
        decision.request = Some(request.id);
        decision.caller = Some(&self.profile.caller);
        decision.name = Some(&self.profile.name);
        decision.group = Some(&self.profile.group);
        decision.rank = Some(request.key.rank);
        decision.member = Some(lease.member());
        decision.term = Some(term);
        decision.position = Some(required);
        decision.log();
    }
}

/// Opens a connection to an upstream; `None` if that fails or takes too long.
pub(crate) async fn connect(addr: SocketAddr, parameters: &[(&str, &str)]) -> Option<PooledConn> {
    let connect = wire::connect(addr, parameters);
    match monoio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(upstream)) => Some(PooledConn::new(upstream)),
        _ => None,
    }
}
