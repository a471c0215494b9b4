use std::{net::SocketAddr, time::Duration};

use platform::{Client, Condition, Row, Write};
use serde_json::Value;

const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// The platform's stand-in, to disturb and to look at.
pub struct Platform {
    base: String,
    http: reqwest::Client,
    client: Client,
}

impl Platform {
    /// The platform at `addr`.
    pub fn new(addr: SocketAddr) -> Platform {
        let (base, http) = (format!("http://{addr}"), reqwest::Client::new());
        Platform { base, http, client: Client::new(addr) }
    }

    /// Sets faults: a JSON object with `down`, `slow_ms`, `lose_replies`.
    pub async fn faults(&self, faults: Value) {
        let req = self.http.put(format!("{}/faults", self.base)).json(&faults);
        req.send().await.expect("the platform answers");
    }

    /// Value of a row.
    pub async fn row(&self, key: &str) -> Value {
        self.stored(key).await.value
    }

    /// Number of reads and writes so far.
    pub async fn counts(&self) -> (u64, u64) {
        let counts: Value = self.get("counts").await;
        let number = |key: &str| counts[key].as_u64().unwrap_or_default();
        (number("reads"), number("writes"))
    }

    /// Waits until an outage has refused `count` more requests.
    pub async fn refuses(&self, count: u64) {
        let refused = || async {
            let counts: Value = self.get("counts").await;
            counts["refused"].as_u64().unwrap_or_default()
        };
        let before = refused().await;
        while refused().await < before + count {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Changes a row, whatever its version.
    pub async fn change(&self, key: &str, change: impl FnOnce(&mut Value)) {
        let Row { key, version, mut value } = self.stored(key).await;
        change(&mut value);
        let conditions = [Condition { key: key.clone(), version }];
        let writes = [Write { key, value }];
        self.client.transact(&conditions, &writes).await.expect("the row has not changed");
    }

    async fn stored(&self, key: &str) -> Row {
        self.client.row(key).await.expect("the platform answers").expect("the row exists")
    }

    async fn get(&self, path: &str) -> Value {
        let res = self.http.get(format!("{}/{path}", self.base)).send().await;
        res.expect("the platform answers").json().await.expect("JSON")
    }
}
