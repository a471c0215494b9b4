/// Copy of a row of the platform's table service, from a daemon's cache.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RowCopy {
    /// Key of the row.
    pub key: String,
    /// Version of the row; a copy with a lower version is outdated.
    pub version: u64,
    /// Value of the row as JSON text.
    pub value: String,
}
