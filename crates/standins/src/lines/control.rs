//! The failover call, and the calls by which tests and the soak steer this stand-in.

use std::net::SocketAddr;

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, post},
};
use base::Span;
use serde_json::{Value, json};

use super::platform::Platform;
use crate::clock::now;

/// An order to this stand-in.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TestCmd {
    /// Databases of each group.
    Configure(Vec<Vec<String>>),
    /// Whether the store refuses every call.
    StoreDown(bool),
    /// Further writes to the store that are done and not answered.
    LoseAnswers(u32),
    /// The store forgets its history.
    Forget,
    /// Replicas of all groups apply commits so many milliseconds late.
    LagMs(u64),
    /// Whether replaced primaries of a group hear of nothing.
    Part(usize, bool),
    /// A member ends.
    Crash(String),
    /// The member that leads a group ends.
    CrashPrimary(usize),
    /// A member that has ended starts again.
    Restart(String),
    /// A member is reached at another address from now on.
    Advertise(String, SocketAddr),
}

pub(crate) fn router(platform: Platform) -> Router {
    Router::new()
        .route("/failover", post(fail_over))
        .route("/standin/steer", post(steer))
        .route("/standin/members", get(members))
        .route("/standin/commits", get(commits))
        .route("/standin/primaries", get(primaries))
        .with_state(platform)
}

async fn fail_over(State(platform): State<Platform>, Json(body): Json<Value>) -> StatusCode {
    let text = |name: &str| body[name].as_str().unwrap_or_default();
    let led = platform.shared.fail_over(text("service"), text("id"));
    if led { StatusCode::OK } else { StatusCode::CONFLICT }
}

async fn steer(State(platform): State<Platform>, Json(order): Json<TestCmd>) -> Json<u64> {
    let mut version = 0;
    match order {
        TestCmd::Configure(databases) => version = platform.configure(&databases),
        TestCmd::StoreDown(down) => platform.set_store_down(down),
        TestCmd::LoseAnswers(count) => platform.shared.store.state().faults.lose_replies = count,
        TestCmd::Forget => {
            let mut state = platform.shared.store.state();
            state.rows.forgotten = state.rows.version;
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
        TestCmd::Advertise(id, addr) => platform.shared.advertise(&id, addr),
    }
    Json(version)
}

async fn members(State(platform): State<Platform>) -> Json<Vec<(String, SocketAddr)>> {
    Json(platform.shared.members())
}

/// The member that leads each group.
async fn primaries(State(platform): State<Platform>) -> Json<Vec<String>> {
    Json((0..platform.shared.groups.len()).map(|group| platform.primary(group)).collect())
}

/// For each group the requests whose commits the primary's log holds, with the number of
/// writes, and those that a change of primary has cut off.
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
