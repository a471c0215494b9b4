use std::{io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use adapter::{
    CallError, Config, FailoverClient, Group, MEMBERS_TABLE, MemberEntry, MemberRole, MemberState,
    OPERATOR_TABLE, Settings, StoreClient,
};
use base::{FastMap, MemberId, Span, Time};
use futures_channel::mpsc;
use futures_util::StreamExt;
use succession::{Candidate, Carriers, Grants, Opinion};
use tokio::net::{TcpListener, UdpSocket};

use crate::{
    clock,
    control::{
        event::Event,
        exchange, http,
        ledger::{Ledger, TABLE},
        peers::Peers,
        pending::Pending,
        stewardship::{GroupView, Place, Stewardship},
        tables::Tables,
        watch,
    },
    messages::{Order, Report},
    shared::Shared,
};

mod beats;
mod rows;
mod standing;

/// How often decisions that depend on time are taken.
const TICK: Duration = Duration::from_millis(50);
/// Time between heartbeats: several within a grant.
const BEAT_EVERY: Span = Span::from_millis(250);
/// Time between questions to carriers from a daemon that is none.
const QUESTION_EVERY: Span = Span::from_millis(500);
/// Time between such questions.
const ASK_STORE_EVERY: Span = Span::from_millis(400);
/// How long an own opinion of a primary counts.
const OPINION_FOR: Span = Span::from_millis(500);
/// Datagrams are far smaller.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// The control thread's state.
struct Control {
    settings: Settings,
    shared: Arc<Shared>,
    orders: mpsc::UnboundedSender<Order>,
    events: mpsc::UnboundedSender<Event>,
    store: StoreClient,
    socket: Arc<UdpSocket>,
    run: u64,
    tables: Tables,
    ledger: Ledger,
    grants: Grants,
    peers: Peers,
    steward: Stewardship,
    config: Option<Arc<Config>>,
    members: FastMap<String, Member>,
    members_known: bool,
    pending: Pending,
    /// Version of the rows in force here.
    applied: u64,
    opinions: FastMap<String, (MemberId, Opinion, Time)>,
    last_beat: Option<Time>,
    last_asked: Option<Time>,
    registering: Option<Time>,
    /// Since when another daemon has had rows that this one lacks.
    behind_since: Option<Time>,
    last_copied: Option<Time>,
    /// Since when a place for a carrier has been free here.
    vacant_since: Option<Time>,
    carriers: Carriers,
    carries: bool,
    /// What the data thread was told of carriers.
    told: Option<(bool, Vec<SocketAddr>)>,
    /// Since when this daemon follows all rows again.
    active_since: Option<Time>,
    config_current: bool,
    store_lost: bool,
    /// When the store last answered.
    store_at: Option<Time>,
    /// The store's clock in its latest answer.
    store_ms: u64,
    stopping: bool,
    /// When the grant was last good.
    granted_at: Option<Time>,
    evacuates: bool,
}

#[derive(Debug)]
struct Member {
    entry: MemberEntry,
    gone_since: Option<Time>,
}

/// Runs the control thread until the process ends.
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
    let for_exchange = tx.clone();
    tokio::spawn(async move {
        if let Err(error) = exchange::serve(listener, for_exchange).await {
            logs::error(&format!("calls of other daemons: {error}"));
        }
    });
    let store = StoreClient::new(settings.store);
    for table in [OPERATOR_TABLE, MEMBERS_TABLE, TABLE] {
        tokio::spawn(watch::follow(store.clone(), table, Arc::clone(&shared), tx.clone()));
    }
    let mut control = Control::new(settings, shared, orders, tx, store, socket);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            Some(event) = events.next() => Some(event),
            Some(event) = own_events.next() => Some(event),
            _ = ticks.tick() => None,
        };
        match event {
            Some(Event::Data(Report::Ended)) => {
                return Ok(());
            }
            Some(event) => control.handle(event),
            None => control.tick(),
        }
    }
}

async fn listen(socket: Arc<UdpSocket>, events: mpsc::UnboundedSender<Event>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((count, from)) => match serde_json::from_slice(&buf[..count]) {
                Ok(beat) => {
                    if events.unbounded_send(Event::Beat(beat, from)).is_err() {
                        return;
                    }
                }
                Err(error) => logs::warn(&format!("a heartbeat cannot be read: {error}")),
            },
            // A port that was refused earlier is told here; the next one may do.
            Err(_) => tokio::time::sleep(TICK).await,
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
    ) -> Control {
        let run = rand::random();
        let calls = FailoverClient::new(settings.failover_api);
        let vm = settings.vm.clone();
        let steward = Stewardship::new(vm, run, store.clone(), calls, events.clone());
        Control {
            settings,
            shared,
            orders,
            events,
            store,
            socket,
            run,
            tables: Tables::default(),
            ledger: Ledger::default(),
            grants: Grants::default(),
            peers: Peers::default(),
            steward,
            config: None,
            members: FastMap::default(),
            members_known: false,
            pending: Pending::default(),
            applied: 0,
            opinions: FastMap::default(),
            last_beat: None,
            last_asked: None,
            registering: None,
            behind_since: None,
            last_copied: None,
            vacant_since: None,
            carriers: Carriers::default(),
            carries: false,
            told: None,
            active_since: None,
            config_current: true,
            store_lost: false,
            store_at: None,
            store_ms: 0,
            stopping: false,
            granted_at: None,
            evacuates: false,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Rows { table, rows, whole, asked_at } => {
                self.store_at = Some(clock::now());
                self.store_ms = self.store_ms.max(rows.clock_ms);
                if self.store_lost {
                    self.store_lost = false;
                    logs::event("dependency regained", &serde_json::json!({"store": table}));
                }
                if table == OPERATOR_TABLE {
                    self.config_current |= self.active_since.is_none_or(|at| asked_at >= at);
                }
                self.take_rows(table, rows, whole);
                if table == TABLE {
                    self.grants.store_answered(asked_at, self.ledger.version);
                }
            }
            Event::RowsAsked(tx) => {
                // Whoever asked may be gone by now.
                let _ = tx.send(self.tables.copies());
            }
            Event::RowsOfPeer(copies) => self.take_copies(copies),
            Event::StoreFailed { table, error } => {
                if !self.store_lost && !matches!(error, CallError::HistoryGone) {
                    self.store_lost = true;
                    logs::event(
                        "dependency lost",
                        &serde_json::json!({"store": table, "reason": error.to_string()}),
                    );
                }
            }
            Event::Written { what, result } => self.written(what, result),
            Event::Beat(beat, from) => self.heard(&beat, from),
            Event::Data(Report::Applied { group, version }) => {
                self.pending.applied(&group, version);
                self.settle_applied();
            }
            Event::Data(Report::Opinion { group, primary, opinion }) => {
                self.opinions.insert(group, (primary, opinion, clock::now()));
            }
            Event::Data(Report::CarrierFailed { sessions }) => {
                self.carriers.failed(clock::now(), sessions);
                self.tell_carriers(clock::now());
            }
            Event::Data(Report::Ended) => {}
            Event::Status { member, status } => self.steward.note_status(member, status),
            Event::Promoted { group, member, outcome } => {
                self.steward.note_promotion(&group, &member, outcome);
            }
            Event::Reload(file) => reload(&file),
            Event::Stop => self.stop(),
        }
        self.refresh_grant();
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.forget_members(now);
        let every = if self.carries { BEAT_EVERY } else { QUESTION_EVERY };
        if self.last_beat.is_none_or(|at| now.since(at) >= every) {
            self.beat(now);
        }
        self.ask_store(now);
        self.register(now);
        self.forget_carriers(now);
        self.refresh_grant();
        self.refresh_ready(now);
        self.steer(now);
    }

    fn steer(&mut self, now: Time) {
        if !self.carries {
            return;
        }
        let Some(config) = self.config.clone() else { return };
        let views: Vec<_> = config.groups.iter().map(|group| self.view(now, group)).collect();
        self.steward.tick(&self.ledger, &self.peers, self.store_ms, &views);
    }

    fn view<'a>(&self, now: Time, group: &'a Group) -> GroupView<'a> {
        let members = self.members.values().filter(|member| member.entry.group == group.name);
        let places = members.map(|member| Place {
            candidate: Candidate {
                id: member.entry.id.clone(),
                leaving: member.entry.state == MemberState::Draining,
                says_primary: member.entry.role == MemberRole::Primary,
                status: None,
            },
            addr: member.entry.addr,
        });
        let primary = self.ledger.leads.get(&group.name).map(|(record, _)| record.primary.as_str());
        let opinion = self
            .opinions
            .get(&group.name)
            .filter(|(of, _, at)| Some(of.as_str()) == primary && now.since(*at) < OPINION_FOR);
        GroupView {
            name: &group.name,
            sync_replicas: group.sync_replicas,
            places: places.collect(),
            opinion: opinion.map(|(_, opinion, _)| *opinion),
        }
    }

    fn stop(&mut self) {
        if self.stopping {
            return;
        }
        logs::event("stopping", &serde_json::json!({"reason": "signal"}));
        self.stopping = true;
        self.shared.set_ready(false);
        self.order(Order::Stop);
    }

    fn order(&self, order: Order) {
        // Fails only while the process ends.
        let _ = self.orders.unbounded_send(order);
    }
}

/// Checks the settings again. Addresses hold for the life of the process, and
/// nothing else in them changes what it does.
fn reload(file: &Path) {
    match Settings::load(file) {
        Ok(settings) => logs::event("reload", &serde_json::json!({"vm": settings.vm})),
        Err(error) => logs::error(&format!("reload: {error}; the settings before stay")),
    }
}
