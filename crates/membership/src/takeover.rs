/// How the claim on a group passed to its current home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Takeover {
    /// The group had no home before.
    Initial,
    /// The previous home handed the group over. It may still finish transactions.
    Graceful,
    /// The previous home lost the group without a handover. It may still be running.
    Unclean,
}
