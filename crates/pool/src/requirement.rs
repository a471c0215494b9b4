use base::Position;

/// What a request requires of the member that runs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Requirement {
    /// The primary.
    Primary,
    /// Any member whose log holds this position.
    AtLeast(Position),
}
