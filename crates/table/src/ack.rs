/// Where a write must be stored before it is acknowledged to the caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Acknowledgement {
    /// The primary is confirmed not to have been replaced, and at least one replica
    /// holds the write, so that every majority from which a new primary can be
    /// promoted contains it.
    #[default]
    Replica,
    /// The primary is confirmed not to have been replaced. A write that no replica
    /// holds yet is lost if the primary fails.
    Primary,
}

impl Acknowledgement {
    /// Value of the `ack` column in the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Acknowledgement::Replica => "replica",
            Acknowledgement::Primary => "primary",
        }
    }

    /// Parses a value of the `ack` column; `None` if it is not known.
    pub fn from_name(text: &str) -> Option<Acknowledgement> {
        match text {
            "replica" => Some(Acknowledgement::Replica),
            "primary" => Some(Acknowledgement::Primary),
            _ => None,
        }
    }
}
