use std::{io, net::TcpListener as StdListener, rc::Rc, sync::Arc, time::Duration};

use base::{Span, Time};
use futures_channel::mpsc;
use futures_util::StreamExt;
use monoio::{net::TcpListener, time};

use crate::{
    clock,
    control::Event,
    data::{
        context::{Context, Ends},
        session,
    },
    messages::{Order, Report},
    shared::Shared,
};

/// How often deadlines of waiting requests are looked at.
const TICK: Duration = Duration::from_millis(20);
/// How long after SIGTERM sessions are still accepted and kept: the platform needs
/// two missed probes, a second apart, to send new ones elsewhere.
const KEEP_SESSIONS: Span = Span::from_millis(2_500);
/// Between the last accepted session and the end of idle ones, so that the last ones
/// can say what they want.
const LAST_REQUESTS: Span = Span::from_millis(150);
/// Time before the process ends from which busy sessions end after an answer: longer than
/// any but the slowest statements take.
const LAST_ANSWERS: Span = Span::from_millis(1_200);
/// Time left before the process is killed by which it has ended.
const END_MARGIN: Span = Span::from_millis(400);

/// What the data thread needs.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) vm: String,
    pub(crate) grace: Span,
    pub(crate) listener: StdListener,
    pub(crate) orders: mpsc::UnboundedReceiver<Order>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) shared: Arc<Shared>,
}

/// Serves callers until the control thread ends.
///
/// # Errors
///
/// If the address for callers cannot be listened on.
pub(crate) async fn run(setup: Setup) -> io::Result<()> {
    let Setup { vm, grace, listener, mut orders, events, shared } = setup;
    let (cx, ends) = Context::new(vm, shared, events);
    let (cx, mut ends) = (Rc::new(cx), Some(ends));
    let listener = TcpListener::from_std(listener)?;
    monoio::spawn(session::listen(Rc::clone(&cx), listener));
    monoio::spawn(tick(Rc::clone(&cx)));
    while let Some(order) = orders.next().await {
        match order {
            Order::Stop => {
                if let Some(ends) = ends.take() {
                    monoio::spawn(end(Rc::clone(&cx), ends, grace));
                }
            }
            order => carry_out(&cx, order),
        }
    }
    Ok(())
}

fn carry_out(cx: &Rc<Context>, order: Order) {
    match order {
        Order::Config(config) => *cx.config.borrow_mut() = Some(config),
        Order::Members { group, members } => cx.group(&group).set_members(members),
        Order::Shares { group, shares } => cx.group(&group).set_shares(shares),
        Order::SetPrimary { group, lead, planned, version } => {
            cx.group(&group).set_lead(lead, planned, version);
        }
        Order::Carriers { is_carrier, session_addrs } => {
            cx.carries.set(is_carrier);
            *cx.choices.borrow_mut() = session_addrs;
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
        time::sleep(TICK).await;
        let groups: Vec<_> = cx.groups.borrow().values().cloned().collect();
        for group in groups {
            group.tick();
        }
    }
}

/// Ends sessions step by step, then the process.
async fn end(cx: Rc<Context>, ends: Ends, grace: Span) {
    let began = clock::now();
    let half = Span::from_micros(grace.as_micros() / 2);
    let last = Span::from_micros(grace.as_micros().saturating_sub(END_MARGIN.as_micros()));
    sleep_until(began + KEEP_SESSIONS.min(half)).await;
    drop(ends.accepting);
    sleep_until(began + KEEP_SESSIONS.min(half) + LAST_REQUESTS).await;
    drop(ends.sessions);
    sleep_until(began + half).await;
    drop(ends.all);
    let last_answers = Span::from_micros(last.as_micros().saturating_sub(LAST_ANSWERS.as_micros()));
    sleep_until(began + last_answers.max(half)).await;
    cx.last_answers.set(true);
    while cx.sessions.get() > 0 && clock::now() < began + last {
        time::sleep(TICK).await;
    }
    // Fails only if the control thread has ended already.
    let _ = cx.events.unbounded_send(Event::Data(Report::SessionsEnded));
}

async fn sleep_until(at: Time) {
    while clock::now() < at {
        time::sleep(TICK).await;
    }
}
