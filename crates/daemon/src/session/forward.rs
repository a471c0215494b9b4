use std::collections::BTreeMap;

use base::{CallerId, Rank};

/// What one daemon tells another about a request that it forwards: the value of
/// the setting [`FORWARD_SETTING`], as JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct Forward {
    /// Name that the caller gave as the database.
    pub(crate) name: String,
    /// Identity whose writes must be visible.
    pub(crate) caller: CallerId,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// Positions of the caller's writes, as far as the sender knows.
    pub(crate) token: String,
    /// Whether the caller vouches for the token.
    pub(crate) vouched: bool,
    /// Time that the request may still wait, in milliseconds.
    pub(crate) wait_ms: u64,
    /// Key that makes the request safe to submit again.
    pub(crate) idempotency_key: Option<String>,
    /// The caller's settings.
    pub(crate) settings: BTreeMap<String, String>,
}

/// Setting that carries a [`Forward`].
pub(crate) const FORWARD_SETTING: &str = "corianderwharf.forward";
/// Start-up parameter that carries the deployment's secret.
pub(crate) const PEER_SECRET_PARAMETER: &str = "corianderwharf.peer";

impl Forward {
    /// The statement that sets it.
    pub(crate) fn set_statement(&self) -> String {
        let json = serde_json::to_string(self).unwrap_or_default();
        format!("SET {FORWARD_SETTING} = '{}'", json.replace('\'', "''"))
    }
}
