use std::{io, net::TcpListener as StdListener, rc::Rc, sync::Arc, time::Duration};

use adapter::QuotaBounds;
use base::{Span, Time};
use futures_channel::mpsc;
use futures_util::StreamExt;
use monoio::{net::TcpListener, time};

use crate::{
    clock,
    control::Event,
    data::{
        context::{Context, KeyPolicy, StopSignals},
        session,
    },
    messages::{Order, Report},
    shared::Shared,
};

/// Interval at which deadlines of waiting requests are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after SIGTERM for which sessions are still accepted and idle ones kept. The platform
/// sends new sessions elsewhere only after two failed probes, which are a second apart.
const ACCEPT_AFTER_STOP: Span = Span::from_millis(2_500);
/// Time between the last accepted session and the closing of idle sessions, so that the last
/// accepted ones can send their first request.
const LAST_REQUEST_WAIT: Span = Span::from_millis(150);
/// Time before the end of the process from which busy sessions are closed after their current
/// reply. All but the slowest statements take less.
const CLOSE_BUSY_LEAD_TIME: Span = Span::from_millis(1_200);
/// Time before the end of the process at which what still waits is answered: queued requests are
/// refused, and the answers of other carriers are not awaited any more. Several times the interval at
/// which sessions notice it.
const ANSWER_LEAD_TIME: Span = Span::from_millis(300);
/// Margin between the end of the process and the end of the grace period, when the platform
/// kills it.
const KILL_MARGIN: Span = Span::from_millis(400);

/// Parameters of the data thread.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) vm: String,
    pub(crate) grace: Span,
    pub(crate) listener: StdListener,
    pub(crate) orders: mpsc::UnboundedReceiver<Order>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) keys: KeyPolicy,
    pub(crate) quota: QuotaBounds,
    /// What callers may use.
    pub(crate) limits: budget::Limits,
}

/// Serves callers until the control thread ends.
///
/// # Errors
///
/// If the listener cannot be registered with the runtime.
pub(crate) async fn run(setup: Setup) -> io::Result<()> {
    let Setup { vm, grace, listener, mut orders, events, shared, keys, quota, limits } = setup;
    let (cx, signals) = Context::new(vm, shared, events, keys, quota, limits);
    let (cx, mut signals) = (Rc::new(cx), Some(signals));
    let listener = TcpListener::from_std(listener)?;
    monoio::spawn(session::listen(Rc::clone(&cx), listener));
    monoio::spawn(tick(Rc::clone(&cx)));
    monoio::spawn(Rc::clone(&cx.accounts).sweep());
    while let Some(order) = orders.next().await {
        match order {
            Order::Stop => {
                if let Some(signals) = signals.take() {
                    monoio::spawn(shut_down(Rc::clone(&cx), signals, grace));
                }
            }
            order => apply_order(&cx, order),
        }
    }
    Ok(())
}

fn apply_order(cx: &Rc<Context>, order: Order) {
    match order {
        Order::Config(config) => {
            let version = config.version;
            cx.set_config(config);
            cx.apply_quota_limits();
            cx.shared.outgoing_load().clear_limits();
            // Fails only during shutdown, when the control thread is gone.
            let _ = cx.events.unbounded_send(Event::Data(Report::ConfigApplied { version }));
        }
        Order::Members { group, members } => cx.group(&group).set_members(members),
        Order::Shares { group, shares } => cx.group(&group).set_shares(shares),
        Order::SetPrimary { group, lead, planned, version } => {
            cx.group(&group).set_primary(lead, planned, version);
        }
        Order::Carriers(choice) => cx.set_carriers(choice),
        Order::CarrierLoad { sessions, asked_at, report } => {
            cx.shedding.borrow_mut().record(asked_at, sessions, &report);
        }
        Order::Evacuate(evacuate) => {
            logs::event("evacuation", &serde_json::json!({"evacuate": evacuate}));
            cx.evacuate.set(evacuate);
        }
        Order::Stop => {}
    }
}

async fn tick(cx: Rc<Context>) {
    loop {
        time::sleep(TICK_INTERVAL).await;
        let mut standstill = cx.standstill.get();
        standstill.observe(clock::now());
        cx.standstill.set(standstill);
        let groups: Vec<_> = cx.groups.borrow().values().cloned().collect();
        for group in groups {
            group.tick();
        }
    }
}

/// Shuts down in steps within the grace period: stops accepting sessions, closes idle
/// sessions, rolls back transactions left open, closes busy sessions after their current
/// reply, and reports the end to the control thread.
async fn shut_down(cx: Rc<Context>, signals: StopSignals, grace: Span) {
    let requested_at = clock::now();
    let half = Span::from_micros(grace.as_micros() / 2);
    let end_after = Span::from_micros(grace.as_micros().saturating_sub(KILL_MARGIN.as_micros()));
    let answer_after =
        Span::from_micros(end_after.as_micros().saturating_sub(ANSWER_LEAD_TIME.as_micros()));
    cx.answer_by.set(Some(requested_at + answer_after));
    sleep_until(requested_at + ACCEPT_AFTER_STOP.min(half)).await;
    drop(signals.accepting);
    sleep_until(requested_at + ACCEPT_AFTER_STOP.min(half) + LAST_REQUEST_WAIT).await;
    drop(signals.sessions);
    sleep_until(requested_at + half).await;
    drop(signals.transactions);
    // The next request of such a session could still wait at its carrier when this process ends.
    cx.close_relayed_after_reply.set(true);
    let close_busy_after =
        Span::from_micros(end_after.as_micros().saturating_sub(CLOSE_BUSY_LEAD_TIME.as_micros()));
    sleep_until(requested_at + close_busy_after.max(half)).await;
    cx.close_after_reply.set(true);
    while cx.sessions.get() > 0 && clock::now() < requested_at + end_after {
        if cx.must_answer() {
            let groups: Vec<_> = cx.groups.borrow().values().cloned().collect();
            groups.iter().for_each(|group| group.refuse_waiting());
        }
        time::sleep(TICK_INTERVAL).await;
    }
    // Fails only if the control thread is already gone.
    let _ = cx.events.unbounded_send(Event::Data(Report::SessionsEnded));
}

async fn sleep_until(at: Time) {
    while clock::now() < at {
        time::sleep(TICK_INTERVAL).await;
    }
}
