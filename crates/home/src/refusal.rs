use std::fmt;

/// Why the home refused a request. A refused request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Refused by the limits or the target of the policy table.
    Admission(admission::Refusal),
    /// Its deadline passed before it could start.
    DeadlinePassed,
    /// This daemon is no longer the home of the group.
    HomeMoved,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Admission(admission::Refusal::QueueFull) => {
                f.write_str("the queue of this name and rank is full")
            }
            Refusal::Admission(admission::Refusal::WaitTooLong { expected, target }) => write!(
                f,
                "the expected wait of {} ms passes the target of {} ms",
                expected.as_millis(),
                target.as_millis()
            ),
            Refusal::Admission(admission::Refusal::DeadlinePassed) | Refusal::DeadlinePassed => {
                f.write_str("the deadline passed while the request waited")
            }
            Refusal::HomeMoved => f.write_str("the group's home has moved to another daemon"),
        }
    }
}
