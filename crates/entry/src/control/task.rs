use std::{io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use adapter::{
    CallError, Config, FailoverClient, Group, MEMBERS_TABLE, MemberEntry, MemberRole, MemberState,
    OPERATOR_TABLE, Rows, Settings, StoreClient,
};
use base::{FastMap, FastSet, MemberId, Span, Time, store_version};
use futures_channel::mpsc;
use futures_util::StreamExt;
use pool::Shares;
use succession::{
    Candidate, CarrierDirectory, Copied, CopyLease, EvidenceRelay, FollowedTables, PartClaim,
    PrimaryGrant, PrimaryHealth,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
};

use crate::{
    clock,
    control::{
        coordination::{CoordinationState, STATE_TABLE},
        coordinator::FailoverCoordinator,
        event::Event,
        feeds,
        followed_since::FollowedSince,
        group_state::GroupView,
        http,
        peers::Peers,
        pending_orders::PendingOrders,
        row_sync,
        tables::TableCache,
    },
    messages::{CarrierChoice, Order, Report},
    shared::{Counter, Shared},
    standstill::StandstillDetector,
};

mod carrier_role;
mod config_evidence;
mod heartbeats;
mod parts;
mod rows;
mod slot_claims;

/// Interval of the decisions that depend on time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between heartbeats of a carrier: several within the duration of a grant.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(250);
/// Part of an interval by which a round of heartbeats may be early. Ticks come with delays that differ,
/// and a round that waited for the next one would be late by a whole tick.
const ROUND_TOLERANCE: Span = Span::from_millis(10);
/// Interval in the first second of a carrier, until the others have answered it: before that, it
/// cannot use its share of the organisations' limits.
const STARTING_HEARTBEAT_INTERVAL: Span = Span::from_millis(50);
/// Interval at which a daemon that is no carrier sends heartbeats to carriers: with it, a carrier
/// that has lost power is noticed within the time limit of most statements.
const CARRIER_POLL_INTERVAL: Span = Span::from_millis(250);
/// Minimum interval between polls of the store while the other carriers' answers do not
/// suffice, between attempts to register as a carrier, and between row syncs.
const STORE_POLL_INTERVAL: Span = Span::from_millis(400);
/// Age up to which this daemon's own observation of a primary's health counts.
const HEALTH_MAX_AGE: Span = Span::from_millis(500);
/// Size of the receive buffer. Heartbeats are far smaller.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// The control thread's state.
struct Control {
    settings: Settings,
    shared: Arc<Shared>,
    orders: mpsc::UnboundedSender<Order>,
    events: mpsc::UnboundedSender<Event>,
    store: StoreClient,
    socket: Arc<UdpSocket>,
    /// The tables of the store that this daemon follows.
    followed: watch::Sender<FollowedTables>,
    /// Random identifier of this process.
    run: u64,
    tables: TableCache,
    coordination: CoordinationState,
    grant: PrimaryGrant,
    copies: CopyLease,
    peers: Peers,
    coordinator: FailoverCoordinator,
    config: Option<Arc<Config>>,
    /// Version of the configuration that is in force in the data thread; 0 if there is none.
    applied_config: u64,
    /// When the store was asked that has confirmed a configuration which is not yet in force there.
    pending_confirmation: Option<Time>,
    members: FastMap<String, Member>,
    members_known: bool,
    pending_orders: PendingOrders,
    /// Version up to which this daemon applies the rows of the state table.
    applied_version: u64,
    /// Primary that the data thread was last told of each group; `None` during a failover.
    sent_primaries: FastMap<String, Option<MemberId>>,
    /// When this daemon noticed the present era of the store, and last tried to write again what
    /// the store has lost.
    era_began_at: Time,
    last_rewrite: Option<Time>,
    /// Evidence on the parts of the organisations' limits that records assign to this carrier, by slot.
    part_claims: FastMap<String, PartClaim>,
    /// Number of slots whose parts it uses.
    parts_used: u32,
    last_part_write: Option<Time>,
    /// Health of each group's primary as the data thread last observed it.
    opinions: FastMap<String, (MemberId, PrimaryHealth, Time)>,
    /// Requests of each group that wait or run, as the data thread last reported them.
    loads: FastMap<String, u32>,
    /// Shares that the data thread was last told of each group.
    sent_shares: FastMap<String, Shares>,
    standstill: StandstillDetector,
    last_heartbeat: Option<Time>,
    last_store_poll: Option<Time>,
    /// When this daemon last asked the store to confirm its copy of each table.
    last_confirmations: FastMap<&'static str, Time>,
    /// When this daemon last tried to register as a carrier.
    last_registration: Option<Time>,
    /// Whether this daemon took over the carrier slot of its predecessor, as after a loss of power.
    inherits_slot: bool,
    /// Whether the carrier that was heard last places sessions by their organisations.
    carriers_place_sessions: bool,
    /// A configuration that another carrier has and this daemon lacks.
    newer_config: Option<heartbeats::NewerConfig>,
    /// What this daemon, while it is no carrier, tells carriers of how recent the configuration is.
    evidence_relay: EvidenceRelay,
    /// Daemons that are no carriers, and when a carrier last heard from them.
    relays: FastMap<SocketAddr, Time>,
    /// Since when another daemon has had rows that are missing here.
    behind_since: Option<Time>,
    last_row_sync: Option<Time>,
    /// Since when a carrier slot has been free in this availability zone.
    vacant_since: Option<Time>,
    /// Slots of this zone whose carriers are doubted: the version of each row, and when this daemon
    /// first read it while its zone was lost.
    doubts: FastMap<String, (u64, Time)>,
    /// When this daemon last doubted a carrier.
    last_doubt: Option<Time>,
    carrier_directory: CarrierDirectory,
    /// Session addresses of the carriers whose last report named some load.
    loaded_carriers: FastSet<SocketAddr>,
    /// Whether this daemon is a carrier.
    carries: bool,
    /// Content of the last [`Order::Carriers`].
    sent_carriers: Option<CarrierChoice>,
    /// When this daemon first had the rows of the state table.
    loaded_at: Option<Time>,
    operator_followed: FollowedSince,
    members_followed: FollowedSince,
    store_lost: bool,
    /// When the store last answered a request.
    store_answered_at: Option<Time>,
    /// Since when it has answered every read; `None` after a failed one.
    store_answers_since: Option<Time>,
    /// Newest era of the store that it has answered in; 0 before its first answer.
    store_era: u64,
    /// The store's clock in its latest response, in milliseconds; 0 before the first.
    store_ms: u64,
    /// When that response arrived.
    store_ms_at: Time,
    stopping: bool,
    /// When this daemon last had a sufficient grant, needed none, or was not ready for
    /// another reason.
    granted_at: Option<Time>,
    /// Whether the data thread was told to send idle sessions to other daemons.
    evacuating: bool,
}

#[derive(Debug)]
struct Member {
    entry: MemberEntry,
    /// Since when its row has been missing; `None` if it is present.
    missing_since: Option<Time>,
}

/// Runs the control thread until the data thread has ended every session.
pub(crate) async fn run(
    settings: Settings,
    shared: Arc<Shared>,
    orders: mpsc::UnboundedSender<Order>,
    mut events: mpsc::UnboundedReceiver<Event>,
) -> io::Result<()> {
    let (tx, mut own_events) = mpsc::unbounded();
    http::serve(settings.readiness, Arc::clone(&shared)).await?;
    let addr = SocketAddr::new(settings.callers.ip(), settings.ports.0);
    let socket = Arc::new(UdpSocket::bind(addr).await?);
    tokio::spawn(listen(Arc::clone(&socket), tx.clone()));
    let listener = TcpListener::bind(addr).await?;
    let row_sync_events = tx.clone();
    tokio::spawn(row_sync::serve(listener, row_sync_events, Arc::clone(&shared)));
    let store = StoreClient::new(settings.store);
    let (followed, followed_rx) = watch::channel(FollowedTables::default());
    tokio::spawn(feeds::follow_all(store.clone(), Arc::clone(&shared), followed_rx, tx.clone()));
    let mut control = Control::new(settings, shared, orders, tx, store, socket, followed);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            Some(event) = events.next() => Some(event),
            Some(event) = own_events.next() => Some(event),
            _ = ticks.tick() => None,
        };
        match event {
            Some(Event::Data(Report::SessionsEnded)) => {
                return Ok(());
            }
            Some(event) => control.handle_event(event),
            None => control.tick(),
        }
    }
}

async fn listen(socket: Arc<UdpSocket>, events: mpsc::UnboundedSender<Event>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((count, from)) => match serde_json::from_slice(&buf[..count]) {
                Ok(heartbeat) => {
                    if events.unbounded_send(Event::Heartbeat(Box::new(heartbeat), from)).is_err() {
                        return;
                    }
                }
                Err(error) => logs::warn(&format!("cannot decode heartbeat: {error}")),
            },
            // The system may report here that an earlier datagram was refused; the next
            // receive may succeed.
            Err(_) => tokio::time::sleep(TICK_INTERVAL).await,
        }
    }
}

impl Control {
    fn new(
        settings: Settings,
        shared: Arc<Shared>,
        orders: mpsc::UnboundedSender<Order>,
        events: mpsc::UnboundedSender<Event>,
        store: StoreClient,
        socket: Arc<UdpSocket>,
        followed: watch::Sender<FollowedTables>,
    ) -> Control {
        let run = rand::random();
        let failover_client = FailoverClient::new(settings.failover_api);
        let vm = settings.vm.clone();
        let coordinator =
            FailoverCoordinator::new(vm, run, store.clone(), failover_client, events.clone());
        Control {
            settings,
            shared,
            orders,
            events,
            store,
            socket,
            followed,
            run,
            tables: TableCache::default(),
            coordination: CoordinationState::default(),
            grant: PrimaryGrant::default(),
            copies: CopyLease::default(),
            peers: Peers::default(),
            coordinator,
            config: None,
            applied_config: 0,
            pending_confirmation: None,
            members: FastMap::default(),
            members_known: false,
            pending_orders: PendingOrders::default(),
            applied_version: 0,
            sent_primaries: FastMap::default(),
            era_began_at: Time::default(),
            last_rewrite: None,
            part_claims: FastMap::default(),
            parts_used: 0,
            last_part_write: None,
            opinions: FastMap::default(),
            loads: FastMap::default(),
            sent_shares: FastMap::default(),
            standstill: StandstillDetector::new(clock::now()),
            last_heartbeat: None,
            last_store_poll: None,
            last_confirmations: FastMap::default(),
            last_registration: None,
            inherits_slot: false,
            carriers_place_sessions: false,
            newer_config: None,
            evidence_relay: EvidenceRelay::default(),
            relays: FastMap::default(),
            behind_since: None,
            last_row_sync: None,
            vacant_since: None,
            doubts: FastMap::default(),
            last_doubt: None,
            carrier_directory: CarrierDirectory::default(),
            loaded_carriers: FastSet::default(),
            carries: false,
            sent_carriers: None,
            loaded_at: None,
            operator_followed: FollowedSince::default(),
            members_followed: FollowedSince::default(),
            store_lost: false,
            store_answered_at: None,
            store_answers_since: None,
            store_era: 0,
            store_ms: 0,
            store_ms_at: Time::default(),
            stopping: false,
            granted_at: None,
            evacuating: false,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Rows { table, rows, complete, asked_at } => {
                self.store_answered_at = Some(clock::now());
                self.store_answers_since.get_or_insert(clock::now());
                self.observe_era(table, &rows);
                if rows.clock_ms >= self.store_ms {
                    (self.store_ms, self.store_ms_at) = (rows.clock_ms, clock::now());
                }
                if self.store_lost {
                    self.store_lost = false;
                    logs::event("dependency regained", &serde_json::json!({"store": table}));
                }
                match table {
                    OPERATOR_TABLE => self.operator_followed.record_answer(asked_at),
                    MEMBERS_TABLE => self.members_followed.record_answer(asked_at),
                    _ => {}
                }
                let (era, store_ms) = (store_version::era(rows.version), rows.clock_ms);
                self.apply_rows(table, rows.into(), complete);
                // A store that has lost writes says nothing about them.
                if let Some(copied) = rows::copied(table)
                    && self.coordination.is_settled(era, store_ms)
                {
                    self.confirm(copied, asked_at);
                }
                if table == STATE_TABLE {
                    self.update_followed_tables(clock::now());
                    self.grant.store_answered(asked_at, self.coordination.version);
                }
            }
            Event::RowsRequested { table, tx } => {
                // The requesting connection may be closed by now.
                let _ = tx.send(self.tables.snapshots(table.as_deref()));
            }
            Event::PeerRows(snapshots) => self.apply_snapshots(snapshots),
            Event::StoreFailed { table, error } => {
                if !matches!(error, CallError::HistoryGone) {
                    self.store_answers_since = None;
                }
                if !self.store_lost && !matches!(error, CallError::HistoryGone) {
                    self.store_lost = true;
                    logs::event(
                        "dependency lost",
                        &serde_json::json!({"store": table, "reason": error.to_string()}),
                    );
                }
            }
            Event::WriteFinished { what, result } => self.handle_write_result(what, result),
            Event::Heartbeat(heartbeat, from) => self.handle_heartbeat(&heartbeat, from),
            Event::Data(Report::ConfigApplied { version }) => self.config_applied(version),
            Event::Data(Report::Applied { group, version }) => {
                self.pending_orders.confirm(&group, version);
                self.update_applied_version();
            }
            Event::Data(Report::Load { group, load }) => {
                self.loads.insert(group, load);
            }
            Event::Data(Report::PrimaryHealth { group, primary, health }) => {
                self.opinions.insert(group, (primary, health, clock::now()));
            }
            Event::Data(Report::CarrierFailed { sessions }) => {
                self.carrier_directory.record_failure(clock::now(), sessions);
                self.send_carriers(clock::now());
            }
            Event::Data(Report::ConfigInDoubt) => {
                let interval = heartbeats::CONFIRMATION_INTERVAL;
                self.confirm_copy(clock::now(), OPERATOR_TABLE, interval);
            }
            Event::Data(Report::SessionsEnded) => {}
            Event::Data(Report::QuotaDemand) => self.announce_demand(clock::now()),
            Event::MemberStatus { member, status } => self.coordinator.set_status(member, status),
            Event::PromotionFinished { group, member, outcome } => {
                self.coordinator.record_promotion(&group, &member, outcome);
            }
            Event::Reload(file) => reload(&file),
            Event::Stop => self.handle_stop(),
        }
        self.update_grant();
    }

    /// Records the store's era, and starts to follow its clock anew when it has changed.
    fn observe_era(&mut self, table: &str, rows: &Rows) {
        let era = store_version::era(rows.version);
        if era <= self.store_era {
            return;
        }
        logs::event(
            "store era",
            &serde_json::json!({"era": era, "previous": self.store_era, "table": table,
                "version": rows.version, "cached": self.tables.as_of(table),
                "clock_ms": rows.clock_ms}),
        );
        self.store_era = era;
        self.shared.set_store_era(era);
        self.store_ms = 0;
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.detect_standstill(now);
        self.expire_members(now);
        let interval = match self.carries {
            true if self.shares_limits() && self.shared.quota_shares().is_starting(now) => {
                STARTING_HEARTBEAT_INTERVAL
            }
            true => HEARTBEAT_INTERVAL,
            false => CARRIER_POLL_INTERVAL,
        };
        let is_due = |at| now.since(at) + ROUND_TOLERANCE >= interval;
        if self.last_heartbeat.is_none_or(is_due) {
            self.send_heartbeats(now);
            if self.carries && self.has_organisations() {
                self.send_shares();
            }
        }
        self.send_due_heartbeats(now);
        self.poll_store(now);
        self.poll_copies(now);
        self.poll_key_evidence(now);
        self.request_newer_config(now);
        self.register_carrier(now);
        self.expire_carriers(now);
        self.assign_parts(now);
        self.write_primaries_again(now);
        self.update_grant();
        self.update_readiness(now);
        self.steer(now);
    }

    /// After a standstill, measures the silence of others, and the time without a grant, anew:
    /// they may have answered, and this daemon could not ask.
    fn detect_standstill(&mut self, now: Time) {
        let Some(stood_still) = self.standstill.observe(now) else { return };
        self.carrier_directory.resume(now);
        self.granted_at = Some(now);
        self.shared.count(Counter::Standstills);
        logs::event(
            "resumed",
            &serde_json::json!({"stood_still_ms": stood_still.as_millis(),
                "config": self.config.as_ref().map(|config| config.version)}),
        );
    }

    fn steer(&mut self, now: Time) {
        // The clock is unknown until the store has answered in its present era.
        if !self.carries || self.store_ms == 0 {
            return;
        }
        let Some(config) = self.config.clone() else { return };
        self.confirm_missing_primaries(now, &config);
        let views: Vec<_> = config.groups.iter().map(|group| self.group_view(now, group)).collect();
        let running_for = self.standstill.running_for(now);
        let store_ms = self.store_ms(now);
        let slots = self.carrier_slots(&config).total();
        let (coordination, peers) = (&self.coordination, &self.peers);
        self.coordinator.tick(coordination, peers, running_for, store_ms, slots, &views);
    }

    fn group_view<'a>(&self, now: Time, group: &'a Group) -> GroupView<'a> {
        let members = self.members.values().filter(|member| member.entry.group == group.name);
        let members = members.map(|member| Candidate {
            id: member.entry.id.clone(),
            addr: member.entry.addr,
            leaving: member.entry.state == MemberState::Draining,
            registers_as_primary: member.entry.role == MemberRole::Primary,
            status: None,
        });
        let known = self.coordination.primary(&group.name);
        let primary = known.record.map(|record| record.primary.as_str());
        let opinion = self
            .opinions
            .get(&group.name)
            .filter(|(id, _, at)| Some(id.as_str()) == primary && now.since(*at) < HEALTH_MAX_AGE);
        GroupView {
            name: &group.name,
            sync_replicas: group.sync_replicas,
            members: members.collect(),
            members_as_of: self.copies.confirmed_at(Copied::Members).unwrap_or_default(),
            local_health: opinion.map(|(_, opinion, _)| *opinion),
        }
    }

    fn handle_stop(&mut self) {
        if self.stopping {
            return;
        }
        logs::event("stopping", &serde_json::json!({"reason": "signal"}));
        self.stopping = true;
        self.shared.set_ready(false);
        self.send_order(Order::Stop);
    }

    fn send_order(&self, order: Order) {
        // Fails only during shutdown.
        let _ = self.orders.unbounded_send(order);
    }
}

/// Checks the settings file again without applying it: addresses are fixed for the life of
/// the process, and no other setting changes its behaviour.
fn reload(file: &Path) {
    match Settings::load(file) {
        Ok(settings) => logs::event("reload", &serde_json::json!({"vm": settings.vm})),
        Err(error) => logs::error(&format!("reload: {error}; keeping the previous settings")),
    }
}
