/// Reference to the version of the operators' table in force, stored in the row `table`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TablePointer {
    /// Version of the table in force.
    pub version: u64,
    /// Identifier of the object that holds its text.
    pub object: String,
    /// Earlier versions that are still stored, newest first.
    #[serde(default)]
    pub history: Vec<TableVersion>,
}

/// An earlier version of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TableVersion {
    /// Number of this version.
    pub version: u64,
    /// Identifier of the object that holds its text.
    pub object: String,
}

impl TablePointer {
    /// Key of the row that holds the pointer.
    pub const KEY: &str = "table";
}
