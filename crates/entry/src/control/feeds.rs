//! Reads the store: all rows of a table at first, then its changes.

use std::{ops::Range, sync::Arc, time::Duration};

use adapter::{CallError, MEMBERS_TABLE, OPERATOR_TABLE, StoreClient};
use futures_channel::mpsc;
use futures_util::{StreamExt, future, stream::FuturesUnordered};
use rand::Rng;
use succession::{Feed, FollowedTables};
use tokio::{sync::watch, time};

use crate::{
    clock,
    control::{coordination::STATE_TABLE, event::Event},
    shared::{Counter, Shared},
};

/// How long the store may hold a request of [`Feed::On`] open. A dead connection is noticed one
/// second after this, still within the time in which a configuration must take effect.
const FEED_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Pause after each response of [`Feed::On`], so that changes in quick succession, as when members
/// or carriers start, cost one request each time and not one each.
const FEED_PAUSE: Duration = Duration::from_millis(60);
/// How long the store may hold a request of [`Feed::Slow`] open. Long, since an outdated list of carriers is noticed
/// when they do not answer.
const SLOW_FEED_TIMEOUT: Duration = Duration::from_millis(20_000);
/// Pause between two requests of [`Feed::Slow`], so that a burst of changes costs each of the
/// many daemons one request.
const SLOW_FEED_PAUSE: Duration = Duration::from_millis(2_000);
/// Range of the delay after a failed request. It is random, so that a store that recovers
/// does not receive the requests of all daemons at once.
const RETRY_DELAY_MS: Range<u64> = 120..400;
/// Range of the interval between the first reads after the start, of which several may be
/// unanswered at a time: a store that comes back while VMs start answers a new connection at
/// once, but not one that was opened before.
const FIRST_READ_INTERVAL_MS: Range<u64> = 150..250;
/// Limit of first reads that are unanswered at a time.
const MAX_FIRST_READS: usize = 5;

/// Follows the store's tables until the process ends. The other tables are read once the store
/// has returned the state table.
pub(crate) async fn follow_all(
    store: StoreClient,
    shared: Arc<Shared>,
    followed: watch::Receiver<FollowedTables>,
    events: mpsc::UnboundedSender<Event>,
) {
    let first = first_read(&store, &shared, &events).await;
    let Event::Rows { rows, .. } = &first else { return };
    let version = rows.version;
    if events.unbounded_send(first).is_err() {
        return;
    }
    let follower = |table| Follower {
        table,
        store: store.clone(),
        shared: Arc::clone(&shared),
        followed: followed.clone(),
        events: events.clone(),
    };
    for table in [OPERATOR_TABLE, MEMBERS_TABLE] {
        tokio::spawn(follower(table).run(None));
    }
    follower(STATE_TABLE).run(Some(version)).await;
}

/// Reads the state table for the first time. Repeats the call while it is not answered, without
/// waiting for its time limit.
async fn first_read(
    store: &StoreClient,
    shared: &Shared,
    events: &mpsc::UnboundedSender<Event>,
) -> Event {
    let mut reads = FuturesUnordered::new();
    loop {
        if reads.len() < MAX_FIRST_READS {
            shared.count(Counter::StoreCalls);
            reads.push(async {
                let asked_at = clock::now();
                (asked_at, store.rows(STATE_TABLE).await)
            });
        }
        let answered = async {
            while let Some((asked_at, result)) = reads.next().await {
                match result {
                    Ok(rows) => {
                        return Event::Rows { table: STATE_TABLE, rows, complete: true, asked_at };
                    }
                    Err(error) => {
                        shared.count(Counter::StoreFailures);
                        // Fails only during shutdown.
                        let _ =
                            events.unbounded_send(Event::StoreFailed { table: STATE_TABLE, error });
                    }
                }
            }
            future::pending().await
        };
        let interval = Duration::from_millis(rand::rng().random_range(FIRST_READ_INTERVAL_MS));
        if let Ok(event) = time::timeout(interval, answered).await {
            return event;
        }
    }
}

/// Follows one table.
struct Follower {
    table: &'static str,
    store: StoreClient,
    shared: Arc<Shared>,
    followed: watch::Receiver<FollowedTables>,
    events: mpsc::UnboundedSender<Event>,
}

impl Follower {
    /// Follows the changes of the table after a version, or from its current rows on. Ends only
    /// during shutdown.
    async fn run(mut self, mut after: Option<u64>) {
        loop {
            let feed = self.feed();
            if feed == Feed::Off {
                if self.followed.changed().await.is_err() {
                    return;
                }
                // The rows of the state table were kept current by other means, those of the
                // other tables were not.
                if self.table != STATE_TABLE {
                    after = None;
                }
                continue;
            }
            if after.is_some() {
                time::sleep(if feed == Feed::Slow { SLOW_FEED_PAUSE } else { FEED_PAUSE }).await;
                // Carriers may have answered during the pause.
                if self.feed() != feed {
                    continue;
                }
            }
            let wait = if feed == Feed::Slow { SLOW_FEED_TIMEOUT } else { FEED_TIMEOUT };
            let asked_at = clock::now();
            self.shared.count(Counter::StoreCalls);
            let (table, complete) = (self.table, after.is_none());
            let result = match after {
                None => self.store.rows(table).await,
                Some(version) => self.store.feed(table, version, wait).await,
            };
            let event = match result {
                Ok(rows) => {
                    after = Some(rows.version);
                    Event::Rows { table, rows, complete, asked_at }
                }
                Err(error) => {
                    self.shared.count(Counter::StoreFailures);
                    if matches!(error, CallError::HistoryGone) {
                        after = None;
                    } else {
                        let pause = rand::rng().random_range(RETRY_DELAY_MS);
                        time::sleep(Duration::from_millis(pause)).await;
                    }
                    Event::StoreFailed { table, error }
                }
            };
            if self.events.unbounded_send(event).is_err() {
                return;
            }
        }
    }

    fn feed(&mut self) -> Feed {
        let followed = *self.followed.borrow_and_update();
        match self.table {
            OPERATOR_TABLE => followed.operator,
            MEMBERS_TABLE => followed.members,
            _ => followed.state,
        }
    }
}
