/// A mistake made on purpose, to show that the checks find it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// No mistake.
    None,
    /// Commits are acknowledged without the proof that follows them.
    AcknowledgeEarly,
    /// Members are promoted without being fenced.
    SkipFence,
    /// A submission whose answer was lost is sent again.
    RetryInDoubt,
    /// Reads are answered by any replica, however far behind.
    IgnoreWritePositions,
}
