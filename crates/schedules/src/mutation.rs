/// Deliberate bug in the simulation, which the oracle must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// No bug.
    None,
    /// Commits are acknowledged before they are proven to survive a failover.
    AcknowledgeEarly,
    /// Members confirm a new term but go on accepting requests of the old one.
    SkipFence,
    /// A write whose reply was lost is submitted again, although it may have run.
    RetryInDoubt,
    /// Versions that the store gives out again are not told from the earlier ones.
    KeepEra,
    /// Reads run at a random member, whether or not it has the caller's writes.
    IgnoreWritePositions,
}
