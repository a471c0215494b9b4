/// Era of a store that has never come back from an older copy.
const FIRST_ERA: u64 = 1;

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
    /// Era of the store in which it was written.
    #[serde(default)]
    pub era: u64,
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

    /// Whether it is known to be the newest one in this era of the store. In a later era than its
    /// own, the store may have lost a newer one until the daemons have written it again.
    pub fn is_current(&self, era: u64) -> bool {
        self.era.max(FIRST_ERA) >= era
    }
}
