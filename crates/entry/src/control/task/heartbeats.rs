//! Heartbeats, and the reads that make up for missing ones: rows from another daemon and
//! polls of the store.

use std::{net::SocketAddr, time::Duration};

use adapter::{CallError, MEMBERS_TABLE, OPERATOR_TABLE};
use base::{Span, Time};
use quota::QuotaMessage;
use rand::Rng;
use shedding::LoadReport;
use succession::{Copied, PrimaryHealth};

use super::{Control, HEALTH_MAX_AGE, STORE_POLL_INTERVAL};
use crate::{
    clock,
    control::{
        coordination::STATE_TABLE, coordinator::encode, event::Event, heartbeat::Heartbeat,
        row_sync,
    },
    messages::{Order, REVOCATION_MARGIN},
    shared::Counter,
    start_up::StartStep,
};

/// The store is polled when the other carriers' answers keep the grant valid for less than
/// this.
const GRANT_LOW_MARGIN: Span = Span::from_millis(900);
/// Interval at which the holder of the failover lease polls the store, to know whether it
/// can act.
const HOLDER_POLL_INTERVAL: Span = Span::from_millis(800);
/// Age up to which an answer of the store shows that it is reachable: two intervals of the
/// lease holder's polls and the timeout of a call.
const STORE_ANSWER_MAX_AGE: Span = Span::from_millis(2_000);
/// Time after the start before which, and range over which, daemons that are no carriers fetch
/// the configuration from a carrier: carriers that start as well have better things to do.
const CONFIG_FETCH_DELAY: Span = Span::from_millis(4_000);
const CONFIG_FETCH_SPREAD: Span = Span::from_millis(6_000);
/// How long rows that another daemon has may be missing here before they are requested from
/// it. The store notifies both daemons within about 10 ms of each other.
const ROW_SYNC_DELAY: Span = Span::from_millis(250);

/// How long a configuration that another daemon has may be missing here before it is requested.
/// Together with a tick and the request, well below the quarter of a second after which a daemon
/// must not run requests by an older configuration any more.
const CONFIG_SYNC_DELAY: Span = Span::from_millis(50);
/// Minimum interval between requests for the configuration.
const CONFIG_SYNC_INTERVAL: Span = Span::from_millis(100);
/// Range of the corresponding delay of a daemon that is no carrier. It needs the configuration only
/// to place sessions; it is random, so that a fleet does not ask one carrier all at once.
const PLACEMENT_CONFIG_SPREAD: Span = Span::from_millis(500);
/// Minimum interval between its requests: the time limit of a request.
const PLACEMENT_CONFIG_INTERVAL: Span = Span::from_millis(1_000);

/// Minimum interval between two calls that ask the store to confirm the configuration while
/// sessions wait for it. The calls that are unanswered at a time are limited by it and by their
/// time limit.
pub(super) const CONFIRMATION_INTERVAL: Span = Span::from_millis(200);

/// Time without a heartbeat after which a daemon that is no carrier is not told of configurations.
const RELAY_MAX_SILENCE: Span = Span::from_millis(1_000);
/// Daemons that are told at most; the others learn of a configuration by the next heartbeat.
const MAX_RELAYS: usize = 4_096;

/// Minimum interval between a round of heartbeats and one that tells of new demand for an
/// organisation: urgent operations wait about this long for their token. More often, such rounds
/// would be most of what heartbeats send between availability zones.
const DEMAND_INTERVAL: Span = Span::from_millis(50);

/// Percentage of the time for which a revoked API key may be used after which a carrier asks the
/// store to confirm the configuration; a refused or slow call can then be repeated several times.
const KEY_EVIDENCE_PERCENT: u64 = 40;
/// Percentage after which every carrier asks, whoever's turn it is.
const KEY_EVIDENCE_MAX_PERCENT: u64 = 70;
/// Time between the turns of two carriers to ask: longer than a heartbeat takes to tell the answer.
const KEY_EVIDENCE_STAGGER: Span = Span::from_millis(300);

/// Rows that another daemon has and this one lacks.
#[derive(Clone, Copy, Debug)]
enum MissingRows {
    OfAnyTable,
    OfTable(&'static str),
}

/// A configuration that another daemon has and this one lacks.
#[derive(Clone, Debug)]
pub(super) struct NewerConfig {
    version: u64,
    /// VM of the daemon that has it or knows of it, and where to request it.
    vm: String,
    addr: SocketAddr,
    /// When this daemon first heard of a newer configuration than its own.
    since: Time,
    /// How long after that it is requested.
    delay: Span,
    last_request: Option<Time>,
}

impl Control {
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        self.last_heartbeat = Some(now);
        self.relays.retain(|_, heard_at| now.since(*heard_at) < RELAY_MAX_SILENCE);
        let number = self.peers.begin_round(now);
        let opinions = self.fresh_opinions(now);
        if !self.carries {
            let request = encode(&self.new_heartbeat(number, (0, 0), &[]));
            // Sessions may be placed on any carrier, so the health of all of them has to be known.
            let asked = if self.places_sessions() {
                self.carrier_directory.ask_for_placement(now, &self.settings.zone, number)
            } else {
                self.carrier_directory.ask(now, &self.settings.zone)
            };
            for addr in asked {
                // A failed send is a lost datagram, which the protocol tolerates.
                let _ = self.socket.try_send_to(&request, addr);
            }
            return;
        }
        if self.places_sessions() {
            self.carrier_directory.ask_all(now);
        }
        let limits = self.shares_limits();
        let loads: Vec<_> = self.loads.iter().map(|(group, load)| (group.clone(), *load)).collect();
        for (vm, peer) in &self.peers.peers {
            let mut heartbeat = self.new_heartbeat(number, peer.echo(), &opinions);
            if limits {
                heartbeat.loads.clone_from(&loads);
                heartbeat.quota = self.shared.quota_shares().heartbeat_to(now, vm);
                heartbeat.load = self.shared.outgoing_load().report(now);
            }
            // A failed send is a lost datagram, which the protocol tolerates.
            let _ = self.socket.try_send_to(&encode(&heartbeat), peer.addr);
        }
    }

    /// Tells the daemons that are no carriers of a new configuration, by which they check API keys.
    pub(super) fn announce_config(&mut self, now: Time) {
        if !self.carries || !self.has_organisations() {
            return;
        }
        self.relays.retain(|_, heard_at| now.since(*heard_at) < RELAY_MAX_SILENCE);
        let heartbeat = encode(&self.new_heartbeat(self.peers.round(), (0, 0), &[]));
        for addr in self.relays.keys() {
            // A failed send is a lost datagram; the next heartbeat tells the same.
            let _ = self.socket.try_send_to(&heartbeat, *addr);
        }
    }

    /// Tells the other carriers at once that operations of an organisation lack its part of the limit.
    pub(super) fn announce_demand(&mut self, now: Time) {
        let recently = self.last_heartbeat.is_some_and(|at| now.since(at) < DEMAND_INTERVAL);
        if self.carries && self.shares_limits() && !recently {
            self.send_heartbeats(now);
        }
    }

    /// Sends a heartbeat to a carrier that waits for its part of the organisations' limits, in
    /// addition to those of the rounds.
    fn send_heartbeat_to(&mut self, now: Time, vm: &str) {
        if !self.peers.peers.get_mut(vm).is_some_and(|peer| peer.may_be_sent_urgently(now)) {
            return;
        }
        let number = self.peers.begin_round(now);
        let Some(peer) = self.peers.peers.get(vm) else { return };
        // A heartbeat replaces what the one before said of primaries.
        let mut heartbeat = self.new_heartbeat(number, peer.echo(), &self.fresh_opinions(now));
        heartbeat.quota = self.shared.quota_shares().heartbeat_to(now, vm);
        heartbeat.loads = self.loads.iter().map(|(group, load)| (group.clone(), *load)).collect();
        // A failed send is a lost datagram, which the protocol tolerates.
        let _ = self.socket.try_send_to(&encode(&heartbeat), peer.addr);
    }

    /// Health of primaries that this daemon has observed recently: group, member, health.
    fn fresh_opinions(&self, now: Time) -> Vec<(String, String, PrimaryHealth)> {
        let fresh = self.opinions.iter().filter(|(_, (_, _, at))| now.since(*at) < HEALTH_MAX_AGE);
        let opinions = fresh.map(|(group, (primary, opinion, _))| {
            (group.clone(), primary.as_str().to_owned(), *opinion)
        });
        opinions.collect()
    }

    /// Sends the heartbeats by which the organisations' limits are shared that are due before the next
    /// round.
    pub(super) fn send_due_heartbeats(&mut self, now: Time) {
        if !self.carries || !self.shares_limits() {
            return;
        }
        let due = self.shared.quota_shares().due(now);
        for vm in due {
            self.send_heartbeat_to(now, &vm);
        }
    }

    pub(super) fn new_heartbeat(
        &self,
        number: u64,
        (echo, echo_run): (u64, u64),
        opinions: &[(String, String, PrimaryHealth)],
    ) -> Heartbeat {
        Heartbeat {
            from: self.settings.vm.clone(),
            run: self.run,
            carries: self.carries,
            accepts_sessions: self.accepts_sessions(clock::now()),
            places_sessions: self.has_organisations(),
            acts: self
                .store_answered_at
                .is_some_and(|at| clock::now().since(at) < STORE_ANSWER_MAX_AGE),
            number,
            echo,
            echo_run,
            version: self.applied_version,
            carriers_version: self.coordination.carriers_version,
            newest: self.newest_rows(),
            copy_ages_ms: Copied::ALL.map(|table| self.copy_age(table).map(Span::as_millis)),
            config_evidence: None,
            quota: QuotaMessage::default(),
            knows_parts: self.carries && self.shares_limits(),
            loads: Vec::new(),
            load: LoadReport::default(),
            opinions: opinions.to_vec(),
        }
    }

    pub(super) fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, from: SocketAddr) {
        let now = clock::now();
        self.carrier_directory.record_answer(now, &heartbeat.from, heartbeat.accepts_sessions);
        self.handle_config_evidence(now, heartbeat, from);
        if heartbeat.carries && !self.carries {
            let version = heartbeat.newest[Copied::Config as usize];
            self.shared.record_carrier_config(now, version);
        }
        if !heartbeat.carries && self.carries {
            if self.has_organisations() && self.relays.len() < MAX_RELAYS {
                self.relays.insert(from, now);
            }
            // The number lets the other daemon answer with evidence of the configuration.
            let number = if self.has_organisations() { self.peers.round() } else { 0 };
            let mut answer = self.new_heartbeat(number, (heartbeat.number, heartbeat.run), &[]);
            if self.has_organisations() {
                answer.load = self.shared.outgoing_load().report(now);
            }
            // A failed send is a lost datagram, which the protocol tolerates.
            let _ = self.socket.try_send_to(&encode(&answer), from);
        }
        let asked_at = self.peers.receive(now, self.run, heartbeat);
        if heartbeat.carries {
            self.copies.peer_answered(now, &heartbeat.from, asked_at, heartbeat.copies());
        }
        if heartbeat.carries && self.carries && self.shares_limits() {
            let (from, run) = (&heartbeat.from, heartbeat.run);
            let is_urgent = {
                let mut shares = self.shared.quota_shares();
                shares.receive(now, from, run, asked_at, &heartbeat.quota)
            };
            if is_urgent {
                self.send_heartbeat_to(now, from);
            }
            self.send_due_heartbeats(now);
        }
        if heartbeat.carries && self.places_sessions() {
            self.pass_on_load(heartbeat);
        }
        if let Some(asked_at) = asked_at {
            self.shared.record_start_step(StartStep::Heartbeat);
            self.grant.peer_answered(&heartbeat.from, asked_at, heartbeat.version);
        }
        if heartbeat.carries {
            self.carriers_place_sessions = heartbeat.places_sessions;
        }
        self.observe_config_version(now, heartbeat);
        self.request_missing_rows(now, heartbeat);
    }

    /// Passes the load that a carrier reports on to the data thread. The data thread refuses by it
    /// with the limits of this daemon's configuration, so that must be the one of the carrier.
    fn pass_on_load(&mut self, heartbeat: &Heartbeat) {
        let Some(asked_at) = self.peers.asked_at(self.run, heartbeat) else { return };
        let Some(sessions) = self.carrier_directory.session_addr(&heartbeat.from) else { return };
        let same_config = heartbeat.newest[Copied::Config as usize] == self.config_version();
        let report = if same_config { heartbeat.load.clone() } else { LoadReport::default() };
        let was_loaded = if report.is_empty() {
            self.loaded_carriers.remove(&sessions)
        } else {
            !self.loaded_carriers.insert(sessions)
        };
        if was_loaded || !report.is_empty() {
            let report = Box::new(report);
            self.send_order(Order::CarrierLoad { sessions, asked_at, report });
        }
    }

    /// Whether this daemon, as a carrier, may use primaries, can tell whether API keys are still
    /// valid, and is not stopping.
    pub(super) fn accepts_sessions(&self, now: Time) -> bool {
        let limit = self.settings.revocation_limit.filter(|_| self.has_organisations());
        let knows_keys = limit.is_none_or(|limit| {
            self.copy_age(Copied::Config).is_some_and(|age| age + REVOCATION_MARGIN < limit)
        });
        !self.stopping && now < self.serves_until() && knows_keys
    }

    /// Whether sessions are placed on carriers by their organisations. A daemon that is no carrier
    /// learns from carriers that a configuration which it lacks has organisations.
    pub(super) fn places_sessions(&self) -> bool {
        self.has_organisations() || (!self.carries && self.carriers_place_sessions)
    }

    /// Notes that another carrier has a newer configuration.
    fn observe_config_version(&mut self, now: Time, heartbeat: &Heartbeat) {
        let version = heartbeat.newest[Copied::Config as usize];
        let wanted = self.carries || self.places_sessions();
        if !wanted || !heartbeat.carries {
            return;
        }
        let Some(addr) = self.peers.peers.get(&heartbeat.from).map(|peer| peer.addr) else {
            return;
        };
        self.observe_newer_config(now, version, &heartbeat.from, addr);
    }

    /// Notes that a newer configuration can be requested from a daemon.
    pub(super) fn observe_newer_config(
        &mut self,
        now: Time,
        version: u64,
        vm: &str,
        addr: SocketAddr,
    ) {
        if version <= self.config_version() {
            return;
        }
        let vm = vm.to_owned();
        match &mut self.newer_config {
            Some(newer) if newer.version > version => {}
            // The carrier that was named first has not delivered it so far.
            Some(newer) if newer.version < version || newer.last_request.is_some() => {
                (newer.version, newer.vm, newer.addr) = (version, vm, addr);
            }
            Some(_) => {}
            None => {
                let delay = if self.carries {
                    CONFIG_SYNC_DELAY
                } else {
                    let spread = PLACEMENT_CONFIG_SPREAD.as_micros();
                    Span::from_micros(rand::rng().random_range(0..spread))
                };
                self.newer_config =
                    Some(NewerConfig { version, vm, addr, since: now, delay, last_request: None });
            }
        }
    }

    /// Requests a newer configuration from the carrier that has it, if the store has not delivered
    /// it by now. Sessions that are relayed to both carriers must not fall back to an older one.
    pub(super) fn request_newer_config(&mut self, now: Time) {
        let version = self.config_version();
        let Some(newer) = self.newer_config.as_mut().filter(|newer| newer.version > version) else {
            self.newer_config = None;
            return;
        };
        let interval = if self.carries { CONFIG_SYNC_INTERVAL } else { PLACEMENT_CONFIG_INTERVAL };
        let recently = newer.last_request.is_some_and(|at| now.since(at) < interval);
        if now.since(newer.since) < newer.delay || recently {
            return;
        }
        newer.last_request = Some(now);
        let addr = newer.addr;
        logs::event(
            "requesting newer configuration",
            &serde_json::json!({"from": newer.vm, "theirs": newer.version, "own": version,
                "behind_ms": now.since(newer.since).as_millis()}),
        );
        self.request_rows(addr, Some(OPERATOR_TABLE));
    }

    fn request_rows(&self, addr: SocketAddr, table: Option<&'static str>) {
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Some(snapshots) = row_sync::rows(addr, table).await {
                // Fails only during shutdown.
                let _ = events.unbounded_send(Event::PeerRows(snapshots));
            }
        });
    }

    /// Requests rows that a carrier has and this daemon lacks.
    pub(super) fn request_missing_rows(&mut self, now: Time, heartbeat: &Heartbeat) {
        let Some(missing) = self.missing_rows(now, heartbeat) else { return };
        let since = *self.behind_since.get_or_insert(now);
        // To a carrier, the store should have delivered the rows; other daemons do not ask it.
        let late = !self.carries
            || now.since(since) >= ROW_SYNC_DELAY
            || now >= self.shared.copies_expiry();
        let recently = self.last_row_sync.is_some_and(|at| now.since(at) < STORE_POLL_INTERVAL);
        let Some(peer) = self.peers.peers.get(&heartbeat.from).filter(|_| late && !recently) else {
            return;
        };
        self.behind_since = None;
        self.last_row_sync = Some(now);
        logs::event(
            "requesting missing rows",
            &serde_json::json!({"from": heartbeat.from, "missing": format!("{missing:?}"),
                "theirs": heartbeat.newest, "own": self.newest_rows(),
                "carriers": heartbeat.carriers_version}),
        );
        let table = match missing {
            MissingRows::OfAnyTable => None,
            MissingRows::OfTable(table) => Some(table),
        };
        self.request_rows(peer.addr, table);
    }

    /// The rows that the sender of a heartbeat has and this daemon lacks. A carrier needs all
    /// rows, another daemon only those that say who the carriers are, and the configuration once.
    fn missing_rows(&self, now: Time, heartbeat: &Heartbeat) -> Option<MissingRows> {
        if self.carries {
            let own = self.newest_rows();
            let behind = heartbeat.newest.iter().zip(own).any(|(theirs, own)| *theirs > own);
            return behind.then_some(MissingRows::OfAnyTable);
        }
        if heartbeat.carriers_version > self.coordination.carriers_version {
            return Some(MissingRows::OfTable(STATE_TABLE));
        }
        let wants_config = heartbeat.carries && self.wants_config(now);
        wants_config.then_some(MissingRows::OfTable(OPERATOR_TABLE))
    }

    /// Version of the configuration, and of the newest rows of the members' and the state table.
    fn newest_rows(&self) -> [u64; 3] {
        let [members, state] = [MEMBERS_TABLE, STATE_TABLE].map(|table| self.tables.newest(table));
        [self.config_version(), members, state]
    }

    /// How long ago a copy was last known to be complete; `None` if it never was.
    fn copy_age(&self, table: Copied) -> Option<Span> {
        self.copies.confirmed_at(table).map(|at| clock::now().since(at))
    }

    /// Whether a daemon that leaves the configuration to carriers should fetch it, to know the
    /// number of carrier slots. Daemons that start together do so at different times.
    fn wants_config(&self, now: Time) -> bool {
        self.config.is_none() && self.may_learn_slots(now) && self.followed.borrow().is_passive()
    }

    /// Whether a daemon that leaves the configuration to carriers may learn the number of carrier
    /// slots from it.
    fn may_learn_slots(&self, now: Time) -> bool {
        let delay =
            CONFIG_FETCH_DELAY + Span::from_micros(self.run % CONFIG_FETCH_SPREAD.as_micros());
        self.loaded_at.is_some_and(|at| now.since(at) >= delay)
    }

    /// Whether this daemon knows the number of carrier slots. If it has fetched the configuration
    /// early, to place sessions, it claims a slot no earlier than without organisations.
    pub(super) fn knows_slots(&self, now: Time) -> bool {
        let is_early = self.places_sessions()
            && self.followed.borrow().is_passive()
            && !self.may_learn_slots(now);
        self.config.is_some() && !is_early
    }

    /// Polls the store while the other carriers' answers do not suffice for the grant, and,
    /// as the holder of the failover lease, to know whether the store is reachable.
    pub(super) fn poll_store(&mut self, now: Time) {
        let suffice = self.grant.peers_suffice(now, GRANT_LOW_MARGIN);
        let interval = if suffice { HOLDER_POLL_INTERVAL } else { STORE_POLL_INTERVAL };
        let recently = self.last_store_poll.is_some_and(|at| now.since(at) < interval);
        // The parts of other carriers are used only by answers of the store itself.
        let wanted = !suffice || self.coordinator.is_holder() || self.parts_used > 1;
        if recently || !wanted || !self.carries || !self.coordination.loaded {
            return;
        }
        self.read_state_table(now);
    }

    /// Whether limits of organisations are shared out: the number of carriers is known then.
    pub(super) fn shares_limits(&self) -> bool {
        self.has_organisations() && self.config.is_some()
    }

    /// Whether callers belong to organisations in this deployment.
    pub(super) fn has_organisations(&self) -> bool {
        let by_config = self.config.as_ref().is_some_and(|config| config.requires_keys);
        by_config || self.settings.requires_keys
    }

    /// Asks the store to confirm the configuration before the evidence that API keys are still valid
    /// has aged too much. Carriers take turns in the order of their names, since each learns from
    /// the others' heartbeats what the store has confirmed to one of them.
    pub(super) fn poll_key_evidence(&mut self, now: Time) {
        let Some(limit) = self.settings.revocation_limit else { return };
        if !self.carries || !self.has_organisations() {
            return;
        }
        let peers = self.peers.peers.iter();
        let preceding = peers
            .filter(|(name, peer)| {
                **name < self.settings.vm && peer.reaches_store(now, STORE_ANSWER_MAX_AGE)
            })
            .count() as u64;
        let percent = |percent: u64| limit.as_micros() * percent / 100;
        let turn = percent(KEY_EVIDENCE_PERCENT) + KEY_EVIDENCE_STAGGER.as_micros() * preceding;
        let due = Span::from_micros(turn.min(percent(KEY_EVIDENCE_MAX_PERCENT)));
        if self.copy_age(Copied::Config).is_some_and(|age| age >= due) {
            self.confirm_copy(now, OPERATOR_TABLE, STORE_POLL_INTERVAL);
        }
    }

    /// Asks the store to confirm the copies while the other carriers' answers do not suffice.
    pub(super) fn poll_copies(&mut self, now: Time) {
        if !self.carries || self.copies.peers_suffice(now, GRANT_LOW_MARGIN) {
            return;
        }
        for table in [OPERATOR_TABLE, MEMBERS_TABLE] {
            self.confirm_copy(now, table, STORE_POLL_INTERVAL);
        }
    }

    /// Asks the store whether a copy is complete, and fetches the rows that it lacks; not earlier
    /// than `interval` after the last time. Unanswered calls are not waited for: a connection that
    /// was opened before a standstill or an outage may be silent, a new one not.
    pub(super) fn confirm_copy(&mut self, now: Time, table: &'static str, interval: Span) {
        let last = self.last_confirmations.get(table);
        if last.is_some_and(|at| now.since(*at) < interval) {
            return;
        }
        self.last_confirmations.insert(table, now);
        self.shared.count(Counter::StoreCalls);
        let (store, events) = (self.store.clone(), self.events.clone());
        let known = self.tables.as_of(table);
        tokio::spawn(async move {
            let asked_at = clock::now();
            let changes = match known {
                Some(version) => Some(store.feed(table, version, Duration::ZERO).await),
                None => None,
            };
            let event = match changes {
                Some(Ok(rows)) => Event::Rows { table, rows, complete: false, asked_at },
                None | Some(Err(CallError::HistoryGone)) => match store.rows(table).await {
                    Ok(rows) => Event::Rows { table, rows, complete: true, asked_at },
                    Err(error) => Event::StoreFailed { table, error },
                },
                Some(Err(error)) => Event::StoreFailed { table, error },
            };
            // Fails only during shutdown.
            let _ = events.unbounded_send(event);
        });
    }

    /// Reads the state table from the store.
    pub(super) fn read_state_table(&mut self, now: Time) {
        self.last_store_poll = Some(now);
        self.shared.count(Counter::StoreCalls);
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let asked_at = clock::now();
            let event = match store.rows(STATE_TABLE).await {
                Ok(rows) => Event::Rows { table: STATE_TABLE, rows, complete: true, asked_at },
                Err(error) => Event::StoreFailed { table: STATE_TABLE, error },
            };
            // Fails only during shutdown.
            let _ = events.unbounded_send(event);
        });
    }
}
