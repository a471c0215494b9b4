//! Heartbeats, and the questions that stand in for them.

use std::net::SocketAddr;

use adapter::{MEMBERS_TABLE, OPERATOR_TABLE};
use base::{Span, Time};
use succession::PrimaryHealth;

use super::{ASK_STORE_EVERY, Control, OPINION_FOR};
use crate::{
    clock,
    control::{beat::Beat, event::Event, exchange, ledger::TABLE, stewardship::encode},
    shared::Counter,
};

/// The store is asked itself when the other daemons' answers keep the grant for less
/// than this.
const GRANT_LOW: Span = Span::from_millis(900);
/// Time between questions of the duty's holder, which must know whether it can act.
const HOLDER_ASKS_EVERY: Span = Span::from_millis(800);
/// How long an answer of the store shows that it answers: two such questions and the
/// limit of a call.
const STORE_ANSWERS: Span = Span::from_millis(2_000);
/// How long rows may be late that another daemon has already: the store tells both
/// within some 10 ms.
const BEHIND_FOR: Span = Span::from_millis(250);

impl Control {
    pub(super) fn beat(&mut self, now: Time) {
        self.last_beat = Some(now);
        let number = self.peers.begin_round(now);
        let fresh = self.opinions.iter().filter(|(_, (_, _, at))| now.since(*at) < OPINION_FOR);
        let opinions: Vec<_> = fresh
            .map(|(group, (primary, opinion, _))| {
                (group.clone(), primary.as_str().to_owned(), *opinion)
            })
            .collect();
        if !self.carries {
            let question = encode(&self.new_beat(number, (0, 0), &[]));
            for addr in self.carriers.heartbeat_addrs() {
                // Datagrams are lost now and then anyway.
                let _ = self.socket.try_send_to(&question, addr);
            }
            return;
        }
        for peer in self.peers.peers.values() {
            let beat = self.new_beat(number, peer.echo(), &opinions);
            // Datagrams are lost now and then anyway.
            let _ = self.socket.try_send_to(&encode(&beat), peer.addr);
        }
    }

    pub(super) fn new_beat(
        &self,
        number: u64,
        (echo, echo_run): (u64, u64),
        opinions: &[(String, String, PrimaryHealth)],
    ) -> Beat {
        Beat {
            from: self.settings.vm.clone(),
            run: self.run,
            carries: self.carries,
            acts: self.store_at.is_some_and(|at| clock::now().since(at) < STORE_ANSWERS),
            number,
            echo,
            echo_run,
            version: self.applied,
            newest: [OPERATOR_TABLE, MEMBERS_TABLE, TABLE].map(|table| self.tables.newest(table)),
            opinions: opinions.to_vec(),
        }
    }

    pub(super) fn heard(&mut self, beat: &Beat, from: SocketAddr) {
        let now = clock::now();
        self.carriers.record_answer(now, &beat.from);
        if !beat.carries && self.carries {
            let answer = self.new_beat(0, (beat.number, beat.run), &[]);
            // Datagrams are lost now and then anyway.
            let _ = self.socket.try_send_to(&encode(&answer), from);
        }
        let asked_at = self.peers.take_in(now, self.run, beat);
        if let Some(asked_at) = asked_at {
            self.grants.peer_answered(&beat.from, asked_at, beat.version);
        }
        self.catch_up(now, beat);
    }

    /// Asks a carrier for rows that the store should have told of long ago.
    pub(super) fn catch_up(&mut self, now: Time, beat: &Beat) {
        let own = [OPERATOR_TABLE, MEMBERS_TABLE, TABLE].map(|table| self.tables.newest(table));
        let behind = beat.newest.iter().zip(own).any(|(theirs, own)| *theirs > own);
        if !behind || !self.carries {
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let late = now.since(since) >= BEHIND_FOR;
        let lately = self.last_copied.is_some_and(|at| now.since(at) < ASK_STORE_EVERY);
        let Some(peer) = self.peers.peers.get(&beat.from).filter(|_| late && !lately) else {
            return;
        };
        self.behind_since = None;
        self.last_copied = Some(now);
        logs::event(
            "rows of another daemon wanted",
            &serde_json::json!({"from": beat.from, "theirs": beat.newest, "own": own}),
        );
        let (addr, events) = (peer.addr, self.events.clone());
        tokio::spawn(async move {
            if let Some(copies) = exchange::rows(addr).await {
                // Fails only while the process ends.
                let _ = events.unbounded_send(Event::RowsOfPeer(copies));
            }
        });
    }

    /// Asks the store itself while the other daemons' answers do not suffice, and, as
    /// the duty's holder, to know whether it answers.
    pub(super) fn ask_store(&mut self, now: Time) {
        let suffice = self.grants.peers_suffice(now, GRANT_LOW);
        let every = if suffice { HOLDER_ASKS_EVERY } else { ASK_STORE_EVERY };
        let lately = self.last_asked.is_some_and(|at| now.since(at) < every);
        let wanted = !suffice || self.steward.holds();
        if lately || !wanted || !self.carries || !self.ledger.known {
            return;
        }
        self.last_asked = Some(now);
        self.shared.count(Counter::StoreCalls);
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let asked_at = clock::now();
            let event = match store.rows(TABLE).await {
                Ok(rows) => Event::Rows { table: TABLE, rows, whole: true, asked_at },
                Err(error) => Event::StoreFailed { table: TABLE, error },
            };
            // Fails only while the process ends.
            let _ = events.unbounded_send(event);
        });
    }
}
