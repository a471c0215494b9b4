//! Tests of the daemon process while members whose logs hold acknowledged commits are not listed.

mod support;

use std::{thread, time::Duration};

use base::Span;
use standins::lines::{Options, Platform};
use support::{Client, Daemon, DaemonOptions, client, databases, eventually, wait_for_writes};

/// Time in which a daemon learns which members hold the commits.
const OBSERVED: Duration = Duration::from_millis(3_000);
/// Longer than a failover takes after the daemons' start.
const ABSENCE: Duration = Duration::from_millis(8_000);
/// The same, if the failover has to wait until grants of carriers that do not answer have expired.
const LONG_ABSENCE: Duration = Duration::from_millis(20_000);
/// Longest time that the users allow until requests are served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// A group whose commits one replica must have received. The second replica receives nothing.
struct Deployment {
    platform: Platform,
    daemon: Daemon,
}

impl Deployment {
    fn start(ip: &str) -> Deployment {
        let options = Options {
            groups: vec!["svc1".to_owned()],
            databases: databases(&["orders", "lookups"]),
            sync_replicas: 1,
            lag: Span::ZERO,
        };
        let platform = Platform::start(&options).expect("test setup failed");
        let daemon =
            DaemonOptions { zones: &["a", "b"], ..DaemonOptions::new("d1", ip, platform.addr) };
        let daemon = daemon.start();
        daemon.wait_ready();
        wait_for_writes(&daemon);
        thread::sleep(OBSERVED);
        Deployment { platform, daemon }
    }

    /// Writes while the second member receives nothing, then stops the others, whose entries lapse.
    fn write_and_lose_members(&self) {
        self.platform.set_deaf("svc1-m2", true);
        assert!(client(&self.daemon, "orders").query("STORE order oak").result.is_ok());
        self.platform.crash("svc1-m1");
        self.platform.crash("svc1-m3");
    }

    fn wait_for_write(&self) {
        eventually(RECOVERY_TIMEOUT, "a write", || {
            let session = Client::connect(self.daemon.callers, "orders").ok();
            let answer = session.and_then(|mut it| it.try_query("STORE other x"));
            answer.is_some_and(|answer| answer.result.is_ok())
        });
    }

    fn return_members(&self) {
        self.platform.restart("svc1-m1");
        self.platform.restart("svc1-m3");
        self.platform.set_deaf("svc1-m2", false);
    }

    /// Checks that nobody is promoted while the members are away, and that the commit is there once
    /// they are back.
    fn check_that_commits_are_kept(&self, absence: Duration) {
        thread::sleep(absence);
        assert_eq!(self.platform.promotions(0), 0, "a member without the commit was promoted");
        self.return_members();
        self.wait_for_write();
        assert_eq!(self.platform.item(0, "order").as_deref(), Some("oak"));
    }
}

/// Guards against a promotion without acknowledged commits by daemons that started after the entries of
/// the members with the commits had lapsed (review/6).
#[test]
fn daemons_that_were_killed_wait_for_members_that_they_have_never_seen() {
    let mut deployment = Deployment::start("127.0.21.1");
    deployment.write_and_lose_members();
    deployment.daemon.kill();
    deployment.daemon.wait();
    deployment.daemon.start_again();
    deployment.check_that_commits_are_kept(ABSENCE);
}

/// Guards against the same loss after a planned stop.
#[test]
fn daemons_that_were_stopped_wait_for_members_that_they_have_never_seen() {
    let mut deployment = Deployment::start("127.0.21.2");
    deployment.write_and_lose_members();
    deployment.daemon.terminate();
    deployment.daemon.wait();
    deployment.daemon.start_again();
    deployment.check_that_commits_are_kept(ABSENCE);
}

/// Guards against the same loss if other VMs replace those that knew the members.
#[test]
fn daemons_of_new_vms_wait_for_members_that_they_have_never_seen() {
    let mut deployment = Deployment::start("127.0.21.3");
    deployment.write_and_lose_members();
    deployment.daemon.kill();
    deployment.daemon.wait();
    let daemon = DaemonOptions::new("d2", "127.0.21.4", deployment.platform.addr);
    deployment.daemon = DaemonOptions { zones: &["b", "a"], ..daemon }.start();
    deployment.check_that_commits_are_kept(LONG_ABSENCE);
}

/// Guards against the same loss if the store has come back from a copy that is older than the record of
/// the members.
#[test]
fn daemons_that_know_only_an_older_copy_promote_no_member_that_may_lack_commits() {
    let mut deployment = Deployment::start("127.0.21.5");
    // The copy lacks what the daemon has recorded.
    deployment.platform.delete_row("corianderwharf", "replicas/svc1");
    deployment.platform.copy_store();
    deployment.write_and_lose_members();
    deployment.daemon.kill();
    deployment.daemon.wait();
    deployment.platform.restore_store();
    deployment.platform.rewrite();
    deployment.daemon.start_again();
    deployment.check_that_commits_are_kept(LONG_ABSENCE);
}

/// Guards against the same loss without a restart, once a member has been away for long.
#[test]
fn a_member_that_stays_away_is_waited_for_until_the_operator_gives_it_up() {
    let deployment = Deployment::start("127.0.21.6");
    deployment.write_and_lose_members();
    thread::sleep(Duration::from_secs(34));
    assert_eq!(deployment.platform.promotions(0), 0, "a member without the commit was promoted");
    let listing = deployment.daemon.run_command(&["--replicas"]);
    assert!(listing.contains("svc1 svc1-m3 127.0.0.1:"), "{listing}");
    deployment.daemon.run_command(&["--give-up", "svc1", "--member", "svc1-m3"]);
    eventually(RECOVERY_TIMEOUT, "a promotion", || deployment.platform.primary(0) == "svc1-m2");
    // A commit needs a replica.
    deployment.platform.restart("svc1-m1");
    deployment.wait_for_write();
}
