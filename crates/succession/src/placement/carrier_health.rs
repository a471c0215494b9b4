use base::{Span, Time};

/// How long a carrier must have been healthy before sessions move to it. Each move costs new
/// connections to members, so a carrier that fails again and again gets none.
const SETTLED_AFTER: Span = Span::from_millis(2_000);

/// Whether sessions are placed on a carrier. Greater values are preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CarrierHealth {
    /// It does not answer or accepts no sessions.
    Unhealthy,
    /// It has been healthy for a short time. It gets sessions only if there is no other carrier.
    Recovering,
    /// It has been healthy for some time.
    Settled,
}

impl CarrierHealth {
    /// Classifies a carrier by the time since when it has been healthy; `None` if it is not.
    pub fn new(now: Time, healthy_since: Option<Time>) -> CarrierHealth {
        match healthy_since {
            None => CarrierHealth::Unhealthy,
            Some(since) if now.since(since) < SETTLED_AFTER => CarrierHealth::Recovering,
            Some(_) => CarrierHealth::Settled,
        }
    }
}
