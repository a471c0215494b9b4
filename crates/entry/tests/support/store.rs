use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::StatusCode,
    routing::{get, post},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

/// How often a feed looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Called with the member that should lead; whether it can.
pub type FailOver = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// The platform's store, in memory, with the failover call beside it.
#[derive(Clone, Default)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    down: Arc<Mutex<bool>>,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value (`None` if dropped) and version by table and key.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

impl Store {
    /// Serves the store on a port of its own.
    pub async fn serve(self, fail_over: FailOver) -> SocketAddr {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the set-up of the test works");
        let addr = listener.local_addr().expect("the set-up of the test works");
        let promote = post(move |Json(body): Json<Value>| {
            let led = fail_over(body["id"].as_str().expect("the set-up of the test works"));
            async move { if led { StatusCode::OK } else { StatusCode::CONFLICT } }
        });
        let app = Router::new()
            .route("/rows-get", get(rows_get))
            .route("/rows-feed", get(rows_feed))
            .route("/rows-tx", post(rows_tx))
            .route("/failover", promote)
            .with_state(self);
        tokio::spawn(async move { axum::serve(listener, app).await });
        addr
    }

    /// Writes a row as the operator or a member does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.rows.lock().expect("nobody panicked");
        rows.version += 1;
        let version = rows.version;
        let text = STANDARD.encode(value.to_string());
        rows.rows.insert((table.to_owned(), key.to_owned()), (Some(text), version));
    }

    /// Number of rows of a table whose keys begin so.
    pub fn count(&self, table: &str, prefix: &str) -> usize {
        let rows = self.rows.lock().expect("nobody panicked");
        let found = rows.of(table, None);
        found
            .iter()
            .filter(|row| {
                row["key"].as_str().expect("the set-up of the test works").starts_with(prefix)
            })
            .count()
    }

    /// Whether every call is answered with 503 from now on.
    pub fn set_down(&self, down: bool) {
        *self.down.lock().expect("nobody panicked") = down;
    }

    fn is_down(&self) -> bool {
        *self.down.lock().expect("nobody panicked")
    }
}

impl Rows {
    fn of(&self, table: &str, after: Option<u64>) -> Vec<Value> {
        let rows = self.rows.iter().filter(|((of, _), (value, version))| {
            of == table && after.map_or(value.is_some(), |after| *version > after)
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_, (_, version))| if after.is_some() { *version } else { 0 });
        let row =
            |((table, key), (value, version)): (&(String, String), &(Option<String>, u64))| {
                json!({"table": table, "part": "", "key": key, "value": value, "ver": version,
                "tombstone": value.is_none()})
            };
        rows.into_iter().map(row).collect()
    }
}

/// The store's steady clock.
fn clock_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64 + 1
}

type Answer = Result<Json<Value>, (StatusCode, Json<Value>)>;

fn refuse(status: StatusCode) -> Answer {
    Err((status, Json(json!({}))))
}

async fn rows_get(
    State(store): State<Store>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Answer {
    if store.is_down() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    let rows = store.rows.lock().expect("nobody panicked");
    let found = rows.of(&query["table"], None);
    Ok(Json(json!({"rows": found, "more_pages": false, "ver": rows.version, "now_ms": clock_ms()})))
}

async fn rows_feed(
    State(store): State<Store>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Answer {
    let after: u64 = query["after"].parse().expect("the set-up of the test works");
    let wait: u64 = query["wait_ms"].parse().expect("the set-up of the test works");
    let mut waited = Duration::ZERO;
    loop {
        if store.is_down() {
            return refuse(StatusCode::SERVICE_UNAVAILABLE);
        }
        {
            let rows = store.rows.lock().expect("nobody panicked");
            let found = rows.of(&query["table"], Some(after));
            if !found.is_empty() || waited >= Duration::from_millis(wait) {
                return Ok(Json(json!({"rows": found, "ver": rows.version, "now_ms": clock_ms()})));
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
        waited += LOOK_EVERY;
    }
}

async fn rows_tx(State(store): State<Store>, Json(body): Json<Value>) -> Answer {
    if store.is_down() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut rows = store.rows.lock().expect("nobody panicked");
    let place = |entry: &Value| {
        let text =
            |name: &str| entry[name].as_str().expect("the set-up of the test works").to_owned();
        (text("table"), text("key"))
    };
    for entry in body["expect"].as_array().expect("the set-up of the test works") {
        let found = rows.rows.get(&place(entry)).filter(|(value, _)| value.is_some());
        if found.map_or(0, |(_, version)| *version)
            != entry["ver"].as_u64().expect("the set-up of the test works")
        {
            return refuse(StatusCode::PRECONDITION_FAILED);
        }
    }
    rows.version += 1;
    let version = rows.version;
    for entry in body["set_keys"].as_array().expect("the set-up of the test works") {
        let value = entry["value"].as_str().expect("the set-up of the test works").to_owned();
        rows.rows.insert(place(entry), (Some(value), version));
    }
    for entry in body["delete_keys"].as_array().expect("the set-up of the test works") {
        rows.rows.insert(place(entry), (None, version));
    }
    Ok(Json(json!({"ver": version, "now_ms": clock_ms()})))
}
