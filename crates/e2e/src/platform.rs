use std::{net::SocketAddr, time::Duration};

use platform::{Client, Condition, Row, Write};
use serde_json::Value;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A client of the platform's stand-in that injects faults and inspects its data.
pub struct PlatformHandle {
    base_url: String,
    http: reqwest::Client,
    client: Client,
}

impl PlatformHandle {
    /// Creates a client of the stand-in at `addr`.
    pub fn new(addr: SocketAddr) -> PlatformHandle {
        let (base_url, http) = (format!("http://{addr}"), reqwest::Client::new());
        PlatformHandle { base_url, http, client: Client::new(addr) }
    }

    /// Sets the active faults: a JSON object with the optional keys `down`, `slow_ms` and
    /// `lose_replies`.
    pub async fn faults(&self, faults: Value) {
        let req = self.http.put(format!("{}/faults", self.base_url)).json(&faults);
        req.send().await.expect("the platform answers");
    }

    /// Copies the store's contents.
    pub async fn copy(&self) {
        self.put("copy").await;
    }

    /// Replaces the store's contents with the last copy, so that all later writes are lost.
    pub async fn restore(&self) {
        self.put("restore").await;
    }

    async fn put(&self, path: &str) {
        let req = self.http.put(format!("{}/{path}", self.base_url));
        req.send().await.expect("the platform answers");
    }

    /// Returns the value of an existing row.
    pub async fn row(&self, key: &str) -> Value {
        self.fetch_row(key).await.value
    }

    /// Returns the number of reads and writes so far.
    pub async fn counts(&self) -> (u64, u64) {
        let counts: Value = self.get("counts").await;
        let number = |key: &str| counts[key].as_u64().unwrap_or_default();
        (number("reads"), number("writes"))
    }

    /// Waits until the platform, during an outage, has refused `count` more requests.
    pub async fn wait_for_refusals(&self, count: u64) {
        let refused = || async {
            let counts: Value = self.get("counts").await;
            counts["refused"].as_u64().unwrap_or_default()
        };
        let before = refused().await;
        while refused().await < before + count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Updates an existing row at its current version.
    pub async fn update_row(&self, key: &str, update: impl FnOnce(&mut Value)) {
        let Row { key, version, mut value } = self.fetch_row(key).await;
        update(&mut value);
        let conditions = [Condition { key: key.clone(), version }];
        let writes = [Write { key, value }];
        self.client.transact(&conditions, &writes).await.expect("no concurrent change of the row");
    }

    async fn fetch_row(&self, key: &str) -> Row {
        self.client.row(key).await.expect("the platform answers").expect("the row exists")
    }

    async fn get(&self, path: &str) -> Value {
        let res = self.http.get(format!("{}/{path}", self.base_url)).send().await;
        res.expect("the platform answers").json().await.expect("JSON")
    }
}
