use std::{net::TcpListener as StdListener, rc::Rc, sync::mpsc as std_mpsc, time::Duration};

use base::{GroupId, Rank, Span, Time};
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, StreamExt, future, future::Either};
use membership::{Place, Takeover};
use monoio::net::TcpListener;
use peers::{DaemonReport, Explanation};
use platform::MembersRecord;
use settings::Settings;
use table::RowKey;

use crate::{
    clock::Clock,
    group::{self, GroupEvent, GroupHandle, GroupSetup, GroupTask},
    metrics::Metrics,
    orders::{Order, Report},
    session::{self, Context, Origin},
    tasks::Tasks,
};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Parameters of [`DataTask::run`].
pub(crate) struct DataSetup {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    /// `VM/INCARNATION`, which identifies this run of the daemon in election records.
    pub(crate) run: String,
    pub(crate) callers: StdListener,
    pub(crate) forward: StdListener,
    pub(crate) orders: mpsc::UnboundedReceiver<Order>,
    pub(crate) reports: mpsc::UnboundedSender<Report>,
    pub(crate) ready: std_mpsc::Sender<()>,
    pub(crate) killed: async_channel::Receiver<()>,
}

/// Executes the orders of the control thread.
pub(crate) struct DataTask {
    settings: Settings,
    run: String,
    cx: Context,
    stop: Option<oneshot::Sender<()>>,
}

impl DataTask {
    /// Serves callers until the daemon stops.
    pub(crate) async fn run(setup: DataSetup) {
        let DataSetup { settings, clock, run, callers, forward, mut orders, reports, .. } = setup;
        let metrics = Rc::new(Metrics::new(settings.metrics.statsd));
        let (stop, stopping) = oneshot::channel();
        let (end_all, tasks) = Tasks::new();
        let cx = Context::new(&settings, clock, metrics, stopping.shared(), reports, tasks.clone());
        for (listener, origin) in [(callers, Origin::Caller), (forward, Origin::Daemon)] {
            match TcpListener::from_std(listener) {
                Ok(listener) => cx.tasks.spawn(session::listen(cx.clone(), listener, origin)),
                Err(error) => return logs::error(&format!("cannot accept connections: {error}")),
            }
        }
        cx.tasks.spawn(Rc::clone(&cx.accounts).sweep());
        let mut task = DataTask { settings, run, cx, stop: Some(stop) };
        let processing = std::pin::pin!(task.process_orders(&mut orders, &setup.ready));
        let killed = std::pin::pin!(setup.killed.recv());
        if let Either::Left(_) = future::select(processing, killed).await {
            logs::event("stopped", &serde_json::json!({}));
        }
        let _ = end_all.send(());
        tasks.wait().await;
    }

    async fn process_orders(
        &mut self,
        orders: &mut mpsc::UnboundedReceiver<Order>,
        ready: &std_mpsc::Sender<()>,
    ) {
        let mut reported_ready = false;
        while let Some(order) = orders.next().await {
            if matches!(order, Order::Stop) {
                break;
            }
            self.execute(order);
            if !reported_ready && self.cx.directory.borrow().is_ready() {
                reported_ready = true;
                let _ = ready.send(());
            }
        }
        let drain = std::pin::pin!(drain(self.cx.clone(), self.stop.take(), &self.settings));
        let mut drain = drain;
        loop {
            match future::select(drain, orders.next()).await {
                Either::Left(_) => return,
                Either::Right((Some(order), rest)) => {
                    drain = rest;
                    self.execute(order);
                }
                Either::Right((None, rest)) => return rest.await,
            }
        }
    }

    fn execute(&self, order: Order) {
        match order {
            Order::Table { version, table } => {
                if self.cx.directory.borrow_mut().set_table(version, table) {
                    logs::event("table", &serde_json::json!({ "version": version }));
                }
            }
            Order::TableConfirmed { asked_at } => {
                self.cx.directory.borrow_mut().confirm_table(asked_at);
            }
            Order::Members { group, record } => self.set_members(&group, record),
            Order::Leadership { group, event } => self.lead(&group, event),
            Order::Route { group, place } => self.route(&group, place),
            Order::BecameHome { group, exclusive_from, takeover } => {
                self.become_home(&group, exclusive_from, takeover);
            }
            Order::HandOver { group } => self.notify(&group, GroupEvent::HandoverStarted),
            Order::Extend { group, until } => self.notify(&group, GroupEvent::Exclusive(until)),
            Order::CheckReachability { query, answer } => {
                self.cx.tasks.spawn(async move {
                    let _ = answer.send(group::reigns(query.member, query.term).await);
                });
            }
            Order::Report { answer } => self.report(answer),
            Order::Explain { name, rank, answer } => self.explain(&name, rank, answer),
            Order::Cancel { pid, secret, answer } => {
                let cx = self.cx.clone();
                self.cx.tasks.spawn(async move {
                    let _ = answer.send(session::cancel_local(&cx, pid, secret).await);
                });
            }
            Order::Stop => {}
        }
    }

    fn lead(&self, group: &GroupId, event: leadership::Event) {
        if let leadership::Event::Record(reign) = &event {
            self.cx.directory.borrow_mut().group_mut(group).leadership_record = Some(reign.clone());
        }
        self.notify(group, GroupEvent::Leadership(event));
    }

    fn set_members(&self, group: &GroupId, record: MembersRecord) {
        self.notify(group, GroupEvent::Members(record.clone()));
        self.cx.directory.borrow_mut().group_mut(group).members = Some(record);
        self.start_if_home(group);
    }

    fn route(&self, group: &GroupId, place: Place) {
        let is_home = place == Place::Here;
        let old = {
            let mut directory = self.cx.directory.borrow_mut();
            let entry = directory.group_mut(group);
            entry.place = Some(place);
            if is_home {
                None
            } else {
                entry.became_home = None;
                entry.handle.take()
            }
        };
        if let Some(old) = old {
            old.send(GroupEvent::Retire);
        }
        self.start_if_home(group);
    }

    /// Records that this daemon holds the claim. The directory keeps this for the group's
    /// task in case it is started later, when the members are known.
    fn become_home(&self, group: &GroupId, exclusive_from: Time, takeover: Takeover) {
        let begin = Some((exclusive_from, takeover));
        self.cx.directory.borrow_mut().group_mut(group).became_home = begin;
        self.notify(group, GroupEvent::BecameHome(exclusive_from, takeover));
    }

    /// Starts the group's task if this daemon is the home, the members are known and no task
    /// runs yet.
    fn start_if_home(&self, group: &GroupId) {
        let mut directory = self.cx.directory.borrow_mut();
        let entry = directory.group_mut(group);
        if entry.place != Some(Place::Here) || entry.handle.is_some() {
            return;
        }
        let Some(record) = &entry.members else { return };
        let handle = self.start_group(group, record);
        if let Some(reign) = &entry.leadership_record {
            let event = leadership::Event::Record(reign.clone());
            handle.send(GroupEvent::Leadership(event));
        }
        handle.send(GroupEvent::Members(record.clone()));
        if let Some((exclusive_from, takeover)) = entry.became_home {
            handle.send(GroupEvent::BecameHome(exclusive_from, takeover));
        }
        entry.handle = Some(handle);
    }

    fn start_group(&self, group: &GroupId, record: &MembersRecord) -> GroupHandle {
        let setup = GroupSetup {
            group: group.clone(),
            zone: self.settings.zone.clone(),
            clock: self.cx.clock,
            metrics: Rc::clone(&self.cx.metrics),
            timing: self.settings.timing,
            limits: self.settings.limits,
            run: self.run.clone(),
            reports: self.cx.reports.clone(),
            tasks: self.cx.tasks.clone(),
        };
        GroupTask::start(setup, record)
    }

    fn report(&self, answer: oneshot::Sender<DaemonReport>) {
        let handles = self.cx.directory.borrow().handles();
        let callers = self.cx.open_sessions.get();
        self.cx.tasks.spawn(async move {
            let mut homes = Vec::new();
            for handle in handles {
                let (tx, rx) = oneshot::channel();
                handle.send(GroupEvent::Report(tx));
                homes.extend(rx.await.ok());
            }
            let _ = answer.send(DaemonReport { callers, homes, ..DaemonReport::default() });
        });
    }

    fn explain(&self, name: &str, rank: Rank, answer: oneshot::Sender<Option<Explanation>>) {
        let found = self.cx.directory.borrow().local_home(name, rank);
        let Some((group, handle, policy)) = found else {
            let _ = answer.send(None);
            return;
        };
        let name = name.to_owned();
        self.cx.tasks.spawn(async move {
            let (tx, rx) = oneshot::channel();
            let key = RowKey { name: name.clone(), rank };
            handle.send(GroupEvent::Explain(key, policy, tx));
            let lines = rx.await.ok();
            let explanation = lines.map(|lines| Explanation { name, rank, group, lines });
            let _ = answer.send(explanation);
        });
    }

    fn notify(&self, group: &GroupId, event: GroupEvent) {
        if let Some(handle) =
            self.cx.directory.borrow().group(group).and_then(|it| it.handle.as_ref())
        {
            handle.send(event);
        }
    }
}

/// Refuses new sessions and waits until the open ones have ended, for at most `stop_ms`.
async fn drain(cx: Context, stop: Option<oneshot::Sender<()>>, settings: &Settings) {
    logs::event("stopping", &serde_json::json!({ "callers": cx.open_sessions.get() }));
    if let Some(stop) = stop {
        let _ = stop.send(());
    }
    let deadline = cx.clock.now() + Span::from_millis(settings.timing.stop_ms);
    while cx.open_sessions.get() > 0 && cx.clock.now() < deadline {
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    logs::event("drained", &serde_json::json!({ "cut": cx.open_sessions.get() }));
}
