use std::time::Duration;

use base::Rank;
use peers::{DaemonClient, DaemonReport, Explanation};
use platform::{Client, VmRecord};

use crate::error::CtlError;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Client of all daemons that the platform lists.
#[derive(Debug)]
pub struct Fleet {
    vms: Vec<VmRecord>,
    secret: String,
}

impl Fleet {
    /// Reads the list of daemons from the platform. `secret` is the one that the daemons
    /// share.
    pub async fn new(client: &Client, secret: String) -> Result<Fleet, CtlError> {
        Ok(Fleet { vms: client.vms().await?, secret })
    }

    /// Queries every daemon for its report, concurrently. The report is `None` for a daemon
    /// that does not answer.
    pub async fn reports(&self) -> Vec<(VmRecord, Option<DaemonReport>)> {
        let pending: Vec<_> = self
            .vms
            .iter()
            .map(|vm| {
                let mut caller = DaemonClient::new(vm.control, self.secret.clone());
                (vm.clone(), tokio::spawn(async move { caller.report().await.ok() }))
            })
            .collect();
        let mut reports = Vec::new();
        for (vm, pending) in pending {
            reports.push((vm, pending.await.ok().flatten()));
        }
        reports
    }

    /// Waits until every daemon has applied at least `version` of the table, or `limit` has
    /// passed. Returns the version that each daemon has applied, `None` for a daemon that
    /// does not answer.
    pub async fn wait_for_table(
        &self,
        version: u64,
        limit: Duration,
    ) -> Vec<(VmRecord, Option<u64>)> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let reports = self.reports().await;
            let versions: Vec<(VmRecord, Option<u64>)> = reports
                .into_iter()
                .map(|(vm, report)| (vm, report.map(|report| report.table)))
                .collect();
            let applied_everywhere =
                versions.iter().all(|(_, at)| at.is_some_and(|at| at >= version));
            if applied_everywhere || tokio::time::Instant::now() >= deadline {
                return versions;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how the home of the named database's group would route a request of this
    /// rank now. The first daemon that knows the answer is used.
    pub async fn explain(&self, name: &str, rank: Rank) -> Result<Explanation, CtlError> {
        for vm in &self.vms {
            let mut caller = DaemonClient::new(vm.control, self.secret.clone());
            if let Ok(Some(explanation)) = caller.explain(name, rank).await {
                return Ok(explanation);
            }
        }
        Err(CtlError::NoDaemon { what: format!("explain {name:?} {rank}") })
    }
}
