use std::collections::BTreeMap;

use base::{CallerId, Rank};

/// Metadata of a request that one daemon forwards to another, sent as JSON in the
/// setting [`FORWARD_SETTING`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct Forward {
    /// Name that the caller sent as the database.
    pub(crate) name: String,
    /// Identity whose earlier writes the request must see.
    pub(crate) caller: CallerId,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// Positions of the caller's writes that the sender knows, as a consistency
    /// token.
    pub(crate) token: String,
    /// Whether the caller itself supplied a token.
    pub(crate) vouched: bool,
    /// Remaining time that the request may wait, in milliseconds.
    pub(crate) wait_ms: u64,
    /// Idempotency key of the request, which makes it safe to retry.
    pub(crate) idempotency_key: Option<String>,
    /// Session settings to apply to the upstream connection.
    pub(crate) settings: BTreeMap<String, String>,
}

/// Setting whose value is a [`Forward`] as JSON.
pub(crate) const FORWARD_SETTING: &str = "corianderwharf.forward";
/// Start-up parameter with the secret by which daemons authenticate each other.
pub(crate) const PEER_SECRET_PARAMETER: &str = "corianderwharf.peer";

impl Forward {
    /// Returns the SET statement that announces the request to the other daemon.
    pub(crate) fn set_statement(&self) -> String {
        let json = serde_json::to_string(self).unwrap_or_default();
        format!("SET {FORWARD_SETTING} = '{}'", json.replace('\'', "''"))
    }
}
