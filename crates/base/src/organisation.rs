/// Number of an organisation within a process. Connections to members that no organisation owns, and
/// requests without an organisation, have [`OrganisationId::SHARED`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrganisationId(u32);

impl OrganisationId {
    /// Stands for all callers of a deployment without organisations, and for callers of public
    /// databases that present no known key.
    pub const SHARED: OrganisationId = OrganisationId(0);

    /// Creates the identifier with this number.
    pub const fn new(number: u32) -> OrganisationId {
        OrganisationId(number)
    }

    /// The number, 0 for [`OrganisationId::SHARED`].
    pub const fn number(self) -> u32 {
        self.0
    }

    /// Whether requests may run on connections that are not reserved for an organisation.
    pub fn is_shared(self) -> bool {
        self == OrganisationId::SHARED
    }
}
