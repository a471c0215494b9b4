use std::{collections::VecDeque, net::SocketAddr};

use base::{FastMap, Span, Time};
use succession::PrimaryHealth;

use crate::control::heartbeat::Heartbeat;

/// Sending times kept, far more than are under way.
const MAX_SENT_ROUNDS: usize = 64;
/// How long an opinion counts: a few heartbeats.
const HEALTH_MAX_AGE: Span = Span::from_millis(1_000);

/// The other daemons as their heartbeats show them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(crate) peers: FastMap<String, Peer>,
    number: u64,
    sent_rounds: VecDeque<(u64, Time)>,
}

/// Another daemon.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) addr: SocketAddr,
    pub(crate) run: u64,
    pub(crate) last_heard: Option<Time>,
    /// When it last said that it can change primaries.
    last_able: Option<Time>,
    /// Version of its rows in force.
    pub(crate) version: u64,
    last_number: u64,
    opinions: Vec<(String, String, PrimaryHealth)>,
}

impl Peers {
    /// Takes in the list of daemons.
    pub(crate) fn set_peers(&mut self, listed: impl Iterator<Item = (String, SocketAddr)>) {
        let mut peers = FastMap::default();
        for (name, addr) in listed {
            let known = self.peers.remove(&name).filter(|peer| peer.addr == addr);
            peers.insert(name, known.unwrap_or_else(|| Peer::new(addr)));
        }
        self.peers = peers;
    }

    /// Begins a round of heartbeats; its number.
    pub(crate) fn begin_round(&mut self, now: Time) -> u64 {
        self.number += 1;
        self.sent_rounds.push_back((self.number, now));
        if self.sent_rounds.len() > MAX_SENT_ROUNDS {
            self.sent_rounds.pop_front();
        }
        self.number
    }

    /// Takes in a heartbeat; when this daemon sent the one that it answers.
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
        peer.run = heartbeat.run;
        peer.last_number = heartbeat.number;
        peer.last_heard = Some(now);
        if heartbeat.acts {
            peer.last_able = Some(now);
        }
        peer.version = heartbeat.version;
        peer.opinions.clone_from(&heartbeat.opinions);
        if heartbeat.echo_run != own_run {
            return None;
        }
        self.sent_rounds.iter().find(|(number, _)| *number == heartbeat.echo).map(|(_, at)| *at)
    }

    /// When a run of a daemon was last able to change primaries: heard of, and with the
    /// store answering it.
    pub(crate) fn last_able(&self, name: &str, run: u64) -> Option<Time> {
        self.peers.get(name).filter(|peer| peer.run == run)?.last_able
    }

    /// What the others think of a group's primary.
    pub(crate) fn opinions(&self, now: Time, group: &str, primary: &str) -> Vec<PrimaryHealth> {
        let fresh = self.peers.values().filter(|peer| peer.heard_within(now, HEALTH_MAX_AGE));
        let fitting = fresh.flat_map(|peer| &peer.opinions);
        fitting
            .filter(|(of, member, _)| of == group && member == primary)
            .map(|(_, _, opinion)| *opinion)
            .collect()
    }
}

impl Peer {
    fn new(addr: SocketAddr) -> Peer {
        Peer {
            addr,
            run: 0,
            last_heard: None,
            last_able: None,
            version: 0,
            last_number: 0,
            opinions: Vec::new(),
        }
    }

    pub(crate) fn heard_within(&self, now: Time, span: Span) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) <= span)
    }

    /// What a heartbeat to it must echo.
    pub(crate) fn echo(&self) -> (u64, u64) {
        (self.last_number, self.run)
    }
}

#[cfg(test)]
mod tests;
