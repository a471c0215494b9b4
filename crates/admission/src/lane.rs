/// Role of the members whose execution slots a request waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Lane {
    /// Waits for a slot of the primary.
    Primary,
    /// Waits for a slot of any replica.
    Replica,
}

impl Lane {
    /// All lanes, in the order of [`Lane::index`].
    pub const ALL: [Lane; 2] = [Lane::Primary, Lane::Replica];

    /// Number of lanes, the length of arrays that are indexed by lane.
    pub const COUNT: usize = Lane::ALL.len();

    /// Index into an array of [`Lane::COUNT`] elements.
    pub fn index(self) -> usize {
        self as usize
    }
}
