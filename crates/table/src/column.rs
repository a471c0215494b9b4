use std::fmt;

/// A column of the table, in the order of the CSV header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Column {
    /// Database name that callers connect to.
    Name,
    /// Rank to which the row applies.
    Rank,
    /// Group that serves the name.
    Group,
    /// Weight relative to the other names of the same rank.
    Weight,
    /// Share of the group's slots guaranteed to this row, in percent.
    Floor,
    /// Maximum number of requests in flight; 0 means no limit.
    InFlight,
    /// Maximum number of requests started per second; 0 means no limit.
    PerSecond,
    /// Maximum number of queued requests; 0 means no limit.
    Queue,
    /// Target latency in milliseconds; 0 means none, so that requests are not
    /// refused early.
    TargetMs,
    /// Maximum age of the data that reads may return, in milliseconds; 0 requires
    /// current data.
    AgeMs,
    /// Where a write must be stored before it is acknowledged.
    Ack,
}

impl Column {
    /// All columns in the order of the CSV header.
    pub const ALL: [Column; 11] = [
        Column::Name,
        Column::Rank,
        Column::Group,
        Column::Weight,
        Column::Floor,
        Column::InFlight,
        Column::PerSecond,
        Column::Queue,
        Column::TargetMs,
        Column::AgeMs,
        Column::Ack,
    ];

    /// Name of the column in the CSV header.
    pub fn as_str(self) -> &'static str {
        match self {
            Column::Name => "name",
            Column::Rank => "rank",
            Column::Group => "group",
            Column::Weight => "weight",
            Column::Floor => "floor",
            Column::InFlight => "in_flight",
            Column::PerSecond => "per_second",
            Column::Queue => "queue",
            Column::TargetMs => "target_ms",
            Column::AgeMs => "age_ms",
            Column::Ack => "ack",
        }
    }

    /// Description of the values that a cell may have, for error messages.
    pub fn allowed_values(self) -> &'static str {
        match self {
            Column::Name | Column::Group => "1 to 63 characters, none of them a control character",
            Column::Rank => "submission, lookup or report",
            Column::Weight => "a whole number from 1 to 10000",
            Column::Floor => "a whole number of percent from 0 to 100",
            Column::InFlight | Column::PerSecond | Column::Queue => {
                "a whole number from 0 (no limit) to 1000000"
            }
            Column::TargetMs | Column::AgeMs => "milliseconds from 0 to 86400000",
            Column::Ack => "replica or primary",
        }
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
