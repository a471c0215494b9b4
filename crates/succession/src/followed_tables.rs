use base::Span;

/// How long after the start a small VM leaves it to larger ones to become the first carriers,
/// instead of reading the configuration to find out whether a carrier slot is free.
const SMALL_VM_STANDBY: Span = Span::from_millis(5_000);

/// How closely a daemon follows the changes of a table of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Feed {
    /// It does not ask the store for changes.
    #[default]
    Off,
    /// It asks at most every few seconds.
    Slow,
    /// It learns of each change at once.
    On,
}

/// The tables of the store that a daemon follows.
///
/// Carriers follow all tables. The other daemons, nearly all of a large fleet, would cause most of
/// the calls to the store and need hardly anything from it: they learn from carriers who the
/// carriers are. They follow tables only to claim a carrier slot, or if no carrier
/// answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FollowedTables {
    /// The state table: the failover lease, primaries and carriers.
    pub state: Feed,
    /// The operator's table, which holds the configuration.
    pub operator: Feed,
    /// The table of the members' entries.
    pub members: Feed,
}

/// What a daemon knows when it decides which tables to follow.
#[derive(Clone, Copy, Debug)]
pub struct FollowerView {
    /// Whether it is a carrier.
    pub carries: bool,
    /// Whether its VM is so small that larger ones should become carriers first.
    pub is_small: bool,
    /// Time since it read the state table for the first time.
    pub running_for: Span,
    /// Whether a carrier is listed in its availability zone.
    pub zone_has_carrier: bool,
    /// Whether the carriers of its zone have been silent for so long that it may take over a slot.
    pub zone_is_lost: bool,
    /// Whether it knows of a free carrier slot in its zone; `None` while it does not know the
    /// configuration, on which the number of slots depends.
    pub slot_is_free: Option<bool>,
    /// Whether no carrier has answered it for some seconds.
    pub carriers_silent: bool,
}

impl FollowedTables {
    /// Decides which tables to follow.
    pub fn new(view: &FollowerView) -> FollowedTables {
        if view.carries {
            return FollowedTables { state: Feed::On, operator: Feed::On, members: Feed::On };
        }
        let may_claim = match view.slot_is_free {
            Some(free) => free,
            None => {
                let leaves_it = view.is_small && view.running_for < SMALL_VM_STANDBY;
                !view.zone_has_carrier && !leaves_it
            }
        };
        // Without carriers that answer, only the store tells how many slots there are.
        if may_claim || view.zone_is_lost {
            return FollowedTables { state: Feed::On, operator: Feed::On, members: Feed::Off };
        }
        let state = if view.carriers_silent { Feed::Slow } else { Feed::Off };
        FollowedTables { state, operator: Feed::Off, members: Feed::Off }
    }

    /// Whether the daemon leaves the configuration to carriers.
    pub fn is_passive(&self) -> bool {
        self.operator == Feed::Off
    }
}
