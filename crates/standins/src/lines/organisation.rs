/// An organisation as the operator writes it into the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Organisation {
    /// Name by which members know it.
    pub name: String,
    /// Keys of its callers.
    pub api_keys: Vec<String>,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Limit of its operations per second, over the whole fleet.
    pub rate_per_s: f64,
    /// Operations that it may run at once after a pause.
    pub burst: f64,
}

impl Organisation {
    /// Rate and burst of an organisation whose limit a test does not reach.
    const UNREACHED_LIMIT: (f64, f64) = (100_000.0, 100_000.0);

    /// Creates an organisation with a limit that no test reaches.
    pub fn new(name: &str, api_keys: &[&str]) -> Organisation {
        let api_keys = api_keys.iter().map(|key| (*key).to_owned()).collect();
        let (rate_per_s, burst) = Organisation::UNREACHED_LIMIT;
        Organisation { name: name.to_owned(), api_keys, priority: 1, rate_per_s, burst }
    }

    /// Sets the limit of its operations.
    pub fn with_limit(self, rate_per_s: f64, burst: f64) -> Organisation {
        Organisation { rate_per_s, burst, ..self }
    }
}
