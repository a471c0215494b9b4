use std::fmt;

/// Name of an entry VM, on which one daemon runs.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct VmId(String);

impl VmId {
    /// Creates an identifier from the VM's name.
    pub fn new(name: impl Into<String>) -> VmId {
        VmId(name.into())
    }

    /// Name of the VM, as in settings, in the platform's records and in logs.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
