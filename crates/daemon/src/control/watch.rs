use std::{sync::Arc, time::Duration};

use platform::{Client, PlatformError, Row, TablePointer};
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, mpsc};

use crate::{clock::Clock, control::inbound::Inbound};

const MAX_BACKOFF: Duration = Duration::from_secs(4);
const VM_LIST_EVERY: u32 = 4;

/// Watches the platform's table service and VM list for changes.
pub(crate) struct Watch {
    client: Client,
    clock: Clock,
    poll: Duration,
    now: Arc<Notify>,
    tx: mpsc::Sender<Inbound>,
    rng: rand_chacha::ChaCha12Rng,
    revision: u64,
    table_version: u64,
}

impl Watch {
    /// A watch that looks every `poll`, and at once when `now` is notified.
    pub(crate) fn new(
        client: Client,
        clock: Clock,
        poll: Duration,
        now: Arc<Notify>,
        tx: mpsc::Sender<Inbound>,
    ) -> Watch {
        let rng = rand_chacha::ChaCha12Rng::from_os_rng();
        Watch { client, clock, poll, now, tx, rng, revision: 0, table_version: 0 }
    }

    /// Looks again and again, less often while the platform fails.
    pub(crate) async fn run(mut self) {
        let mut pause = self.poll;
        let mut looks = 0;
        loop {
            let looked = self.look(looks % VM_LIST_EVERY == 0).await;
            pause = match looked {
                Ok(()) => self.poll,
                Err(error) => {
                    logs::warn(&format!("watching the platform: {error}"));
                    (pause * 2).min(MAX_BACKOFF)
                }
            };
            looks += 1;
            let jitter = self.rng.random_range(0.75..1.25);
            tokio::select! {
                () = tokio::time::sleep(pause.mul_f64(jitter)) => {}
                () = self.now.notified() => {}
            }
        }
    }

    async fn look(&mut self, with_vms: bool) -> Result<(), PlatformError> {
        let asked_at = self.clock.now();
        let changed = self.client.rows(self.revision).await?;
        for row in changed.rows.iter().filter(|row| row.key == TablePointer::KEY) {
            self.fetch_table(row).await?;
        }
        self.revision = changed.revision;
        self.tell(Inbound::Looked { asked_at, rows: changed.rows }).await;
        if with_vms {
            let vms = self.client.vms().await?;
            self.tell(Inbound::Vms(vms)).await;
        }
        Ok(())
    }

    async fn fetch_table(&mut self, row: &Row) -> Result<(), PlatformError> {
        let pointer: TablePointer = row.record()?;
        if pointer.version <= self.table_version {
            return Ok(());
        }
        let Some(text) = self.client.object(&pointer.object).await? else {
            let message = format!("object {} is missing", pointer.object);
            return Err(PlatformError::Unavailable { message });
        };
        self.table_version = pointer.version;
        self.tell(Inbound::Table { version: pointer.version, text }).await;
        Ok(())
    }

    async fn tell(&self, inbound: Inbound) {
        let _ = self.tx.send(inbound).await;
    }
}
