use std::fmt;

/// Identity of a caller, whose later reads must see its earlier writes: the value of the
/// setting `corianderwharf.caller` or, without it, the user name.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct CallerId(String);

impl CallerId {
    /// Creates an identifier from the value of `corianderwharf.caller` or the user name.
    pub fn new(name: impl Into<String>) -> CallerId {
        CallerId(name.into())
    }

    /// Name of the caller, as at the start of its session and in logs.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CallerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
