use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, Query, Request, State},
    http::{HeaderValue, StatusCode},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use super::{
    counts::Counts,
    faults::Faults,
    rows::{Rows, StoreKey, StoreTransaction},
};
use crate::clock::now;

/// Interval at which a waiting feed checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a call hangs whose reply is lost. It exceeds the clients' time-out.
const LOST_REPLY_DELAY: Duration = Duration::from_millis(1_200);

/// The platform's store, in memory. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    state: Arc<Mutex<StoreState>>,
}

/// Response header with the era, which rises by one each time that the store is restored.
const ERA_HEADER: &str = "Store-Era";
/// Era of a store that has never been restored.
const FIRST_ERA: u64 = 1;

/// Contents, faults and counters of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreState {
    pub(crate) rows: Rows,
    objects: BTreeMap<String, Bytes>,
    /// Number of times that the store has been restored from an older copy.
    era: u64,
    /// Copy to restore, taken by [`Store::take_copy`].
    copy: (Rows, BTreeMap<String, Bytes>),
    pub(crate) faults: Faults,
    counts: Counts,
}

impl Store {
    pub(crate) fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row without conditions, as the operator or a member does; `None` deletes it.
    pub(crate) fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let text = value.map(Value::to_string);
        self.put_bytes(table, key, text.as_deref().map(str::as_bytes));
    }

    /// Writes a row with any content, or deletes it.
    pub(crate) fn put_bytes(&self, table: &str, key: &str, value: Option<&[u8]>) {
        let place = (table.to_owned(), key.to_owned());
        let transaction = match value {
            Some(value) => StoreTransaction {
                set: vec![(place, STANDARD.encode(value))],
                ..StoreTransaction::default()
            },
            None => StoreTransaction { delete: vec![place], ..StoreTransaction::default() },
        };
        // A transaction without conditions cannot fail.
        let _ = self.state().rows.apply(transaction);
    }

    /// Copies the present contents, for a later [`Store::restore`].
    pub(crate) fn take_copy(&self) {
        let mut state = self.state();
        state.copy = (state.rows.clone(), state.objects.clone());
    }

    /// Replaces the contents with the last copy; what was written since is lost, and its versions
    /// are assigned again. The clock goes on.
    pub(crate) fn restore(&self) {
        let mut state = self.state();
        (state.rows, state.objects) = state.copy.clone();
        state.era += 1;
    }

    /// Writes an object, as the operator does.
    pub(crate) fn put_object(&self, id: &str, text: &str) {
        self.state().objects.insert(id.to_owned(), Bytes::copy_from_slice(text.as_bytes()));
    }

    /// Routes of the calls that daemons and operators make, which faults apply to, and of the calls
    /// with which tests set the faults and read the counters.
    pub(crate) fn router(self) -> Router {
        let faulty = Router::new()
            .route("/rows-get", get(rows_get))
            .route("/rows-feed", get(rows_feed))
            .route("/rows-tx", post(rows_tx))
            .route("/blob-get/{id}", get(object))
            .route("/blob-put/{id}", put(put_object))
            .layer(middleware::from_fn_with_state(self.clone(), inject_faults));
        Router::new()
            .route("/faults", get(faults).put(put_faults))
            .route("/counts", get(counts))
            .route("/copy", put(put_copy))
            .route("/restore", put(put_restore))
            .merge(faulty)
            .with_state(self)
    }
}

async fn inject_faults(State(store): State<Store>, req: Request, next: Next) -> Response {
    let faults = store.state().faults;
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.down {
        store.state().counts.refused += 1;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let era = store.state().era;
    let mut res = next.run(req).await;
    if store.state().era != era {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    res.headers_mut().insert(ERA_HEADER, HeaderValue::from(FIRST_ERA + era));
    res
}

fn row((key, value, version): (&str, Option<&str>, u64), table: &str) -> Value {
    json!({"table": table, "part": "", "key": key, "value": value, "ver": version,
        "tombstone": value.is_none()})
}

fn page(rows: Vec<Value>, version: u64) -> Response {
    // Plus one, because clients take 0 for a missing time and the clock starts at 0.
    let clock = now().as_micros() / 1_000 + 1;
    Json(json!({"rows": rows, "more_pages": false, "ver": version, "now_ms": clock}))
        .into_response()
}

async fn rows_get(
    State(store): State<Store>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    let mut state = store.state();
    state.counts.reads += 1;
    let Some(table) = query.get("table") else { return StatusCode::BAD_REQUEST.into_response() };
    let in_range = |key: &str| {
        let after = query.get("from").is_none_or(|from| key >= from.as_str());
        after && query.get("target").is_none_or(|target| key < target.as_str())
    };
    let rows = state.rows.existing(table).into_iter().filter(|(key, _, _)| in_range(key));
    page(rows.map(|it| row(it, table)).collect(), state.rows.version)
}

async fn rows_feed(
    State(store): State<Store>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    let number = |name| query.get(name).and_then(|text: &String| text.parse::<u64>().ok());
    let (Some(table), Some(after), Some(wait)) =
        (query.get("table"), number("after"), number("wait_ms"))
    else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    store.state().counts.reads += 1;
    let mut waited = Duration::ZERO;
    loop {
        {
            let state = store.state();
            if state.faults.down {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            if after < state.rows.discarded_version || after > state.rows.version {
                return StatusCode::GONE.into_response();
            }
            let rows = state.rows.after(table, after);
            if !rows.is_empty() || waited >= Duration::from_millis(wait) {
                let rows = rows.into_iter().map(|it| row(it, table)).collect();
                return page(rows, state.rows.version);
            }
        }
        tokio::time::sleep(FEED_POLL_INTERVAL).await;
        waited += FEED_POLL_INTERVAL;
    }
}

async fn rows_tx(State(store): State<Store>, Json(body): Json<Value>) -> Response {
    let Some(transaction) = parse_transaction(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let lost = {
        let mut state = store.state();
        state.counts.writes += 1;
        let Some(version) = state.rows.apply(transaction) else {
            return (StatusCode::PRECONDITION_FAILED, Json(json!({"rows": []}))).into_response();
        };
        if state.faults.lose_replies == 0 {
            return page(Vec::new(), version);
        }
        state.faults.lose_replies -= 1;
        LOST_REPLY_DELAY
    };
    tokio::time::sleep(lost).await;
    StatusCode::GATEWAY_TIMEOUT.into_response()
}

async fn object(State(store): State<Store>, Path(id): Path<String>) -> Response {
    let mut state = store.state();
    state.counts.reads += 1;
    match state.objects.get(&id) {
        Some(bytes) => bytes.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put_object(State(store): State<Store>, Path(id): Path<String>, body: Bytes) -> StatusCode {
    let mut state = store.state();
    state.counts.writes += 1;
    state.objects.insert(id, body);
    StatusCode::OK
}

async fn faults(State(store): State<Store>) -> Json<Faults> {
    Json(store.state().faults)
}

async fn put_faults(State(store): State<Store>, Json(faults): Json<Faults>) -> StatusCode {
    store.state().faults = faults;
    StatusCode::NO_CONTENT
}

async fn put_copy(State(store): State<Store>) -> StatusCode {
    store.take_copy();
    StatusCode::NO_CONTENT
}

async fn put_restore(State(store): State<Store>) -> StatusCode {
    store.restore();
    StatusCode::NO_CONTENT
}

async fn counts(State(store): State<Store>) -> Json<Counts> {
    Json(store.state().counts)
}

fn parse_transaction(body: &Value) -> Option<StoreTransaction> {
    let place = |entry: &Value| -> Option<StoreKey> {
        Some((entry["table"].as_str()?.to_owned(), entry["key"].as_str()?.to_owned()))
    };
    let entries = |name: &str| body[name].as_array().map_or(&[][..], Vec::as_slice);
    let expect = |entry: &Value| Some((place(entry)?, entry["ver"].as_u64()?));
    let set = |entry: &Value| Some((place(entry)?, entry["value"].as_str()?.to_owned()));
    Some(StoreTransaction {
        expect: entries("expect").iter().map(expect).collect::<Option<_>>()?,
        set: entries("set_keys").iter().map(set).collect::<Option<_>>()?,
        delete: entries("delete_keys").iter().map(place).collect::<Option<_>>()?,
    })
}
