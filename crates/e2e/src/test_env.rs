use std::{net::SocketAddr, time::Duration};

use peers::GroupReport;
use trial::{LocalCluster, Options, PEER_SECRET, TABLE_HEADER};

use crate::{caller::Caller, faults::FaultInjector, platform::PlatformHandle};

/// Cells that require acknowledgement by the primary only and accept data up to an hour old, so
/// that a test can delay replication for its whole duration.
const RELAXED: &str = "1,0,0,0,0,0,3600000,primary";

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Value of the setting `patience_ms`. It is higher than the default because all tests run
/// concurrently on one machine.
const PATIENCE_MS: u64 = 1_200;
/// Value of the setting `suspect_after_ms`, raised for the same reason.
const SUSPECT_AFTER_MS: u64 = 1_500;

/// A running cluster and the transcript of its callers' requests.
pub struct TestEnv {
    /// The daemons and stand-ins of this test.
    pub cluster: LocalCluster,
    transcript: String,
}

impl TestEnv {
    /// Starts a cluster with timeouts that suit concurrent tests.
    pub fn start(options: &Options) -> TestEnv {
        let _ = logs::init(options.log);
        let mut options = options.clone();
        options.timing.patience_ms = PATIENCE_MS;
        options.timing.suspect_after_ms = SUSPECT_AFTER_MS;
        let cluster = LocalCluster::start(&options).expect("a cluster starts on free ports");
        TestEnv { cluster, transcript: String::new() }
    }

    /// A table with relaxed consistency for the three names of the first group and one name of
    /// the second.
    pub fn relaxed_table() -> String {
        let mut table = format!("{TABLE_HEADER}\n");
        for name in ["orders", "pedidos", "base-prensa-1"] {
            for rank in ["submission", "lookup", "report"] {
                table.push_str(&format!("{name},{rank},base-prensa-1,{RELAXED}\n"));
            }
        }
        table.push_str(&format!("press-runs,lookup,base-prensa-2,{RELAXED}\n"));
        table
    }

    /// A table with two names for the first group: submissions of `limited` may start at one a
    /// second, those of `unlimited` at any rate.
    pub fn table_with_rate_limit(limited: &str, unlimited: &str) -> String {
        let mut table = format!("{TABLE_HEADER}\n");
        for (name, per_second) in [(limited, "1"), (unlimited, "0")] {
            for rank in ["submission", "lookup", "report"] {
                table.push_str(&format!(
                    "{name},{rank},base-prensa-1,1,0,0,{per_second},0,0,0,replica\n"
                ));
            }
        }
        table
    }

    /// Connects a caller to a daemon, numbered from 1.
    pub async fn caller(&self, daemon: usize, user: &str, name: &str) -> Caller {
        let addr = self.cluster.addrs()[daemon - 1];
        let label = format!("{user}@{daemon}/{name}");
        Caller::connect(addr, &label, user, name, "").await.expect("a session opens")
    }

    /// Connects a caller to a daemon, numbered from 1, with start-up options.
    pub async fn caller_with_options(
        &self,
        daemon: usize,
        user: &str,
        name: &str,
        options: &str,
    ) -> Caller {
        let addr = self.cluster.addrs()[daemon - 1];
        let label = format!("{user}@{daemon}/{name}");
        Caller::connect(addr, &label, user, name, options).await.expect("a session opens")
    }

    /// Runs a request and appends the request and its answer to the transcript.
    pub async fn query(&mut self, caller: &Caller, sql: &str) -> String {
        let answer = caller.run(sql).await;
        self.record(&format!("{}> {sql}\n{answer}", caller.label()));
        answer
    }

    /// Appends a line to the transcript.
    pub fn record(&mut self, line: &str) {
        self.transcript.push_str(line);
        if !line.ends_with('\n') {
            self.transcript.push('\n');
        }
    }

    /// The requests, answers and notes recorded so far.
    pub fn transcript(&self) -> &str {
        &self.transcript
    }

    /// Sets a fault of a member; the meaning of `value` depends on the fault.
    pub async fn set_fault(&self, member: &str, fault: &str, value: u64) {
        let addr = self.member(member);
        FaultInjector::connect(addr).await.set(fault, value).await;
    }

    /// Connects a caller to a member directly, without a daemon.
    pub async fn direct(&self, member: &str) -> Caller {
        let addr = self.member(member);
        Caller::connect(addr, member, "direct", "direct", "")
            .await
            .expect("the member accepts connections")
    }

    /// Returns the number, from 1, of the daemon that is a group's home according to the
    /// platform.
    pub async fn home(&self, group: &str) -> usize {
        let record = self.platform().row(&format!("homes/{group}")).await;
        let vm = record["vm"].as_str().unwrap_or_default();
        let number = vm.strip_prefix("entry-").and_then(|number| number.parse().ok());
        number.expect("a home")
    }

    /// Waits until a daemon, numbered from 1, is the group's home and its report of the group
    /// satisfies `wanted`.
    pub async fn wait_for_report(
        &self,
        daemon: usize,
        group: &str,
        wanted: impl Fn(&GroupReport) -> bool,
    ) {
        let addr = self.cluster.control(daemon - 1);
        let mut caller = peers::DaemonClient::new(addr, PEER_SECRET.to_owned());
        loop {
            let report = caller.report().await;
            let homes = report.map(|report| report.homes).unwrap_or_default();
            if homes.iter().any(|it| it.group.as_str() == group && wanted(it)) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a daemon, numbered from 1, refuses new sessions.
    pub async fn wait_until_refusing(&self, daemon: usize) {
        let addr = self.cluster.addrs()[daemon - 1];
        while Caller::connect(addr, "", "new", "orders", "").await.is_ok() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// A client of the cluster's platform.
    pub fn platform(&self) -> PlatformHandle {
        PlatformHandle::new(self.cluster.platform())
    }

    fn member(&self, member: &str) -> SocketAddr {
        self.cluster.member(member).expect("a member of the deployment")
    }
}
