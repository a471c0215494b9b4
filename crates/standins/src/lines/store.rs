use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use super::{
    platform::now,
    rows::{Place, Rows, Transaction},
};

/// How often a feed looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// How long a call hangs whose answer is lost.
const LOST_FOR: Duration = Duration::from_secs(3);

/// The platform's store, in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    state: Arc<Mutex<StoreState>>,
}

/// Rows, and how the store misbehaves.
#[derive(Debug, Default)]
pub(crate) struct StoreState {
    pub(crate) rows: Rows,
    /// Whether every call is answered with 503.
    pub(crate) down: bool,
    /// Writes yet to come that are done and not answered.
    pub(crate) lost_answers: u32,
}

impl Store {
    pub(crate) fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operator or a member does; `None` drops it.
    pub(crate) fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let place = (table.to_owned(), key.to_owned());
        let transaction = match value {
            Some(value) => Transaction {
                set: vec![(place, STANDARD.encode(value.to_string()))],
                ..Transaction::default()
            },
            None => Transaction { delete: vec![place], ..Transaction::default() },
        };
        // Without conditions it always applies.
        let _ = self.state().rows.apply(transaction);
    }

    /// The calls that daemons make.
    pub(crate) fn router(self) -> Router {
        Router::new()
            .route("/rows-get", get(rows_get))
            .route("/rows-feed", get(rows_feed))
            .route("/rows-tx", post(rows_tx))
            .with_state(self)
    }
}

fn row((key, value, version): (&str, Option<&str>, u64), table: &str) -> Value {
    json!({"table": table, "part": "", "key": key, "value": value, "ver": version,
        "tombstone": value.is_none()})
}

fn page(rows: Vec<Value>, version: u64) -> Response {
    // A clock that has just started would count as none.
    let clock = now().as_micros() / 1_000 + 1;
    Json(json!({"rows": rows, "more_pages": false, "ver": version, "now_ms": clock}))
        .into_response()
}

async fn rows_get(
    State(store): State<Store>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    let state = store.state();
    let Some(table) = query.get("table") else { return StatusCode::BAD_REQUEST.into_response() };
    if state.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let rows = state.rows.of(table).into_iter().map(|it| row(it, table));
    page(rows.collect(), state.rows.version)
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
    let mut waited = Duration::ZERO;
    loop {
        {
            let state = store.state();
            if state.down {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            if after < state.rows.forgotten {
                return StatusCode::GONE.into_response();
            }
            let rows = state.rows.after(table, after);
            if !rows.is_empty() || waited >= Duration::from_millis(wait) {
                let rows = rows.into_iter().map(|it| row(it, table)).collect();
                return page(rows, state.rows.version);
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
        waited += LOOK_EVERY;
    }
}

async fn rows_tx(State(store): State<Store>, Json(body): Json<Value>) -> Response {
    let Some(transaction) = transaction(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let lost = {
        let mut state = store.state();
        if state.down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let Some(version) = state.rows.apply(transaction) else {
            return (StatusCode::PRECONDITION_FAILED, Json(json!({"rows": []}))).into_response();
        };
        if state.lost_answers == 0 {
            return page(Vec::new(), version);
        }
        state.lost_answers -= 1;
        LOST_FOR
    };
    tokio::time::sleep(lost).await;
    StatusCode::GATEWAY_TIMEOUT.into_response()
}

fn transaction(body: &Value) -> Option<Transaction> {
    let place = |entry: &Value| -> Option<Place> {
        Some((entry["table"].as_str()?.to_owned(), entry["key"].as_str()?.to_owned()))
    };
    let entries = |name: &str| body[name].as_array().map_or(&[][..], Vec::as_slice);
    let expect = |entry: &Value| Some((place(entry)?, entry["ver"].as_u64()?));
    let set = |entry: &Value| Some((place(entry)?, entry["value"].as_str()?.to_owned()));
    Some(Transaction {
        expect: entries("expect").iter().map(expect).collect::<Option<_>>()?,
        set: entries("set_keys").iter().map(set).collect::<Option<_>>()?,
        delete: entries("delete_keys").iter().map(place).collect::<Option<_>>()?,
    })
}
