use std::time::Duration;

use base::Rank;
use peers::{DaemonClient, DaemonReport, Explanation};
use platform::{Client, VmRecord};

use crate::error::CtlError;

const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// The daemons that the platform lists.
#[derive(Debug)]
pub struct Fleet {
    vms: Vec<VmRecord>,
    secret: String,
}

impl Fleet {
    /// Reads the platform's list.
    pub async fn new(client: &Client, secret: String) -> Result<Fleet, CtlError> {
        Ok(Fleet { vms: client.vms().await?, secret })
    }

    /// What each daemon knows; `None` for one that does not answer.
    pub async fn reports(&self) -> Vec<(VmRecord, Option<DaemonReport>)> {
        let asked: Vec<_> = self
            .vms
            .iter()
            .map(|vm| {
                let mut caller = DaemonClient::new(vm.control, self.secret.clone());
                (vm.clone(), tokio::spawn(async move { caller.report().await.ok() }))
            })
            .collect();
        let mut reports = Vec::new();
        for (vm, asked) in asked {
            reports.push((vm, asked.await.ok().flatten()));
        }
        reports
    }

    /// Waits until every daemon has `version` of the table in force, at most for
    /// `limit`; the version of each.
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
            let done = versions.iter().all(|(_, at)| at.is_some_and(|at| at >= version));
            if done || tokio::time::Instant::now() >= deadline {
                return versions;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// What the home of a name's group would choose now.
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
