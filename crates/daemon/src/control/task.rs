use std::{
    net::TcpListener,
    sync::{Arc, atomic},
    time::Duration,
};

use base::{FastMap, FastSet, GroupId, Span, Time, Zone, store_version};
use futures_channel::{mpsc as orders_mpsc, oneshot};
use futures_util::StreamExt;
use membership::{HomeAction, Homes, HomesConfig, Incarnation, Vm, Vms};
use peers::{
    DaemonClient, DaemonReport, Heartbeat, IncomingCall, Reachability, ReachabilityQuery, RowCopy,
};
use platform::{Client, MembersRecord, PrimaryRecord, Row, Rows, VmRecord};
use serde_json::Value;
use settings::Settings;
use table::Table;
use tokio::sync::{Notify, mpsc};

use crate::{
    clock::Clock,
    control::{
        control_event::ControlEvent,
        peer_heartbeats::PeerHeartbeats,
        platform_writes,
        records::{self, HomeRecord},
        watch::Watch,
    },
    orders::{Order, Report},
};

/// Longest interval between decisions about homes; every event leads to one, too.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the channels of events and of calls from other daemons.
const CHANNEL_CAPACITY: usize = 256;
/// Time without a heartbeat after which a daemon counts as down.
const PEER_TIMEOUT: Span = Span::from_millis(1_000);
/// See [`HomesConfig::exclusivity_period`].
const EXCLUSIVITY_PERIOD: Span = Span::from_millis(2_000);
/// See [`HomesConfig::startup_delay`].
const STARTUP_DELAY: Span = Span::from_millis(300);

/// How long after the store has come back from an older copy the daemons wait before they write the
/// table again: by then they have the newest one from each other.
const TABLE_REWRITE_DELAY: Span = Span::from_millis(2_000);
/// Time between the turns of two daemons to do so, and between two attempts of one.
const TABLE_REWRITE_INTERVAL: Span = Span::from_millis(1_000);

/// Parameters of [`Control::run`].
pub(crate) struct ControlSetup {
    pub(crate) settings: Settings,
    pub(crate) own: Vm,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) listener: TcpListener,
    pub(crate) orders: orders_mpsc::UnboundedSender<Order>,
    pub(crate) reports: orders_mpsc::UnboundedReceiver<Report>,
    /// Number of groups that this daemon holds a claim on and could hand over. Written by the
    /// control task; the stopping daemon waits until it is zero.
    pub(crate) held_claims: Arc<atomic::AtomicUsize>,
}

/// State of the control task.
pub(crate) struct Control {
    clock: Clock,
    secret: String,
    client: Client,
    vms: Vms,
    homes: Homes,
    heartbeats: PeerHeartbeats,
    table: Option<(u64, String)>,
    rows: FastMap<String, Row>,
    /// Newest era of the store, and when this daemon noticed it.
    era: (u64, Time),
    last_table_rewrite: Option<Time>,
    poll_now: Arc<Notify>,
    orders: orders_mpsc::UnboundedSender<Order>,
    held_claims: Arc<atomic::AtomicUsize>,
    tx: mpsc::Sender<ControlEvent>,
}

impl Control {
    /// Runs the control task until its future is dropped.
    pub(crate) async fn run(setup: ControlSetup) {
        let ControlSetup {
            settings,
            own,
            incarnation,
            clock,
            listener,
            orders,
            mut reports,
            held_claims,
        } = setup;
        let (tx, mut rx) = mpsc::channel(CHANNEL_CAPACITY);
        let poll_now = Arc::new(Notify::new());
        let client = Client::new(settings.platform);
        let poll = Duration::from_millis(settings.timing.poll_ms);
        let watch = Watch::new(client.clone(), clock, poll, Arc::clone(&poll_now), tx.clone());
        tokio::spawn(watch.run());
        tokio::spawn(serve_peers(listener, settings.peer_secret.clone(), tx.clone()));
        let vms = Vms::new(own, incarnation, PEER_TIMEOUT);
        let heartbeats = PeerHeartbeats::new(
            settings.peer_secret.clone(),
            Duration::from_millis(settings.timing.peer_heartbeat_ms),
            heartbeat(&vms, 0),
            tx.clone(),
        );
        let mut control = Control {
            clock,
            secret: settings.peer_secret,
            client,
            vms,
            homes: Homes::new(HomesConfig {
                exclusivity_period: EXCLUSIVITY_PERIOD,
                startup_delay: STARTUP_DELAY,
            }),
            heartbeats,
            table: None,
            rows: FastMap::default(),
            era: (0, Time::default()),
            last_table_rewrite: None,
            poll_now,
            orders,
            held_claims,
            tx,
        };
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                Some(event) = rx.recv() => control.handle_event(event),
                Some(report) = reports.next() => control.handle_report(report),
                _ = ticks.tick() => {}
            }
            control.update_homes();
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Polled { asked_at, rows, is_table_current } => {
                self.observe_era(store_version::era(rows.revision));
                if is_table_current {
                    self.send(Order::TableConfirmed { asked_at });
                } else {
                    self.write_table_again();
                }
                let lost = if rows.complete { self.lost_rows(&rows) } else { Vec::new() };
                self.merge_rows(rows.rows.into_iter().chain(lost));
                let mut actions = Vec::new();
                self.homes.confirmed(&self.vms, asked_at, &mut actions);
                self.execute(actions);
            }
            ControlEvent::LeadershipRead { group, rows } => self.apply_leadership(&group, rows),
            ControlEvent::Leadership { group, event } => {
                self.send(Order::Leadership { group, event });
            }
            ControlEvent::PeerRows(copies) => self.merge_rows(copies.into_iter().filter_map(row)),
            ControlEvent::Table { version, text } => self.set_table(version, text),
            ControlEvent::Vms(list) => {
                self.vms.apply_platform_list(list.into_iter().map(vm_from_record));
                self.heartbeats.track(&self.vms);
            }
            ControlEvent::IncomingCall(call) => self.handle_call(call),
            ControlEvent::HeartbeatReceived(heartbeat) => self.handle_heartbeat(heartbeat),
            ControlEvent::PeerGone(vm) => self.vms.gone(&vm),
        }
    }

    /// Records the store's era. Claims of earlier eras end with it.
    fn observe_era(&mut self, era: u64) {
        if era <= self.era.0 {
            return;
        }
        logs::event("store era", &serde_json::json!({"era": era, "previous": self.era.0}));
        self.era = (era, self.clock.now());
        self.homes.observe_era(era);
    }

    /// The daemons' rows of an earlier era that are missing in the present one, as deleted in it.
    fn lost_rows(&self, rows: &Rows) -> Vec<Row> {
        let listed: FastSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        let own = self.rows.values().filter(|row| {
            row.key.starts_with(HomeRecord::PREFIX) || row.key.starts_with(PrimaryRecord::PREFIX)
        });
        let lost = own.filter(|row| !listed.contains(row.key.as_str()));
        let version = store_version::in_era(self.era.0, 0).unwrap_or_default();
        lost.map(|row| Row { version, value: Value::Null, key: row.key.clone() }).collect()
    }

    /// Writes the operators' table again if the store may have lost the newest one. The daemons
    /// take turns in the order of their names.
    fn write_table_again(&mut self) {
        let Some((version, text)) = self.table.clone() else { return };
        let now = self.clock.now();
        let own = &self.vms.own().id;
        let preceding = self.vms.candidates(now).filter(|vm| *vm < own).count() as u64;
        let turn = Span::from_micros(TABLE_REWRITE_INTERVAL.as_micros() * preceding);
        let recently =
            self.last_table_rewrite.is_some_and(|at| now.since(at) < TABLE_REWRITE_INTERVAL);
        if now.since(self.era.1) < TABLE_REWRITE_DELAY + turn || recently {
            return;
        }
        self.last_table_rewrite = Some(now);
        tokio::spawn(platform_writes::write_table_again(self.client.clone(), version, text));
    }

    /// Applies the rows that are newer than the cached ones.
    ///
    /// Claims come first: a daemon that has lost its claim must stop being the home before
    /// it receives the primary record that its successor wrote.
    fn merge_rows(&mut self, rows: impl IntoIterator<Item = Row>) {
        let is_claim = |row: &Row| row.key.starts_with(HomeRecord::PREFIX);
        let (claims, others): (Vec<Row>, Vec<Row>) = rows.into_iter().partition(is_claim);
        self.merge_newer_rows(claims);
        self.update_homes();
        self.merge_newer_rows(others);
    }

    fn merge_newer_rows(&mut self, rows: Vec<Row>) {
        for row in rows {
            let known = self.rows.get(&row.key);
            if known.is_some_and(|known| known.version >= row.version) {
                continue;
            }
            let row = match known {
                Some(known) if is_older_copy(known, &row) => {
                    Row { version: row.version, ..known.clone() }
                }
                _ => row,
            };
            if let Err(error) = self.apply_row(&row) {
                logs::warn(&format!("invalid row {}: {error}", row.key));
            }
            self.rows.insert(row.key.clone(), row);
        }
    }

    /// Applies a group's primary record and claim, which were read in this order. The
    /// election receives the record even if it is not newer, since it waits for the read.
    fn apply_leadership(&mut self, group: &GroupId, rows: Vec<Row>) {
        let leadership =
            rows.iter().find(|row| row.key.starts_with(PrimaryRecord::PREFIX)).cloned();
        self.merge_rows(rows);
        let event = leadership.and_then(|row| records::decode_leadership_record(&row).ok());
        let event = event.map_or(leadership::Event::ReadFailed, leadership::Event::Record);
        self.send(Order::Leadership { group: group.clone(), event });
    }

    fn apply_row(&mut self, row: &Row) -> Result<(), platform::PlatformError> {
        if let Some(group) = row.key.strip_prefix(MembersRecord::PREFIX) {
            let group = GroupId::new(group);
            self.homes.add(&group);
            let record = row.record()?;
            self.send(Order::Members { group, record });
        } else if let Some(group) = row.key.strip_prefix(PrimaryRecord::PREFIX) {
            let event = leadership::Event::Record(records::decode_leadership_record(row)?);
            self.send(Order::Leadership { group: GroupId::new(group), event });
        } else if let Some(group) = row.key.strip_prefix(HomeRecord::PREFIX) {
            self.homes.observe_claim(&GroupId::new(group), records::decode_claim(row)?);
        }
        Ok(())
    }

    /// Applies a table unless its version or a higher one is applied already.
    fn set_table(&mut self, version: u64, text: String) {
        if self.table.as_ref().is_some_and(|(known, _)| *known >= version) {
            return;
        }
        match Table::parse(&text) {
            Ok(table) => {
                self.send(Order::Table { version, table: Arc::new(table) });
                self.table = Some((version, text));
            }
            Err(error) => logs::error(&format!("table version {version} is invalid: {error}")),
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        let behind = self.table.as_ref().is_none_or(|(version, _)| *version < heartbeat.table);
        if behind && heartbeat.table > 0 {
            self.fetch_table(&heartbeat);
        }
        if self.rows.is_empty() && heartbeat.vm != self.vms.own().id {
            self.fetch_rows(&heartbeat);
        }
        let vm = Vm {
            id: heartbeat.vm,
            zone: heartbeat.zone,
            control: heartbeat.control,
            forward: heartbeat.forward,
        };
        if vm.id == self.vms.own().id {
            return;
        }
        let incarnation = Incarnation(heartbeat.incarnation);
        self.vms.record_heartbeat(self.clock.now(), vm, incarnation, heartbeat.leaving);
        self.heartbeats.track(&self.vms);
    }

    /// Fetches a newer table from a daemon that has it, so that it spreads even while the
    /// platform is unavailable.
    fn fetch_table(&self, heartbeat: &Heartbeat) {
        let mut caller = DaemonClient::new(heartbeat.control, self.secret.clone());
        let tx = self.tx.clone();
        tokio::spawn(async move {
            if let Ok(Some((version, text))) = caller.table().await {
                let _ = tx.send(ControlEvent::Table { version, text }).await;
            }
        });
    }

    /// Fetches the cached rows of another daemon, so that this daemon can start while the
    /// platform is unavailable.
    fn fetch_rows(&self, heartbeat: &Heartbeat) {
        let mut caller = DaemonClient::new(heartbeat.control, self.secret.clone());
        let tx = self.tx.clone();
        tokio::spawn(async move {
            if let Ok(copies) = caller.rows().await {
                let _ = tx.send(ControlEvent::PeerRows(copies)).await;
            }
        });
    }

    fn handle_call(&mut self, call: IncomingCall) {
        match call {
            IncomingCall::Heartbeat(heartbeat, tx) => {
                self.handle_heartbeat(heartbeat);
                let _ = tx.send(self.heartbeat());
            }
            IncomingCall::Table(tx) => {
                let _ = tx.send(self.table.clone());
            }
            IncomingCall::CheckReachability(query, tx) => {
                let (answer, answered) = oneshot::channel();
                self.send(Order::CheckReachability { query, answer });
                tokio::spawn(async move {
                    let reigns = answered.await.unwrap_or(false);
                    let _ = tx.send(if reigns {
                        Reachability::Reachable
                    } else {
                        Reachability::Unreachable
                    });
                });
            }
            IncomingCall::Rows(tx) => {
                let _ = tx.send(self.rows.values().map(copy).collect());
            }
            IncomingCall::Report(tx) => {
                let (answer, answered) = oneshot::channel();
                self.send(Order::Report { answer });
                let (vm, table) = (self.vms.own().id.clone(), self.table_version());
                tokio::spawn(async move {
                    let report: DaemonReport = answered.await.unwrap_or_default();
                    let _ = tx.send(DaemonReport { vm, table, ..report });
                });
            }
            IncomingCall::Explain(name, rank, tx) => {
                let (answer, answered) = oneshot::channel();
                self.send(Order::Explain { name, rank, answer });
                tokio::spawn(async move {
                    let _ = tx.send(answered.await.unwrap_or_default());
                });
            }
            IncomingCall::Cancel(pid, secret, tx) => {
                let (answer, answered) = oneshot::channel();
                self.send(Order::Cancel { pid, secret, answer });
                tokio::spawn(async move {
                    let _ = tx.send(answered.await.unwrap_or(false));
                });
            }
        }
    }

    fn handle_report(&mut self, report: Report) {
        match report {
            Report::CheckReachability { group, addr, term } => {
                self.check_reachability(group, ReachabilityQuery { member: addr, term });
            }
            Report::WriteLeadershipRecord { group, expected, record } => {
                tokio::spawn(platform_writes::write_leadership_record(
                    self.client.clone(),
                    self.vms.own().id.clone(),
                    (group, expected, record),
                    self.tx.clone(),
                ));
            }
            Report::ReadLeadershipRecord { group } => {
                tokio::spawn(platform_writes::read_leadership_record(
                    self.client.clone(),
                    group,
                    self.tx.clone(),
                ));
            }
            Report::Cancel { pid, secret } => self.cancel_at_peers(pid, secret),
            Report::Leave => self.vms.set_leaving(),
        }
    }

    /// Asks another daemon whether it reaches a primary: one in another availability zone if
    /// there is one, otherwise one in the same zone.
    fn check_reachability(&self, group: GroupId, query: ReachabilityQuery) {
        let now = self.clock.now();
        let zone: &Zone = &self.vms.own().zone;
        let mut alive: Vec<&Vm> =
            self.vms.others().filter(|vm| self.vms.is_alive(now, &vm.id)).collect();
        alive.sort_by_key(|vm| (vm.zone == *zone, vm.id.clone()));
        let caller = alive.first().map(|vm| DaemonClient::new(vm.control, self.secret.clone()));
        let orders = self.orders.clone();
        tokio::spawn(async move {
            let reachable = match caller {
                Some(mut caller) => caller.check_reachability(query).await.ok(),
                None => None,
            };
            let reachable = reachable.map(|result| result == Reachability::Reachable);
            let event = leadership::Event::ReachabilityChecked { reachable };
            let _ = orders.unbounded_send(Order::Leadership { group, event });
        });
    }

    fn cancel_at_peers(&self, pid: i32, secret: i32) {
        let now = self.clock.now();
        for vm in self.vms.others().filter(|vm| self.vms.is_alive(now, &vm.id)) {
            let mut caller = DaemonClient::new(vm.control, self.secret.clone());
            tokio::spawn(async move {
                let _ = caller.cancel(pid, secret).await;
            });
        }
    }

    fn update_homes(&mut self) {
        let mut actions = Vec::new();
        self.homes.decide(self.clock.now(), &self.vms, &mut actions);
        self.execute(actions);
        self.heartbeats.set_heartbeat(self.heartbeat());
        let successors = self.vms.candidates(self.clock.now()).count();
        let held_claims = if successors > 0 { self.homes.held_count(&self.vms) } else { 0 };
        self.held_claims.store(held_claims, atomic::Ordering::Relaxed);
    }

    fn execute(&self, actions: Vec<HomeAction>) {
        for action in actions {
            match action {
                HomeAction::Claim { .. } => self.write_claim(action),
                HomeAction::Route { group, place } => {
                    let vm = format!("{place:?}");
                    logs::event("home", &serde_json::json!({ "group": group, "place": vm }));
                    self.send(Order::Route { group, place });
                }
                HomeAction::BecameHome { group, exclusive_from, takeover } => {
                    self.send(Order::BecameHome { group, exclusive_from, takeover });
                }
                HomeAction::HandoverStarted { group } => self.send(Order::HandOver { group }),
                HomeAction::Exclusive { group, until } => self.send(Order::Extend { group, until }),
            }
        }
    }

    fn write_claim(&self, action: HomeAction) {
        let client = self.client.clone();
        let poll_now = Arc::clone(&self.poll_now);
        tokio::spawn(async move {
            platform_writes::write_claim(client, action).await;
            poll_now.notify_one();
        });
    }

    fn heartbeat(&self) -> Heartbeat {
        heartbeat(&self.vms, self.table_version())
    }

    fn table_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |(version, _)| *version)
    }

    fn send(&self, order: Order) {
        let _ = self.orders.unbounded_send(order);
    }
}

/// Whether a row of members was read in a later era than the known one, but is one that the store
/// had before: an older copy has it. The operators write what is lost again.
fn is_older_copy(known: &Row, row: &Row) -> bool {
    let is_first_of_era = store_version::era(known.version) < store_version::era(row.version);
    row.key.starts_with(MembersRecord::PREFIX)
        && is_first_of_era
        && store_version::number(row.version) < store_version::number(known.version)
}

async fn serve_peers(listener: TcpListener, secret: String, tx: mpsc::Sender<ControlEvent>) {
    let (calls, mut incoming) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(async move {
        while let Some(call) = incoming.recv().await {
            if tx.send(ControlEvent::IncomingCall(call)).await.is_err() {
                return;
            }
        }
    });
    if let Err(error) = peers::serve(listener, secret, calls).await {
        logs::error(&format!("control listener failed: {error}"));
    }
}

fn copy(row: &Row) -> RowCopy {
    RowCopy { key: row.key.clone(), version: row.version, value: row.value.to_string() }
}

fn row(copy: RowCopy) -> Option<Row> {
    let value = serde_json::from_str(&copy.value).ok()?;
    Some(Row { key: copy.key, version: copy.version, value })
}

fn heartbeat(vms: &Vms, table: u64) -> Heartbeat {
    let own = vms.own();
    Heartbeat {
        vm: own.id.clone(),
        zone: own.zone.clone(),
        incarnation: vms.own_incarnation().0,
        control: own.control,
        forward: own.forward,
        leaving: vms.leaving(),
        table,
    }
}

fn vm_from_record(record: VmRecord) -> (Vm, bool) {
    let VmRecord { id, zone, control, forward, leaving } = record;
    (Vm { id, zone, control, forward }, leaving)
}
