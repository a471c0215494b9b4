use std::fmt;

/// Longest API key. Longer ones are unknown by definition, so that no session has to keep them.
pub const MAX_KEY_BYTES: usize = 1_024;

/// An API key as a caller presents it.
#[derive(Clone, Default, Eq, Hash, PartialEq)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// Keeps the key, or an empty one, which no organisation has, if it is too long.
    pub fn new(key: &str) -> ApiKey {
        ApiKey(if key.len() <= MAX_KEY_BYTES { key.into() } else { "".into() })
    }

    /// The key itself, to be sent to another daemon. It must not reach a log line or a member.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
