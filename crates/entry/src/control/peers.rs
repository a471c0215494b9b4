use std::{collections::VecDeque, net::SocketAddr};

use base::{FastMap, Span, Time};
use succession::PrimaryHealth;

use crate::control::heartbeat::Heartbeat;

/// Number of heartbeat rounds whose send time is kept: far more than can be unanswered.
const MAX_SENT_ROUNDS: usize = 64;
/// Age up to which another daemon's view of a primary's health counts: a few heartbeats.
const HEALTH_MAX_AGE: Span = Span::from_millis(1_000);

/// Minimum interval between two additional heartbeats to a carrier.
const MIN_URGENT_INTERVAL: Span = Span::from_millis(50);

/// Silence after which a carrier counts as lost for the use of its part of the organisations' limits: two
/// intervals of heartbeats, in which a lost one is repeated several times.
pub(crate) const LOST_AFTER: Span = Span::from_millis(600);

/// State of the other carriers, learned from their heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Carriers by the name of their VM.
    pub(crate) peers: FastMap<String, Peer>,
    /// Number of the last round of heartbeats.
    number: u64,
    /// Send times of the latest rounds, oldest first.
    sent_rounds: VecDeque<(u64, Time)>,
}

/// Another carrier.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) addr: SocketAddr,
    pub(crate) run: u64,
    pub(crate) last_heard: Option<Time>,
    /// When this daemon first read that it is a carrier.
    listed_at: Time,
    /// When it last reported that the store answers it; without that, it cannot replace
    /// primaries.
    store_reachable_at: Option<Time>,
    /// Version up to which it applies the rows of the state table.
    pub(crate) version: u64,
    last_number: u64,
    opinions: Vec<(String, String, PrimaryHealth)>,
    loads: Vec<(String, u32)>,
    last_urgent: Option<Time>,
    /// Since when it has been heard without a silence of [`LOST_AFTER`].
    pub(crate) heard_since: Time,
    /// Whether it goes by the records of parts of the organisations' limits.
    pub(crate) knows_parts: bool,
}

impl Peers {
    /// Replaces the list of carriers; one that keeps its name and address keeps its state.
    pub(crate) fn set_peers(
        &mut self,
        now: Time,
        listed: impl Iterator<Item = (String, SocketAddr)>,
    ) {
        let mut peers = FastMap::default();
        for (name, addr) in listed {
            let known = self.peers.remove(&name).filter(|peer| peer.addr == addr);
            peers.insert(name, known.unwrap_or_else(|| Peer::new(now, addr)));
        }
        self.peers = peers;
    }

    /// Starts a round of heartbeats and returns its number.
    pub(crate) fn begin_round(&mut self, now: Time) -> u64 {
        self.number += 1;
        self.sent_rounds.push_back((self.number, now));
        if self.sent_rounds.len() > MAX_SENT_ROUNDS {
            self.sent_rounds.pop_front();
        }
        self.number
    }

    /// Number of the last round of heartbeats.
    pub(crate) fn round(&self) -> u64 {
        self.number
    }

    /// When this daemon sent the heartbeat that another one echoes; `None` if it was another process
    /// or too long ago.
    pub(crate) fn asked_at(&self, own_run: u64, heartbeat: &Heartbeat) -> Option<Time> {
        let mut rounds = self.sent_rounds.iter().filter(|_| heartbeat.echo_run == own_run);
        rounds.find(|(number, _)| *number == heartbeat.echo).map(|(_, at)| *at)
    }

    /// Records a heartbeat and returns when this daemon sent the one that it echoes.
    /// Heartbeats that arrive out of order are ignored.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        own_run: u64,
        heartbeat: &Heartbeat,
    ) -> Option<Time> {
        let peer = self.peers.get_mut(&heartbeat.from)?;
        let newer = heartbeat.run != peer.run || heartbeat.number > peer.last_number;
        if !newer {
            return None;
        }
        if heartbeat.run != peer.run || now.since(peer.silent_since()) >= LOST_AFTER {
            peer.heard_since = now;
        }
        peer.run = heartbeat.run;
        peer.knows_parts = heartbeat.knows_parts;
        peer.last_number = heartbeat.number;
        peer.last_heard = Some(now);
        if heartbeat.acts {
            peer.store_reachable_at = Some(now);
        }
        peer.version = heartbeat.version;
        peer.opinions.clone_from(&heartbeat.opinions);
        peer.loads.clone_from(&heartbeat.loads);
        self.asked_at(own_run, heartbeat)
    }

    /// When a heartbeat of a daemon last said that the store answers it, without which it
    /// cannot replace primaries. `None` if none has said so, or if the last heartbeat came from
    /// another process than `run`.
    pub(crate) fn store_reachable_at(&self, name: &str, run: u64) -> Option<Time> {
        self.peers.get(name).filter(|peer| peer.run == run)?.store_reachable_at
    }

    /// Load of the other carriers on a group: their requests that wait or run.
    pub(crate) fn load(&self, now: Time, group: &str) -> u32 {
        let fresh = self.peers.values().filter(|peer| peer.heard_within(now, HEALTH_MAX_AGE));
        let loads = fresh.flat_map(|peer| &peer.loads);
        loads.filter(|(name, _)| name == group).map(|(_, load)| *load).sum()
    }

    /// Health of a group's primary as the other carriers observe it.
    pub(crate) fn opinions(&self, now: Time, group: &str, primary: &str) -> Vec<PrimaryHealth> {
        let fresh = self.peers.values().filter(|peer| peer.heard_within(now, HEALTH_MAX_AGE));
        let matching = fresh.flat_map(|peer| &peer.opinions);
        matching
            .filter(|(name, member, _)| name == group && member == primary)
            .map(|(_, _, opinion)| *opinion)
            .collect()
    }
}

impl Peer {
    fn new(listed_at: Time, addr: SocketAddr) -> Peer {
        Peer {
            addr,
            run: 0,
            last_heard: None,
            listed_at,
            store_reachable_at: None,
            version: 0,
            last_number: 0,
            opinions: Vec::new(),
            loads: Vec::new(),
            last_urgent: None,
            heard_since: listed_at,
            knows_parts: false,
        }
    }

    pub(crate) fn heard_within(&self, now: Time, span: Span) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) <= span)
    }

    /// Whether an additional heartbeat may be sent to it now, which is then counted.
    pub(crate) fn may_be_sent_urgently(&mut self, now: Time) -> bool {
        let recently = self.last_urgent.is_some_and(|at| now.since(at) < MIN_URGENT_INTERVAL);
        if !recently {
            self.last_urgent = Some(now);
        }
        !recently
    }

    /// Whether it reported within `span` that the store answers it.
    pub(crate) fn reaches_store(&self, now: Time, span: Span) -> bool {
        self.store_reachable_at.is_some_and(|at| now.since(at) <= span)
    }

    /// Since when it has been silent: its last heartbeat, or when it was listed if it has sent none.
    pub(crate) fn silent_since(&self) -> Time {
        self.last_heard.unwrap_or(self.listed_at)
    }

    /// Values of `echo` and `echo_run` for a heartbeat to this carrier.
    pub(crate) fn echo(&self) -> (u64, u64) {
        (self.last_number, self.run)
    }
}

#[cfg(test)]
mod tests;
