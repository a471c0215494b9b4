use std::{net::SocketAddr, pin::pin, time::Duration};

use base::{Position, Span, StatementKind, Term};
use futures_util::{StreamExt, future, future::Either};
use home::{Commit, Refusal, RunResult, Submission};
use membership::Place;
use sql::PinReason;
use table::{Policy, RowKey};
use wire::{Frame, WireError, sqlstate, tags};

use crate::{
    group::{Granted, GroupEvent, GroupHandle, Held, Lease, Owner, Pooled, Update},
    session::{
        cancels::Target,
        listener::Origin,
        local,
        plan::Plan,
        relay::{End, Ready, Relay},
        run::Session,
        statements::{self, Translated},
        tail::Tail,
        turn::{Asked, Location, Tried, Turn},
    },
};

const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(2);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);
const NOT_RUN: &str = "Not run.";
const MAY_HAVE_RUN: &str = "The request may or may not have run.";

impl Session {
    /// Runs a request and answers it.
    pub(crate) async fn serve_request(
        &mut self,
        frames: &[Frame],
        plan: &Plan,
        synced: bool,
    ) -> Result<(), WireError> {
        if self.orphaned {
            if local::orphaned(&mut self.conn, frames, plan.ends_transaction)? {
                self.orphaned = false;
            }
            return self.end_failed(synced);
        }
        if plan.pin == Some(PinReason::Notifications) {
            let message = "LISTEN and UNLISTEN cannot be offered on pooled connections";
            return self.fail(sqlstate::FEATURE_NOT_SUPPORTED, message, NOT_RUN, synced);
        }
        let Some((key, policy)) = self.policy(plan) else {
            let message = format!("no database group answers to {:?} any more", self.profile.name);
            return self.fail(sqlstate::INVALID_CATALOG_NAME, &message, NOT_RUN, synced);
        };
        let wait_ms = self.profile.wait_ms.unwrap_or(self.cx.timing.wait_ms);
        let deadline = self.cx.clock.now() + Span::from_millis(wait_ms);
        let req = self.cx.request_id();
        let idempotency_key = self.idempotency_key(plan);
        let turn = Turn { req, frames, plan, synced, key, policy, deadline, idempotency_key };
        if turn.idempotency_key.is_some() && self.held.is_some() {
            let message = "an idempotency key cannot be used within a transaction";
            return self.fail(sqlstate::FEATURE_NOT_SUPPORTED, message, NOT_RUN, synced);
        }
        match self.held.as_ref().map(|held| held.owner().clone()) {
            Some(owner) => self.serve_held(&owner, &turn).await,
            None => self.serve_fresh(turn).await,
        }
    }

    /// Key of a submission: from a comment, or from the setting, which holds for
    /// one submission.
    fn idempotency_key(&mut self, plan: &Plan) -> Option<String> {
        if plan.kind != StatementKind::Write || !plan.executes {
            return None;
        }
        plan.idempotency_key.clone().or_else(|| self.profile.idempotency_key.take())
    }

    /// Name, rank and policy of a request; `None` if the name is gone.
    fn policy(&self, plan: &Plan) -> Option<(RowKey, Policy)> {
        let directory = self.cx.directory.borrow();
        let table = directory.table()?;
        if table.group(&self.profile.name) != Some(&self.profile.group) {
            return None;
        }
        let rank = self.profile.rank_of(plan.rank, plan.kind);
        let policy = table.policy(&self.profile.name, rank);
        Some((RowKey { name: self.profile.name.clone(), rank }, policy))
    }

    async fn serve_fresh(&mut self, mut turn: Turn<'_>) -> Result<(), WireError> {
        let mut pause = FIRST_RETRY_PAUSE;
        self.retries.record_request();
        self.cx.retries.borrow_mut().record_request();
        loop {
            let tried = match self.locate() {
                Location::Here(group) => self.try_here(&group, &turn).await?,
                Location::There(addr) if self.origin == Origin::Caller => {
                    self.try_there(addr, &turn).await?
                }
                Location::There(_) => return self.not_home(&turn),
                Location::Nowhere => Tried::Elsewhere("no home of the group is known"),
            };
            let reason = match tried {
                Tried::Answered => return Ok(()),
                Tried::CallerGone => return Err(WireError::Closed),
                Tried::Elsewhere(reason) => reason,
                Tried::Again(reason) if self.may_retry() => reason,
                Tried::Again(reason) => {
                    self.cx.metrics.count("retries_refused");
                    return self.fail(sqlstate::CANNOT_CONNECT_NOW, reason, NOT_RUN, turn.synced);
                }
            };
            if self.cx.clock.now() >= turn.deadline {
                return self.fail(sqlstate::CANNOT_CONNECT_NOW, reason, NOT_RUN, turn.synced);
            }
            if !self.pause(self.cx.jitter(pause)).await {
                return Err(WireError::Closed);
            }
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
            turn.req = self.cx.request_id();
        }
    }

    /// Takes a retry out of the caller's budget and the daemon's.
    fn may_retry(&mut self) -> bool {
        self.retries.take() && self.cx.retries.borrow_mut().take()
    }

    /// Where the caller's group is at home now.
    fn locate(&self) -> Location {
        let directory = self.cx.directory.borrow();
        let Some(entry) = directory.group(&self.profile.group) else { return Location::Nowhere };
        match (&entry.place, &entry.handle) {
            (Some(Place::Here), Some(handle)) => Location::Here(handle.clone()),
            (Some(Place::There { forward, .. }), _) => Location::There(*forward),
            _ => Location::Nowhere,
        }
    }

    /// Waits before another try; whether the caller is still there.
    async fn pause(&mut self, pause: Duration) -> bool {
        let limit = self.cx.limits.message_bytes;
        let listens = self.conn.buffered() < limit;
        let caller = pin!(async {
            loop {
                if !listens {
                    future::pending::<()>().await;
                }
                if self.conn.fill().await.is_err() || self.conn.buffered() >= limit {
                    return;
                }
            }
        });
        monoio::time::timeout(pause, caller).await.is_err()
    }

    fn not_home(&mut self, turn: &Turn<'_>) -> Result<(), WireError> {
        let message = "this daemon is not the group's home";
        self.fail(sqlstate::NOT_HOME, message, NOT_RUN, turn.synced)
    }

    async fn try_here(&mut self, group: &GroupHandle, turn: &Turn<'_>) -> Result<Tried, WireError> {
        match self.ask(group, turn).await {
            Asked::Granted(granted) => self.try_once(group, turn, granted).await,
            Asked::Refused(Refusal::HomeMoved) if self.origin == Origin::Caller => {
                Ok(Tried::Elsewhere("the group's home has moved"))
            }
            Asked::Refused(Refusal::HomeMoved) => {
                self.not_home(turn)?;
                Ok(Tried::Answered)
            }
            Asked::Refused(refusal) => {
                self.refuse(turn, refusal)?;
                Ok(Tried::Answered)
            }
            Asked::Cancelled => {
                let message = "canceling statement due to user request";
                self.fail(sqlstate::QUERY_CANCELED, message, NOT_RUN, turn.synced)?;
                Ok(Tried::Answered)
            }
            Asked::CallerGone => Ok(Tried::CallerGone),
        }
    }

    /// Asks the group's home for a member and waits for its word.
    async fn ask(&mut self, group: &GroupHandle, turn: &Turn<'_>) -> Asked {
        self.forget_updates();
        let session = self.profile.position();
        let submission = Submission {
            req: turn.req,
            caller: self.profile.caller.clone(),
            key: turn.key.clone(),
            policy: turn.policy,
            kind: turn.plan.kind,
            token: self.profile.has_token.then_some(session),
            session,
            deadline: turn.deadline,
        };
        if !group.send(GroupEvent::Submit(submission, self.updates_tx.clone())) {
            return Asked::Refused(Refusal::HomeMoved);
        }
        loop {
            match self.next_update().await {
                None => {
                    group.send(GroupEvent::Withdrawn(turn.req));
                    return Asked::CallerGone;
                }
                Some(Update::Granted(granted)) => return Asked::Granted(granted),
                Some(Update::Refused(refusal)) => return Asked::Refused(refusal),
                Some(Update::Cancelled) => {
                    group.send(GroupEvent::Withdrawn(turn.req));
                    return Asked::Cancelled;
                }
                Some(_) => {}
            }
        }
    }

    /// Drops what was meant for an earlier request.
    pub(crate) fn forget_updates(&mut self) {
        while self.updates.try_recv().is_ok() {}
    }

    /// The next word from the home; `None` once the caller is gone.
    pub(crate) async fn next_update(&mut self) -> Option<Update> {
        let limit = self.cx.limits.message_bytes;
        loop {
            let listens = self.conn.buffered() < limit;
            let caller = pin!(async {
                if !listens {
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

    async fn try_once(
        &mut self,
        group: &GroupHandle,
        turn: &Turn<'_>,
        granted: Box<Granted>,
    ) -> Result<Tried, WireError> {
        let Granted { lease, addr, term, conn, required, reason } = *granted;
        self.log(turn, &lease, term, required, reason);
        let usable = conn.and_then(|mut conn| conn.is_clean().then_some(conn));
        let mut conn = match usable {
            Some(conn) => conn,
            None => match connect(addr, &[("user", "corianderwharf")]).await {
                Some(conn) => conn,
                None => {
                    lease.end_closed(RunResult::Broken);
                    return Ok(Tried::Again("no connection to the member could be opened"));
                }
            },
        };
        if let Some(key) = &turn.idempotency_key {
            return self.try_keyed(group, turn, key, (lease, conn, term)).await;
        }
        let preamble = self.preamble(&mut conn, term);
        let translated = self.translate(turn, &mut conn)?;
        let mut tail = Tail::default();
        let holds = turn.must_not_repeat();
        let end = self.exchange(turn, &mut conn, preamble, translated, &mut tail, holds).await?;
        match end {
            End::CallerGone => {
                self.abandon(&conn);
                lease.end_closed(RunResult::Answered);
                Ok(Tried::CallerGone)
            }
            End::Broken => {
                lease.end_closed(RunResult::Broken);
                if !turn.must_not_repeat() && !tail.sent_any() {
                    return Ok(Tried::Again("the connection to the member broke"));
                }
                self.broken(turn, tail.sent_any())?;
                Ok(Tried::Answered)
            }
            End::Ready(ready) if ready.refused => {
                lease.end_idle(RunResult::StaleTerm, conn);
                Ok(Tried::Again("the member refused the term"))
            }
            End::Ready(ready) => {
                let announced = self.announce(group, turn, &ready);
                self.settle(group, turn, lease, conn, &ready);
                self.conclude(turn, announced, tail).await?;
                Ok(Tried::Answered)
            }
        }
    }

    /// Queues what brings the connection into the caller's state; the number of
    /// answers to it.
    fn preamble(&self, conn: &mut Pooled, term: Term) -> u32 {
        let Some(text) = self.preamble_text(conn, term) else { return 0 };
        conn.upstream.conn.queue_bytes(&statements::simple_query(&text));
        1
    }

    /// What brings the connection into the caller's state, if anything is needed.
    pub(crate) fn preamble_text(&self, conn: &mut Pooled, term: Term) -> Option<String> {
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

    /// Asks the member to give up a request that nobody waits for any more.
    fn abandon(&self, conn: &Pooled) {
        let (addr, greeting) = (conn.addr(), &conn.upstream.startup_response);
        let (pid, secret) = (greeting.pid, greeting.secret);
        self.cx.tasks.spawn(async move {
            let _ = wire::cancel(addr, pid, secret).await;
        });
    }

    pub(crate) fn translate(
        &mut self,
        turn: &Turn<'_>,
        conn: &mut Pooled,
    ) -> Result<Translated, WireError> {
        if let [frame] = turn.frames {
            if frame.tag == tags::QUERY {
                let mut translated = Translated::default();
                translated.bytes.extend_from_slice(&frame.bytes);
                return Ok(translated);
            }
        }
        self.statements.translate(turn.frames, conn)
    }

    /// Sends the request and passes the answer on.
    pub(crate) async fn exchange(
        &mut self,
        turn: &Turn<'_>,
        conn: &mut Pooled,
        preamble: u32,
        translated: Translated,
        tail: &mut Tail,
        holds: bool,
    ) -> Result<End, WireError> {
        *self.target.borrow_mut() = Some(Target {
            addr: conn.upstream.addr,
            pid: conn.upstream.startup_response.pid,
            secret: conn.upstream.startup_response.secret,
        });
        conn.upstream.conn.queue_bytes(&translated.bytes);
        let sent = conn.upstream.conn.flush().await;
        let mut relay = Relay {
            caller: &mut self.conn,
            statements: &mut self.statements,
            updates: &mut self.updates,
            holds,
            synced: turn.synced,
            preamble,
            swallow: translated.swallow,
            limit: self.cx.limits.message_bytes,
            tail: std::mem::take(tail),
        };
        let end = match sent {
            Ok(()) => relay.run(conn).await,
            Err(_) => Ok(End::Broken),
        };
        *tail = relay.tail;
        *self.target.borrow_mut() = None;
        if let Ok(End::Ready(ready)) = &end {
            if ready.error.is_some() || ready.refused {
                statements::doubt(conn, &translated.prepared);
            }
        }
        end
    }

    /// Gives slot and connection back, or keeps the connection.
    fn settle(
        &mut self,
        group: &GroupHandle,
        turn: &Turn<'_>,
        lease: Lease,
        mut conn: Pooled,
        ready: &Ready,
    ) {
        self.note_begin(ready);
        self.note_settings(turn, ready, &mut conn);
        self.pinned |= turn.plan.pin.is_some() && ready.error.is_none();
        if ready.in_transaction || self.pinned {
            let owner = Owner::Member { group: group.clone(), member: lease.member().clone() };
            self.held = Some(Held::new(owner, conn));
            lease.end_held(RunResult::Answered);
        } else if ready.preamble_failed {
            lease.end_closed(RunResult::Answered);
        } else {
            lease.end_idle(RunResult::Answered, conn);
        }
    }

    /// Notes the settings as they are when a transaction begins.
    pub(crate) fn note_begin(&mut self, ready: &Ready) {
        if ready.in_transaction && self.settings_before.is_none() {
            self.settings_before = Some(self.profile.settings.clone());
        }
    }

    /// Keeps the settings that the upstream accepted; a transaction that is
    /// rolled back takes its settings with it.
    pub(crate) fn note_settings(&mut self, turn: &Turn<'_>, ready: &Ready, conn: &mut Pooled) {
        if ready.error.is_none() {
            for change in &turn.plan.settings {
                self.profile.apply(change);
            }
            conn.settings = self.profile.settings.clone();
        }
        if ready.in_transaction {
            return;
        }
        let before = self.settings_before.take();
        if let Some(before) = before.filter(|_| !turn.plan.commits || ready.error.is_some()) {
            self.profile.settings = before.clone();
            conn.settings = before;
        }
    }

    /// Lets the end of the answer go, after its write is proven to last.
    pub(crate) async fn conclude(
        &mut self,
        turn: &Turn<'_>,
        announced: Option<Position>,
        mut tail: Tail,
    ) -> Result<(), WireError> {
        let Some(position) = announced else {
            tail.release(&mut self.conn);
            return Ok(());
        };
        self.profile.token.raise(&self.profile.group, position);
        match self.proven().await {
            Ok(()) => {
                self.report_token();
                tail.release(&mut self.conn);
                Ok(())
            }
            Err(reason) => {
                let message = format!("the write at {position} could not be proven: {reason}");
                self.conn.queue(&wire::error_response(
                    sqlstate::RESOLUTION_UNKNOWN,
                    &message,
                    MAY_HAVE_RUN,
                ));
                self.end_failed(turn.synced)
            }
        }
    }

    /// Tells the home of a write, before its connection is given back: a home
    /// that retires must not end in between.
    pub(crate) fn announce(
        &mut self,
        group: &GroupHandle,
        turn: &Turn<'_>,
        ready: &Ready,
    ) -> Option<Position> {
        let position = ready.position?;
        self.announce_at(group, turn, position);
        Some(position)
    }

    /// Tells the home of a write at `position`.
    pub(crate) fn announce_at(&self, group: &GroupHandle, turn: &Turn<'_>, position: Position) {
        let req = self.cx.request_id();
        let caller = self.profile.caller.clone();
        let commit = Commit { req, caller, position, ack: turn.policy.ack };
        group.send(GroupEvent::Committed(commit, self.updates_tx.clone()));
    }

    /// Waits until the home has proven that a write lasts.
    pub(crate) async fn proven(&mut self) -> Result<(), &'static str> {
        loop {
            match self.updates.next().await {
                Some(Update::Acknowledged) => return Ok(()),
                Some(Update::Unresolved(reason)) => return Err(reason),
                Some(_) => {}
                None => return Err("the group's home has ended"),
            }
        }
    }

    fn refuse(&mut self, turn: &Turn<'_>, refusal: Refusal) -> Result<(), WireError> {
        let code = match refusal {
            Refusal::Admission(_) => sqlstate::TOO_MANY_CONNECTIONS,
            Refusal::DeadlinePassed | Refusal::HomeMoved => sqlstate::CANNOT_CONNECT_NOW,
        };
        let reason = refusal.to_string();
        let mut decision = logs::Decision::new("refuse", &reason);
        decision.request = Some(turn.req);
        decision.caller = Some(&self.profile.caller);
        decision.name = Some(&self.profile.name);
        decision.group = Some(&self.profile.group);
        decision.rank = Some(turn.key.rank);
        decision.log();
        self.fail(code, &reason, NOT_RUN, turn.synced)
    }

    /// Answers a request whose connection broke after it was sent.
    pub(crate) fn broken(&mut self, turn: &Turn<'_>, sent_any: bool) -> Result<(), WireError> {
        if sent_any {
            // Part of an answer has left: only the end of the session is honest.
            return Err(WireError::Closed);
        }
        let message = "the connection to the upstream broke before it answered";
        self.fail(sqlstate::RESOLUTION_UNKNOWN, message, MAY_HAVE_RUN, turn.synced)
    }

    pub(crate) fn fail(
        &mut self,
        code: &str,
        message: &str,
        detail: &str,
        synced: bool,
    ) -> Result<(), WireError> {
        self.conn.queue(&wire::error_response(code, message, detail));
        self.end_failed(synced)
    }

    /// Ends a request that was answered with an error.
    pub(crate) fn end_failed(&mut self, synced: bool) -> Result<(), WireError> {
        if synced {
            self.ready();
        } else {
            self.skip_to_sync = true;
        }
        Ok(())
    }

    fn log(&self, turn: &Turn<'_>, lease: &Lease, term: Term, required: Position, reason: &str) {
        self.cx.metrics.count(match turn.plan.kind {
            StatementKind::Read => "dispatched.read",
            StatementKind::Write => "dispatched.write",
        });
        let mut decision = logs::Decision::new("dispatch", reason);
        decision.request = Some(turn.req);
        decision.caller = Some(&self.profile.caller);
        decision.name = Some(&self.profile.name);
        decision.group = Some(&self.profile.group);
        decision.rank = Some(turn.key.rank);
        decision.member = Some(lease.member());
        decision.term = Some(term);
        decision.position = Some(required);
        decision.log();
    }
}

pub(crate) async fn connect(addr: SocketAddr, parameters: &[(&str, &str)]) -> Option<Pooled> {
    let connect = wire::connect(addr, parameters);
    match monoio::time::timeout(CONNECT_LIMIT, connect).await {
        Ok(Ok(upstream)) => Some(Pooled::new(upstream)),
        _ => None,
    }
}
