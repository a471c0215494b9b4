use base::Span;

/// Why a request is refused. It has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// As many requests of its name and rank wait as the table allows.
    QueueFull,
    /// The wait would exceed the rank's target.
    WaitTooLong {
        /// Expected wait.
        expected: Span,
        /// Target latency.
        target: Span,
    },
    /// Its deadline passed while it waited.
    DeadlinePassed,
}
