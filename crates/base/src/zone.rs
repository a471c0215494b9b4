use std::fmt;

/// Name of an availability zone.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Zone(String);

impl Zone {
    /// Creates an identifier from the zone's name.
    pub fn new(name: impl Into<String>) -> Zone {
        Zone(name.into())
    }

    /// Name of the zone, as in settings and in the platform's records.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Zone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
