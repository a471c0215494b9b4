/// How a group came to its present home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Takeover {
    /// It had no home before.
    Initial,
    /// The home before handed it over and may still end transactions.
    Graceful,
    /// The home before is silent and may still run.
    Unclean,
}
