use std::collections::BTreeMap;

use base::{CallerId, GroupId, Position, Rank, StatementKind};
use consistency::ConsistencyToken;
use wire::Startup;

use crate::session::forward::{Forward, PEER_SECRET_PARAMETER};

const CALLER_SETTING: &str = "corianderwharf.caller";
const IDEMPOTENCY_KEY_SETTING: &str = "corianderwharf.idempotency_key";
const RANK_SETTING: &str = "corianderwharf.rank";
/// Setting and reported parameter that carry a caller's write positions.
pub(crate) const TOKEN_SETTING: &str = "corianderwharf.token";
const OWN_PREFIX: &str = "corianderwharf.";
/// Start-up parameters that are not settings of the upstream.
const NON_SETTING_PARAMETERS: [&str; 5] =
    ["user", "database", "options", "replication", "client_encoding"];

/// Who the caller is and what it has set.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    /// Name that the caller gave as the database.
    pub(crate) name: String,
    /// Group that the name leads to.
    pub(crate) group: GroupId,
    /// User that the caller gave.
    pub(crate) user: String,
    /// Identity whose writes must be visible.
    pub(crate) caller: CallerId,
    /// Rank that the caller set; by kind of statement if it set none.
    pub(crate) rank: Option<Rank>,
    /// Whether the caller handed in a token.
    pub(crate) has_token: bool,
    /// Positions of the caller's writes, as far as known here.
    pub(crate) token: ConsistencyToken,
    /// Time that a request may wait, in milliseconds, if another daemon set it.
    pub(crate) wait_ms: Option<u64>,
    /// Key for the next submission.
    pub(crate) idempotency_key: Option<String>,
    /// Settings for upstream connections.
    pub(crate) settings: BTreeMap<String, String>,
}

impl Profile {
    /// The profile of a new session; an error names the parameter at fault.
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

    /// Whether a setting is the proxy's own.
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

    /// Takes over what another daemon says of the request that it forwards.
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

    /// What another daemon must know to run a request of this caller.
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

    /// The value of one of the proxy's own settings.
    pub(crate) fn own(&self, name: &str) -> Option<String> {
        match name {
            CALLER_SETTING => Some(self.caller.to_string()),
            RANK_SETTING => Some(self.rank.map(|rank| rank.to_string()).unwrap_or_default()),
            TOKEN_SETTING => Some(self.token.to_string()),
            IDEMPOTENCY_KEY_SETTING => Some(self.idempotency_key.clone().unwrap_or_default()),
            _ => None,
        }
    }

    /// Applies a change of a setting that the upstream accepted.
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

    /// The rank of a request.
    pub(crate) fn request_rank(&self, hint: Option<Rank>, kind: StatementKind) -> Rank {
        let default_rank = match kind {
            StatementKind::Write => Rank::Submission,
            StatementKind::Read => Rank::Lookup,
        };
        hint.or(self.rank).unwrap_or(default_rank)
    }

    /// Position of the caller's last write to its group, as far as known here.
    pub(crate) fn position(&self) -> Position {
        self.token.position(&self.group).unwrap_or_default()
    }

    /// Reads `-c name=value` pairs.
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
