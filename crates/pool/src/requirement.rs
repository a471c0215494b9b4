use base::Position;

/// The members that may run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Requirement {
    /// Only the primary.
    Primary,
    /// The primary, or any replica whose log contains this position.
    AtLeast(Position),
}
