use std::{net::SocketAddr, rc::Rc};

use wire::WireError;

use crate::{
    group::{HeldConn, Owner, PooledConn},
    session::{
        forward::PEER_PARAMETER,
        relay::{End, Ready},
        run::Session,
        serve, statements,
        tail::Tail,
        turn::{Tried, Turn},
    },
};

impl Session {
    /// Lets another daemon, the group's home, run a request.
    pub(crate) async fn try_there(
        &mut self,
        addr: SocketAddr,
        turn: &Turn<'_>,
    ) -> Result<Tried, WireError> {
        let free = self.cx.links.borrow_mut().take(addr);
        let mut conn = match free {
            Some(conn) => conn,
            None => match self.connect_link(addr).await {
                Some(conn) => conn,
                None => return Ok(Tried::Elsewhere("the group's home cannot be reached")),
            },
        };
        self.cx.metrics.count("forwarded");
        let wait = turn.deadline.since(self.cx.clock.now());
        let forward =
            self.profile.forward(turn.key.rank, wait.as_millis(), turn.idempotency_key.clone());
        conn.upstream.conn.queue_bytes(&statements::simple_query(&forward.statement()));
        let translated = self.translate(turn, &mut conn)?;
        let mut tail = Tail::default();
        let end = self.exchange(turn, &mut conn, 1, translated, &mut tail, false).await?;
        match end {
            End::CallerGone => Ok(Tried::CallerGone),
            End::Broken => {
                if !turn.must_not_repeat() && !tail.sent_any() {
                    return Ok(Tried::Again("the connection to the group's home broke"));
                }
                self.broken(turn, tail.sent_any())?;
                Ok(Tried::Answered)
            }
            End::Ready(ready) if ready.refused => {
                self.cx.links.borrow_mut().put_back(addr, conn);
                Ok(Tried::Elsewhere("the group's home has moved"))
            }
            End::Ready(ready) => {
                self.note_begin(&ready);
                self.note_settings(turn, &ready, &mut conn);
                self.pinned |= turn.plan.pin.is_some() && ready.error.is_none();
                let owner = Owner::Daemon { links: Rc::clone(&self.cx.links), addr };
                let held = HeldConn::new(owner, conn);
                if ready.in_transaction || self.pinned {
                    self.held = Some(held);
                } else {
                    held.release();
                }
                self.conclude_there(&ready, tail);
                Ok(Tried::Answered)
            }
        }
    }

    pub(crate) async fn connect_link(&self, addr: SocketAddr) -> Option<PooledConn> {
        let parameters = [
            ("user", self.profile.user.as_str()),
            ("database", self.profile.name.as_str()),
            (PEER_PARAMETER, self.cx.peer_secret.as_ref()),
        ];
        serve::connect(addr, &parameters).await
    }

    /// Lets the end of an answer go that the home has proven already.
    pub(crate) fn conclude_there(&mut self, ready: &Ready, mut tail: Tail) {
        if let Some(token) = &ready.token {
            self.profile.token.merge(token);
            self.report_token();
        }
        tail.release(&mut self.conn);
    }
}
