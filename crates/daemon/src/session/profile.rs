use std::collections::BTreeMap;

use base::{CallerId, GroupId, Position, Rank, StatementKind};
use consistency::ConsistencyToken;
use wire::Startup;

use crate::session::forward::{Forward, PEER_SECRET_PARAMETER};

const CALLER_SETTING: &str = "corianderwharf.caller";
const IDEMPOTENCY_KEY_SETTING: &str = "corianderwharf.idempotency_key";
const RANK_SETTING: &str = "corianderwharf.rank";
/// Setting, and parameter reported to the caller, that carries the caller's write
/// positions.
pub(crate) const TOKEN_SETTING: &str = "corianderwharf.token";
const OWN_PREFIX: &str = "corianderwharf.";
/// Start-up parameters that are not passed to the upstream as settings.
const NON_SETTING_PARAMETERS: [&str; 5] =
    ["user", "database", "options", "replication", "client_encoding"];

/// Identity and settings of a session's caller.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    /// Name that the caller sent as the database.
    pub(crate) name: String,
    /// Group that the name maps to.
    pub(crate) group: GroupId,
    /// User name that the caller sent.
    pub(crate) user: String,
    /// Identity whose earlier writes must be visible; the user name unless set.
    pub(crate) caller: CallerId,
    /// Rank that the caller set; if `None`, the kind of statement decides.
    pub(crate) rank: Option<Rank>,
    /// Whether the caller supplied a consistency token.
    pub(crate) has_token: bool,
    /// Positions of the caller's writes that this daemon knows.
    pub(crate) token: ConsistencyToken,
    /// Time that a request may wait, in milliseconds, as sent by the daemon that
    /// forwards it; `None` for the daemon's own limit.
    pub(crate) wait_ms: Option<u64>,
    /// Idempotency key for the next submission.
    pub(crate) idempotency_key: Option<String>,
    /// Session settings to apply to upstream connections.
    pub(crate) settings: BTreeMap<String, String>,
}

impl Profile {
    /// Builds the profile of a new session; the error is a message about an invalid
    /// parameter.
    pub(crate) fn new(startup: &Startup, group: GroupId) -> Result<Profile, String> {
        let parameter = |name: &str| startup.parameters.get(name).cloned();
        let user = parameter("user").unwrap_or_default();
        let name = parameter("database").unwrap_or_else(|| user.clone());
        let mut profile = Profile {
            name,
            group,
            caller: CallerId::new(user.as_str()),
            user,
            rank: None,
            has_token: false,
            token: ConsistencyToken::default(),
            wait_ms: None,
            idempotency_key: None,
            settings: BTreeMap::new(),
        };
        for (name, value) in &startup.parameters {
            if name == PEER_SECRET_PARAMETER {
                continue;
            }
            if name.starts_with(OWN_PREFIX) {
                profile.set_own(name, value)?;
            } else if !NON_SETTING_PARAMETERS.contains(&name.as_str()) {
                profile.settings.insert(name.to_lowercase(), value.clone());
            }
        }
        profile.apply_options(&parameter("options").unwrap_or_default())?;
        Ok(profile)
    }

    /// Whether a setting belongs to the proxy rather than the upstream.
    pub(crate) fn is_own(name: &str) -> bool {
        name.starts_with(OWN_PREFIX)
    }

    /// Sets one of the proxy's own settings.
    pub(crate) fn set_own(&mut self, name: &str, value: &str) -> Result<(), String> {
        match name {
            CALLER_SETTING if value.is_empty() => self.caller = CallerId::new(self.user.as_str()),
            CALLER_SETTING => self.caller = CallerId::new(value),
            IDEMPOTENCY_KEY_SETTING => {
                self.idempotency_key = (!value.is_empty()).then(|| value.to_owned());
            }
            RANK_SETTING if value.is_empty() => self.rank = None,
            RANK_SETTING => {
                self.rank = Some(value.parse().map_err(|error| format!("{error}"))?);
            }
            TOKEN_SETTING => {
                let token: ConsistencyToken = value.parse().map_err(|error| format!("{error}"))?;
                self.token.merge(&token);
                self.has_token = true;
            }
            _ => return Err(format!("unrecognized setting {name:?}")),
        }
        Ok(())
    }

    /// Applies the metadata of a request that another daemon forwards.
    pub(crate) fn apply_forward(&mut self, json: &str) -> Result<(), String> {
        let forward: Forward = serde_json::from_str(json).map_err(|error| error.to_string())?;
        self.name = forward.name;
        self.caller = forward.caller;
        self.rank = Some(forward.rank);
        self.token = forward.token.parse().map_err(|error| format!("{error}"))?;
        self.has_token = forward.vouched;
        self.idempotency_key = forward.idempotency_key;
        self.wait_ms = Some(forward.wait_ms);
        self.settings = forward.settings;
        Ok(())
    }

    /// Returns the metadata with which a request of this caller is forwarded.
    pub(crate) fn forward(
        &self,
        rank: Rank,
        wait_ms: u64,
        idempotency_key: Option<String>,
    ) -> Forward {
        Forward {
            name: self.name.clone(),
            caller: self.caller.clone(),
            rank,
            token: self.token.to_string(),
            vouched: self.has_token,
            wait_ms,
            idempotency_key,
            settings: self.settings.clone(),
        }
    }

    /// Returns the value of one of the proxy's own settings; `None` if there is no
    /// such setting.
    pub(crate) fn own(&self, name: &str) -> Option<String> {
        match name {
            CALLER_SETTING => Some(self.caller.to_string()),
            RANK_SETTING => Some(self.rank.map(|rank| rank.to_string()).unwrap_or_default()),
            TOKEN_SETTING => Some(self.token.to_string()),
            IDEMPOTENCY_KEY_SETTING => Some(self.idempotency_key.clone().unwrap_or_default()),
            _ => None,
        }
    }

    /// Records a change of a setting that the upstream has accepted.
    pub(crate) fn apply(&mut self, change: &sql::SettingChange) {
        match change {
            sql::SettingChange::Set { name, value } => {
                self.settings.insert(name.clone(), value.clone());
            }
            sql::SettingChange::Reset { name } => {
                self.settings.remove(name);
            }
            sql::SettingChange::ResetAll => self.settings.clear(),
        }
    }

    /// Returns the rank of a request: from a hint, else from the session's setting,
    /// else from the kind of statement.
    pub(crate) fn request_rank(&self, hint: Option<Rank>, kind: StatementKind) -> Rank {
        let default_rank = match kind {
            StatementKind::Write => Rank::Submission,
            StatementKind::Read => Rank::Lookup,
        };
        hint.or(self.rank).unwrap_or(default_rank)
    }

    /// Returns the position of the caller's last write to its group that this daemon
    /// knows.
    pub(crate) fn position(&self) -> Position {
        self.token.position(&self.group).unwrap_or_default()
    }

    /// Applies the `-c name=value` pairs of the start-up parameter `options`.
    fn apply_options(&mut self, options: &str) -> Result<(), String> {
        let words = options.replace("-c", " ");
        for pair in words.split_whitespace() {
            let Some((name, value)) = pair.trim_start_matches('-').split_once('=') else {
                continue;
            };
            if Profile::is_own(name) {
                self.set_own(name, value)?;
            } else {
                self.settings.insert(name.to_lowercase(), value.to_owned());
            }
        }
        Ok(())
    }
}
