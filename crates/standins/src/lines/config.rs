use serde_json::{Value, json};

/// Number by which the version rises with each change.
const VERSION_STEP: u64 = 3;
/// Connections that a member accepts unless a test changes it.
const DEFAULT_MAX_CONNS: u32 = 21;

/// The operator's newest configuration.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) version: u64,
    /// Names of the groups.
    services: Vec<String>,
    sync_replicas: u32,
    /// Databases of each group, in the order of `services`.
    pub(crate) databases: Vec<Vec<String>>,
    /// Databases whose callers need no key.
    pub(crate) public: Vec<String>,
    /// Organisations as on the wire, where they may have any form.
    pub(crate) tenants: Vec<Value>,
    pub(crate) max_conns: u32,
}

impl Config {
    pub(crate) fn new(services: Vec<String>, sync_replicas: u32) -> Config {
        let (databases, public, tenants) = (Vec::new(), Vec::new(), Vec::new());
        let max_conns = DEFAULT_MAX_CONNS;
        Config { version: 0, services, sync_replicas, databases, public, tenants, max_conns }
    }

    /// Applies a change and raises the version.
    pub(crate) fn change(&mut self, change: impl FnOnce(&mut Config)) {
        change(self);
        self.version += VERSION_STEP;
    }

    /// Adds a key to an organisation. Organisations without a list of keys are left alone.
    pub(crate) fn add_key(&mut self, organisation: &str, key: &str) {
        if let Some(keys) = self.keys(organisation) {
            keys.push(key.into());
        }
    }

    /// Takes a key away from an organisation.
    pub(crate) fn revoke_key(&mut self, organisation: &str, key: &str) {
        if let Some(keys) = self.keys(organisation) {
            keys.retain(|it| it != key);
        }
    }

    /// Changes the limit of an organisation.
    pub(crate) fn set_limit(&mut self, organisation: &str, rate_per_s: f64, burst: f64) {
        if let Some(tenant) = self.tenants.iter_mut().find(|it| it["name"] == organisation) {
            (tenant["rate_per_s"], tenant["burst"]) = (rate_per_s.into(), burst.into());
        }
    }

    fn keys(&mut self, organisation: &str) -> Option<&mut Vec<Value>> {
        let tenant = self.tenants.iter_mut().find(|it| it["name"] == organisation)?;
        tenant.get_mut("api_keys")?.as_array_mut()
    }

    /// Content of the row that the operator writes.
    pub(crate) fn to_json(&self) -> Value {
        let routes = self.services.iter().zip(&self.databases).flat_map(|(service, names)| {
            names.iter().map(move |name| {
                let kind = if name.starts_with("orders") { "primary" } else { "own" };
                json!({"name": format!("r-{name}"), "host": name, "prefix": "/", "kind": kind,
                    "timeout_ms": 8_000, "target_latency_ms": 200, "priority": 0,
                    "service": service, "attempts": 2, "max_staleness_ms": 2_500,
                    "public": self.public.contains(name)})
            })
        });
        let services = self.services.iter().map(|service| {
            json!({"name": service, "max_conns": self.max_conns,
                "sync_replicas": self.sync_replicas})
        });
        let mut config = json!({"version": self.version, "routes": routes.collect::<Vec<_>>(),
            "services": services.collect::<Vec<_>>(), "limits": {"tx_idle_ms": 3_000}});
        // Deployments without organisations do not have the field.
        if !self.tenants.is_empty() {
            config["tenants"] = self.tenants.clone().into();
        }
        config
    }
}
