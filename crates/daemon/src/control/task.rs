use std::{
    net::TcpListener,
    sync::{Arc, atomic},
    time::Duration,
};

use base::{FastMap, GroupId, Span, Zone};
use futures_channel::{mpsc as orders_mpsc, oneshot};
use futures_util::StreamExt;
use membership::{HomeAction, Homes, HomesConfig, Incarnation, Vm, Vms};
use peers::{
    DaemonClient, DaemonReport, Heartbeat, IncomingCall, Reachability, ReachabilityQuery, RowCopy,
};
use platform::{Client, MembersRecord, PrimaryRecord, Row, VmRecord};
use settings::Settings;
use table::Table;
use tokio::sync::{Notify, mpsc};

use crate::{
    clock::Clock,
    control::{
        inbound::Inbound,
        neighbours::Neighbours,
        platform_writes,
        records::{self, HomeRecord},
        watch::Watch,
    },
    orders::{Order, Report},
};

const TICK: Duration = Duration::from_millis(50);
const INBOX: usize = 256;
const PEER_PATIENCE: Span = Span::from_millis(1_000);
const TRUST: Span = Span::from_millis(2_000);
const SETTLE: Span = Span::from_millis(300);

/// What the control task needs.
pub(crate) struct ControlSetup {
    pub(crate) settings: Settings,
    pub(crate) own: Vm,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) listener: TcpListener,
    pub(crate) orders: orders_mpsc::UnboundedSender<Order>,
    pub(crate) reports: orders_mpsc::UnboundedReceiver<Report>,
    /// Number of groups whose claim this daemon holds and could hand over.
    pub(crate) held: Arc<atomic::AtomicUsize>,
}

/// The control task.
pub(crate) struct Control {
    clock: Clock,
    secret: String,
    client: Client,
    vms: Vms,
    homes: Homes,
    neighbours: Neighbours,
    table: Option<(u64, String)>,
    rows: FastMap<String, Row>,
    look_now: Arc<Notify>,
    orders: orders_mpsc::UnboundedSender<Order>,
    held: Arc<atomic::AtomicUsize>,
    tx: mpsc::Sender<Inbound>,
}

impl Control {
    /// Runs the control task for ever.
    pub(crate) async fn run(setup: ControlSetup) {
        let ControlSetup { settings, own, incarnation, clock, listener, orders, mut reports, held } =
            setup;
        let (tx, mut rx) = mpsc::channel(INBOX);
        let look_now = Arc::new(Notify::new());
        let client = Client::new(settings.platform);
        let poll = Duration::from_millis(settings.timing.poll_ms);
        let watch = Watch::new(client.clone(), clock, poll, Arc::clone(&look_now), tx.clone());
        tokio::spawn(watch.run());
        tokio::spawn(serve_peers(listener, settings.peer_secret.clone(), tx.clone()));
        let vms = Vms::new(own, incarnation, PEER_PATIENCE);
        let neighbours = Neighbours::new(
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
            homes: Homes::new(HomesConfig { exclusivity_period: TRUST, startup_delay: SETTLE }),
            neighbours,
            table: None,
            rows: FastMap::default(),
            look_now,
            orders,
            held,
            tx,
        };
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                Some(inbound) = rx.recv() => control.hear(inbound),
                Some(report) = reports.next() => control.carry_out(report),
                _ = ticks.tick() => {}
            }
            control.decide();
        }
    }

    fn hear(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Looked { asked_at, rows } => {
                self.take_in_all(rows);
                let mut actions = Vec::new();
                self.homes.confirmed(&self.vms, asked_at, &mut actions);
                self.act(actions);
            }
            Inbound::Reread { group, rows } => self.reread(&group, rows),
            Inbound::Leadership { group, event } => {
                self.send(Order::Leadership { group, event });
            }
            Inbound::Copied(copies) => self.take_in_all(copies.into_iter().filter_map(row)),
            Inbound::Table { version, text } => self.set_table(version, text),
            Inbound::Vms(list) => {
                self.vms.apply_platform_list(list.into_iter().map(listed));
                self.neighbours.follow(&self.vms);
            }
            Inbound::IncomingCall(call) => self.answer(call),
            Inbound::Heard(heartbeat) => self.heard(heartbeat),
            Inbound::Gone(vm) => self.vms.gone(&vm),
        }
    }

    /// Takes in rows that are newer than those known.
    ///
    /// Claims come first: a daemon that has lost its claim must retire before it
    /// learns of the reign that its successor recorded.
    fn take_in_all(&mut self, rows: impl IntoIterator<Item = Row>) {
        let is_claim = |row: &Row| row.key.starts_with(HomeRecord::PREFIX);
        let (claims, others): (Vec<Row>, Vec<Row>) = rows.into_iter().partition(is_claim);
        self.take_in_newer(claims);
        self.decide();
        self.take_in_newer(others);
    }

    fn take_in_newer(&mut self, rows: Vec<Row>) {
        for row in rows {
            let known = self.rows.get(&row.key).map_or(0, |known| known.version);
            if known >= row.version {
                continue;
            }
            if let Err(error) = self.take_in(&row) {
                logs::warn(&format!("row {}: {error}", row.key));
            }
            self.rows.insert(row.key.clone(), row);
        }
    }

    /// Takes in a group's reign and claim, read in this order, known or not.
    fn reread(&mut self, group: &GroupId, rows: Vec<Row>) {
        let reign = rows.iter().find(|row| row.key.starts_with(PrimaryRecord::PREFIX)).cloned();
        self.take_in_all(rows);
        let event = reign.and_then(|row| records::reign(&row).ok());
        let event = event.map_or(leadership::Event::ReadFailed, leadership::Event::Record);
        self.send(Order::Leadership { group: group.clone(), event });
    }

    fn take_in(&mut self, row: &Row) -> Result<(), platform::PlatformError> {
        if let Some(group) = row.key.strip_prefix(MembersRecord::PREFIX) {
            let group = GroupId::new(group);
            self.homes.add(&group);
            let record = row.record()?;
            self.send(Order::Members { group, record });
        } else if let Some(group) = row.key.strip_prefix(PrimaryRecord::PREFIX) {
            let event = leadership::Event::Record(records::reign(row)?);
            self.send(Order::Leadership { group: GroupId::new(group), event });
        } else if let Some(group) = row.key.strip_prefix(HomeRecord::PREFIX) {
            self.homes.observe_claim(&GroupId::new(group), records::claim(row)?);
        }
        Ok(())
    }

    /// Puts a table in force unless a higher version is.
    fn set_table(&mut self, version: u64, text: String) {
        if self.table.as_ref().is_some_and(|(known, _)| *known >= version) {
            return;
        }
        match Table::parse(&text) {
            Ok(table) => {
                self.send(Order::Table { version, table: Arc::new(table) });
                self.table = Some((version, text));
            }
            Err(error) => logs::error(&format!("table version {version}: {error}")),
        }
    }

    fn heard(&mut self, heartbeat: Heartbeat) {
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
        self.neighbours.follow(&self.vms);
    }

    /// Learns a newer table from the daemon that has it, platform or not.
    fn fetch_table(&self, heartbeat: &Heartbeat) {
        let mut caller = DaemonClient::new(heartbeat.control, self.secret.clone());
        let tx = self.tx.clone();
        tokio::spawn(async move {
            if let Ok(Some((version, text))) = caller.table().await {
                let _ = tx.send(Inbound::Table { version, text }).await;
            }
        });
    }

    /// Learns groups, primaries and homes from a daemon that knows them, for a
    /// start while the platform is down.
    fn fetch_rows(&self, heartbeat: &Heartbeat) {
        let mut caller = DaemonClient::new(heartbeat.control, self.secret.clone());
        let tx = self.tx.clone();
        tokio::spawn(async move {
            if let Ok(copies) = caller.rows().await {
                let _ = tx.send(Inbound::Copied(copies)).await;
            }
        });
    }

    fn answer(&mut self, call: IncomingCall) {
        match call {
            IncomingCall::Heartbeat(heartbeat, tx) => {
                self.heard(heartbeat);
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

    fn carry_out(&mut self, report: Report) {
        match report {
            Report::CheckReachability { group, addr, term } => {
                self.ask_opinion(group, ReachabilityQuery { member: addr, term });
            }
            Report::WriteLeadershipRecord { group, expected, record } => {
                tokio::spawn(platform_writes::write_reign(
                    self.client.clone(),
                    self.vms.own().id.clone(),
                    (group, expected, record),
                    self.tx.clone(),
                ));
            }
            Report::ReadLeadershipRecord { group } => {
                tokio::spawn(platform_writes::read_reign(
                    self.client.clone(),
                    group,
                    self.tx.clone(),
                ));
            }
            Report::Cancel { pid, secret } => self.cancel_elsewhere(pid, secret),
            Report::Leave => self.vms.set_leaving(),
        }
    }

    /// Asks a daemon of another zone, or of the own if there is no other.
    fn ask_opinion(&self, group: GroupId, query: ReachabilityQuery) {
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
            let reachable = reachable.map(|opinion| opinion == Reachability::Reachable);
            let event = leadership::Event::ReachabilityChecked { reachable };
            let _ = orders.unbounded_send(Order::Leadership { group, event });
        });
    }

    fn cancel_elsewhere(&self, pid: i32, secret: i32) {
        let now = self.clock.now();
        for vm in self.vms.others().filter(|vm| self.vms.is_alive(now, &vm.id)) {
            let mut caller = DaemonClient::new(vm.control, self.secret.clone());
            tokio::spawn(async move {
                let _ = caller.cancel(pid, secret).await;
            });
        }
    }

    fn decide(&mut self) {
        let mut actions = Vec::new();
        self.homes.decide(self.clock.now(), &self.vms, &mut actions);
        self.act(actions);
        self.neighbours.say(self.heartbeat());
        let successors = self.vms.candidates(self.clock.now()).count();
        let held = if successors > 0 { self.homes.held_count(&self.vms) } else { 0 };
        self.held.store(held, atomic::Ordering::Relaxed);
    }

    fn act(&self, actions: Vec<HomeAction>) {
        for action in actions {
            match action {
                HomeAction::Claim { .. } => self.claim(action),
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

    fn claim(&self, action: HomeAction) {
        let client = self.client.clone();
        let look_now = Arc::clone(&self.look_now);
        tokio::spawn(async move {
            platform_writes::write_claim(client, action).await;
            look_now.notify_one();
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

async fn serve_peers(listener: TcpListener, secret: String, tx: mpsc::Sender<Inbound>) {
    let (calls, mut inbox) = mpsc::channel(INBOX);
    tokio::spawn(async move {
        while let Some(call) = inbox.recv().await {
            if tx.send(Inbound::IncomingCall(call)).await.is_err() {
                return;
            }
        }
    });
    if let Err(error) = peers::serve(listener, secret, calls).await {
        logs::error(&format!("listening for other daemons: {error}"));
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

fn listed(record: VmRecord) -> (Vm, bool) {
    let VmRecord { id, zone, control, forward, leaving } = record;
    (Vm { id, zone, control, forward }, leaving)
}
