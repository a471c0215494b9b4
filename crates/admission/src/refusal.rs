use base::Span;

/// Why the scheduler refused a request. A refused request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The queue of its name and rank has reached the limit set in the policy table.
    QueueFull,
    /// The expected wait exceeds the limit on the wait.
    WaitTooLong {
        /// Estimated wait at the load when the request arrived.
        expected: Span,
        /// Target latency of the name and rank; the time left until the deadline if late
        /// requests are deferred rather than refused.
        target: Span,
    },
    /// Its deadline passed before it could start.
    DeadlinePassed,
}
