use base::Position;

/// What a request needs from the member that runs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// The primary.
    Primary,
    /// Any member whose log holds this position.
    AtLeast(Position),
}
