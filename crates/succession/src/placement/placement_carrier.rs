use std::net::SocketAddr;

use crate::placement::CarrierHealth;

/// Weight, in thousandths of a core, of a carrier whose record does not state its cores: that of a
/// small VM, so that it does not get more than it can serve.
const UNKNOWN_MILLICORES: u32 = 120;

/// A carrier that sessions can be placed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementCarrier {
    /// VM of the carrier.
    pub vm: String,
    /// Address that accepts sessions.
    pub sessions: SocketAddr,
    /// Cores of the VM, in thousandths; 0 if not known.
    pub millicores: u32,
    /// Whether sessions can be placed on it at present.
    pub health: CarrierHealth,
}

impl PlacementCarrier {
    /// Whether sessions can be placed on the carrier.
    pub fn is_healthy(&self) -> bool {
        self.health != CarrierHealth::Unhealthy
    }

    /// Weight of the carrier; positive.
    pub(super) fn weight(&self) -> f64 {
        let millicores = if self.millicores == 0 { UNKNOWN_MILLICORES } else { self.millicores };
        f64::from(millicores)
    }
}
