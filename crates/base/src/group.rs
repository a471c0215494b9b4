use std::fmt;

/// Canonical name of a database group, which several database names can stand for.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct GroupId(String);

impl GroupId {
    /// Creates an identifier from the group's name.
    pub fn new(name: impl Into<String>) -> GroupId {
        GroupId(name.into())
    }

    /// Name of the group, as in the operators' table, in the platform's records and in logs.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
