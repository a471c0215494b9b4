//! HTTP routes of the failover call, and of the calls with which tests and the soak program
//! inject faults and read the stand-in's state.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use axum::{
    Json, Router,
    extract::State,
    http::{HeaderMap, StatusCode},
    routing::{get, post},
};
use base::Span;
use serde_json::{Value, json};

use super::{Connections, Organisation, RunStatement, platform::Platform};
use crate::clock::now;

/// Request headers that name the holder of the failover lease and its fencing token.
const HOLDER_HEADER: &str = "X-Corianderwharf-Lease-Holder";
const TOKEN_HEADER: &str = "X-Corianderwharf-Fence-Token";

/// A command of a test to the stand-in: the JSON body of `POST /standin/steer`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TestCmd {
    /// Applies a new configuration with these databases for each group.
    Configure(Vec<Vec<String>>),
    /// Makes the store answer every call with 503, or ends that if `false`.
    StoreDown(bool),
    /// Loses the replies to this number of further store transactions, which are still applied.
    LoseAnswers(u32),
    /// Discards the store's change history, so that reading changes after an older version is
    /// answered with 410.
    Forget,
    /// Copies the store's contents.
    CopyStore,
    /// Restores the store from the last copy, so that all later writes are lost. The operator and
    /// the members write again after this time, in milliseconds.
    RestoreStore(u64),
    /// Sets the replication lag of all groups, in milliseconds.
    LagMs(u64),
    /// Index of a group, and whether a primary that is replaced is cut off from the other members,
    /// so that it goes on as primary.
    Part(usize, bool),
    /// Stops a member by name.
    Crash(String),
    /// Stops the primary of a group, which is given by its index.
    CrashPrimary(usize),
    /// Starts a stopped member again, by name.
    Restart(String),
    /// Name of a member, and whether it receives nothing from its primary.
    Deaf(String, bool),
    /// Name of a member, and whether another writer replaces its entry; if `false`, the member writes
    /// its own again.
    ForeignEntry(String, bool),
    /// Name of a member, and the address under which the store lists it from now on.
    Advertise(String, SocketAddr),
    /// Replaces the organisations.
    SetOrganisations(Vec<Organisation>),
    /// Sets the databases whose callers need no key.
    SetPublic(Vec<String>),
    /// Adds a key to an organisation.
    AddKey(String, String),
    /// Takes a key away from an organisation.
    RevokeKey(String, String),
    /// Changes the rate and the burst of an organisation.
    SetLimit(String, f64, f64),
}

pub(crate) fn router(platform: Platform) -> Router {
    Router::new()
        .route("/failover", post(fail_over))
        .route("/standin/steer", post(steer))
        .route("/standin/members", get(members))
        .route("/standin/commits", get(commits))
        .route("/standin/statements", get(statements))
        .route("/standin/connections", get(connections))
        .route("/standin/primaries", get(primaries))
        .route("/standin/fence-violations", get(fence_violations))
        .with_state(platform)
}

async fn fail_over(
    State(platform): State<Platform>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> StatusCode {
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let Ok(token) = header(TOKEN_HEADER).parse() else { return StatusCode::BAD_REQUEST };
    platform.shared.record_fence(header(HOLDER_HEADER), token);
    let field = |name: &str| body[name].as_str().unwrap_or_default();
    let promoted = platform.shared.fail_over(field("service"), field("id"));
    if promoted { StatusCode::OK } else { StatusCode::CONFLICT }
}

/// Returns the version of the new configuration; for changes of organisations the time at which the
/// store had accepted it, in microseconds of the stand-in's clock; 0 for other commands.
async fn steer(State(platform): State<Platform>, Json(cmd): Json<TestCmd>) -> Json<u64> {
    let mut answer = 0;
    match cmd {
        TestCmd::Configure(databases) => answer = platform.configure(&databases),
        TestCmd::SetOrganisations(organisations) => {
            answer = platform.set_organisations(&organisations).as_micros();
        }
        TestCmd::SetPublic(databases) => {
            let names: Vec<_> = databases.iter().map(String::as_str).collect();
            answer = platform.set_public(&names).as_micros();
        }
        TestCmd::AddKey(name, key) => answer = platform.add_key(&name, &key).as_micros(),
        TestCmd::RevokeKey(name, key) => answer = platform.revoke_key(&name, &key).as_micros(),
        TestCmd::SetLimit(name, rate_per_s, burst) => {
            answer = platform.set_limit(&name, rate_per_s, burst).as_micros();
        }
        TestCmd::StoreDown(down) => platform.set_store_down(down),
        TestCmd::LoseAnswers(count) => platform.shared.store.state().faults.lose_replies = count,
        TestCmd::Forget => {
            let mut state = platform.shared.store.state();
            state.rows.discarded_version = state.rows.version;
        }
        TestCmd::CopyStore => platform.copy_store(),
        TestCmd::RestoreStore(rewrite_after_ms) => {
            platform.restore_store();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(rewrite_after_ms)).await;
                platform.rewrite();
            });
        }
        TestCmd::LagMs(millis) => {
            for group in 0..platform.shared.groups.len() {
                platform.group(group).set_lag(Span::from_millis(millis));
            }
        }
        TestCmd::Part(group, enabled) => platform.group(group).set_partitioned(now(), enabled),
        TestCmd::Crash(id) => platform.crash(&id),
        TestCmd::CrashPrimary(group) => platform.crash(&platform.primary(group)),
        TestCmd::Restart(id) => platform.restart(&id),
        TestCmd::Deaf(id, deaf) => platform.set_deaf(&id, deaf),
        TestCmd::ForeignEntry(id, true) => platform.replace_entry(&id),
        TestCmd::ForeignEntry(id, false) => platform.shared.write_entry(&id),
        TestCmd::Advertise(id, addr) => platform.advertise(&id, addr),
    }
    Json(answer)
}

async fn members(State(platform): State<Platform>) -> Json<Vec<(String, SocketAddr)>> {
    Json(platform.shared.members())
}

/// Statements that members have run.
async fn statements(State(platform): State<Platform>) -> Json<Vec<RunStatement>> {
    Json(platform.statements())
}

/// Connections to each member.
async fn connections(State(platform): State<Platform>) -> Json<BTreeMap<String, Connections>> {
    Json(platform.connections())
}

/// Names of the groups' primaries, in the order of the groups.
async fn primaries(State(platform): State<Platform>) -> Json<Vec<String>> {
    Json((0..platform.shared.groups.len()).map(|group| platform.primary(group)).collect())
}

/// Failover calls whose fencing token was lower than an earlier one, or that of another holder.
async fn fence_violations(State(platform): State<Platform>) -> Json<Vec<String>> {
    Json(platform.fence_violations())
}

/// For each group, the requests whose commits are in the primary's log (`kept`) and those whose
/// commits a failover has discarded (`lost`), each with its number of writes.
async fn commits(State(platform): State<Platform>) -> Json<Value> {
    let groups = (0..platform.shared.groups.len()).map(|index| {
        let group = platform.group(index);
        let requests = |commits: &[super::Commit]| -> Vec<_> {
            commits.iter().map(|it| (it.request.clone(), it.writes.len())).collect()
        };
        json!({"kept": requests(group.commits()), "lost": requests(group.lost())})
    });
    Json(groups.collect())
}
