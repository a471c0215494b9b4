use std::{sync::Arc, time::Duration};

use adapter::{CallError, StoreClient};
use futures_channel::mpsc;
use rand::Rng;

use crate::{
    clock,
    control::{coordination::STATE_TABLE, event::Event},
    shared::{Counter, Shared},
};

/// How long the store may hold a feed request open. A dead connection is noticed one
/// second after this, still within the time in which a configuration must take effect.
const FEED_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The same for a passive daemon, which relays to carriers. It can be longer, since an
/// outdated list of carriers is noticed when they do not answer.
const PASSIVE_FEED_TIMEOUT: Duration = Duration::from_millis(20_000);
/// Pause of a passive daemon between two requests, so that a burst of changes costs each
/// of the many daemons one request.
const PASSIVE_PAUSE: Duration = Duration::from_millis(2_000);
/// How often a passive daemon checks whether it has become active.
const PASSIVE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Range of the delay after a failed request. It is random, so that a store that recovers
/// does not receive the requests of all daemons at once.
const RETRY_DELAY_MS: std::ops::Range<u64> = 120..400;

/// Follows the changes of a table of the store until the process ends.
pub(crate) async fn follow(
    store: StoreClient,
    table: &'static str,
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut after = None;
    loop {
        while table != STATE_TABLE && after.is_some() && shared.is_passive() {
            tokio::time::sleep(PASSIVE_CHECK_INTERVAL).await;
            if !shared.is_passive() {
                after = None;
            }
        }
        let passive = shared.is_passive();
        if passive {
            tokio::time::sleep(PASSIVE_PAUSE).await;
        }
        let wait = if passive { PASSIVE_FEED_TIMEOUT } else { FEED_TIMEOUT };
        let asked_at = clock::now();
        shared.count(Counter::StoreCalls);
        let (result, complete) = match after {
            None => (store.rows(table).await, true),
            Some(version) => (store.feed(table, version, wait).await, false),
        };
        match result {
            Ok(rows) => {
                after = Some(rows.version);
                if events.unbounded_send(Event::Rows { table, rows, complete, asked_at }).is_err() {
                    return;
                }
            }
            Err(error) => {
                shared.count(Counter::StoreFailures);
                if matches!(error, CallError::HistoryGone) {
                    after = None;
                }
                let gone = matches!(error, CallError::HistoryGone);
                if events.unbounded_send(Event::StoreFailed { table, error }).is_err() {
                    return;
                }
                if !gone {
                    let pause = rand::rng().random_range(RETRY_DELAY_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }
}
