use base::Span;

use crate::ack::Acknowledgement;

/// Weight and limits that apply to one name and rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Policy {
    /// Weight relative to the other names of the same rank.
    pub weight: u32,
    /// Share of the group's slots guaranteed to this row, in percent.
    pub floor: u32,
    /// Maximum number of requests in flight; `None` means no limit.
    pub in_flight: Option<u32>,
    /// Maximum number of requests started per second; `None` means no limit.
    pub per_second: Option<u32>,
    /// Maximum number of queued requests; `None` means no limit.
    pub queue: Option<u32>,
    /// Target latency; `None` means that requests are not refused early.
    pub target: Option<Span>,
    /// Maximum age of the data that reads may return; `None` requires current data.
    pub age: Option<Span>,
    /// Where a write must be stored before it is acknowledged.
    pub ack: Acknowledgement,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            weight: 1,
            floor: 0,
            in_flight: None,
            per_second: None,
            queue: None,
            target: None,
            age: None,
            ack: Acknowledgement::default(),
        }
    }
}
