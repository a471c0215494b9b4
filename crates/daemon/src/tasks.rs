use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use futures_channel::oneshot;
use futures_util::{FutureExt, future, future::Shared};

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The tasks of the data thread, counted so that all of them can be cancelled and awaited.
#[derive(Clone, Debug)]
pub(crate) struct Tasks {
    cancelled: Shared<oneshot::Receiver<()>>,
    live: Rc<Cell<usize>>,
}

impl Tasks {
    /// Creates an empty set of tasks, which are cancelled when the sender is used or dropped.
    pub(crate) fn new() -> (oneshot::Sender<()>, Tasks) {
        let (tx, rx) = oneshot::channel();
        (tx, Tasks { cancelled: rx.shared(), live: Rc::default() })
    }

    /// Spawns a task, which runs until it completes or all tasks are cancelled.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let (cancelled, live) = (self.cancelled.clone(), Rc::clone(&self.live));
        live.set(live.get() + 1);
        monoio::spawn(async move {
            future::select(pin!(task), cancelled).await;
            live.set(live.get() - 1);
        });
    }

    /// Waits until every task has ended.
    pub(crate) async fn wait(&self) {
        while self.live.get() > 0 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
