use std::{sync::Arc, time::Duration};

use base::store_version;
use platform::{Client, PlatformError, Row, TablePointer};
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, mpsc};

use crate::{clock::Clock, control::control_event::ControlEvent};

const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Every how many polls of the rows the VM list is read, too.
const POLLS_PER_VM_LIST: u32 = 4;

/// Polls the platform's table service and VM list for changes.
pub(crate) struct Watch {
    client: Client,
    clock: Clock,
    poll_interval: Duration,
    poll_now: Arc<Notify>,
    tx: mpsc::Sender<ControlEvent>,
    rng: rand_chacha::ChaCha12Rng,
    revision: u64,
    table_version: u64,
    /// The pointer to the operators' table as last read.
    pointer: Option<TablePointer>,
}

impl Watch {
    /// Creates a watch that polls every `poll_interval`, and at once when `poll_now` is
    /// notified.
    pub(crate) fn new(
        client: Client,
        clock: Clock,
        poll_interval: Duration,
        poll_now: Arc<Notify>,
        tx: mpsc::Sender<ControlEvent>,
    ) -> Watch {
        let rng = rand_chacha::ChaCha12Rng::from_os_rng();
        Watch {
            client,
            clock,
            poll_interval,
            poll_now,
            tx,
            rng,
            revision: 0,
            table_version: 0,
            pointer: None,
        }
    }

    /// Polls until the future is dropped. While the platform fails, the interval doubles up to
    /// [`MAX_RETRY_DELAY`].
    pub(crate) async fn run(mut self) {
        let mut delay = self.poll_interval;
        let mut polls = 0;
        loop {
            let result = self.poll(polls % POLLS_PER_VM_LIST == 0).await;
            delay = match result {
                Ok(()) => self.poll_interval,
                Err(error) => {
                    logs::warn(&format!("polling the platform failed: {error}"));
                    (delay * 2).min(MAX_RETRY_DELAY)
                }
            };
            polls += 1;
            let jitter = self.rng.random_range(0.75..1.25);
            tokio::select! {
                () = tokio::time::sleep(delay.mul_f64(jitter)) => {}
                () = self.poll_now.notified() => {}
            }
        }
    }

    async fn poll(&mut self, with_vms: bool) -> Result<(), PlatformError> {
        let asked_at = self.clock.now();
        let changed = self.client.rows(self.revision).await?;
        for row in changed.rows.iter().filter(|row| row.key == TablePointer::KEY) {
            self.fetch_table(row).await?;
        }
        self.revision = changed.revision;
        let era = store_version::era(self.revision);
        let is_table_current = self.pointer.as_ref().is_some_and(|it| it.is_current(era));
        self.send(ControlEvent::Polled { asked_at, rows: changed, is_table_current }).await;
        if with_vms {
            let vms = self.client.vms().await?;
            self.send(ControlEvent::Vms(vms)).await;
        }
        Ok(())
    }

    async fn fetch_table(&mut self, row: &Row) -> Result<(), PlatformError> {
        let pointer: TablePointer = row.record()?;
        self.pointer = Some(pointer.clone());
        if pointer.version <= self.table_version {
            return Ok(());
        }
        let Some(text) = self.client.object(&pointer.object).await? else {
            let message = format!("object {} is missing", pointer.object);
            return Err(PlatformError::Unavailable { message });
        };
        self.table_version = pointer.version;
        self.send(ControlEvent::Table { version: pointer.version, text }).await;
        Ok(())
    }

    async fn send(&self, event: ControlEvent) {
        let _ = self.tx.send(event).await;
    }
}
