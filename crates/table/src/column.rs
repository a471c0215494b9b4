use std::fmt;

/// A column of the table, in the order of the CSV header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Column {
    /// Name that callers give as the database.
    Name,
    /// Rank to which the row applies.
    Rank,
    /// Group that answers to the name.
    Group,
    /// Share within the rank, relative to other names.
    Weight,
    /// Share of the group's slots kept for this row, in percent.
    Floor,
    /// Most requests in flight; 0 for no limit.
    InFlight,
    /// Most requests started a second; 0 for no limit.
    PerSecond,
    /// Most requests that wait; 0 for no limit.
    Queue,
    /// Target latency in milliseconds; 0 for none.
    TargetMs,
    /// Accepted age of data for reads, in milliseconds; 0 for current data.
    AgeMs,
    /// How far a write must travel before it is acknowledged.
    Ack,
}

impl Column {
    /// Every column, in header order.
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

    /// The column's name in the CSV header.
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

    /// What a cell of this column may hold, for error messages.
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
