use std::fmt;

/// Name of a member of a group, unique within the deployment.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct MemberId(String);

impl MemberId {
    /// Creates an identifier from the member's name.
    pub fn new(name: impl Into<String>) -> MemberId {
        MemberId(name.into())
    }

    /// Name of the member, as in the platform's records and in logs.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
