use base::{GroupId, Span};

use crate::{column::Column, key::RowKey, policy::Policy};

/// One row of the table: the policy for a name and rank.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Row {
    /// Name and rank to which the row applies.
    pub key: RowKey,
    /// Group that serves the name.
    pub group: GroupId,
    /// Weight and limits of the requests that the row applies to.
    pub policy: Policy,
}

impl Row {
    /// Text of a cell as written to the CSV; limits that are not set become 0.
    pub fn cell(&self, column: Column) -> String {
        let policy = &self.policy;
        match column {
            Column::Name => self.key.name.clone(),
            Column::Rank => self.key.rank.to_string(),
            Column::Group => self.group.to_string(),
            Column::Weight => policy.weight.to_string(),
            Column::Floor => policy.floor.to_string(),
            Column::InFlight => limit(policy.in_flight),
            Column::PerSecond => limit(policy.per_second),
            Column::Queue => limit(policy.queue),
            Column::TargetMs => millis(policy.target),
            Column::AgeMs => millis(policy.age),
            Column::Ack => policy.ack.as_str().to_owned(),
        }
    }
}

fn limit(limit: Option<u32>) -> String {
    limit.unwrap_or(0).to_string()
}

fn millis(span: Option<Span>) -> String {
    span.map_or(0, Span::as_millis).to_string()
}
