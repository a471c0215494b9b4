/// Whether a request may write, which decides the members that can run it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StatementKind {
    /// Only reads; any member whose data is fresh enough can run it.
    Read,
    /// May write; only the primary can run it.
    Write,
}

impl StatementKind {
    /// Name in lower case, as in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StatementKind::Read => "read",
            StatementKind::Write => "write",
        }
    }
}
