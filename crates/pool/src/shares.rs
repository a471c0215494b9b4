/// Connections of each member that stay free for questions about its state.
const RESERVED: u32 = 2;
/// Part of a member's connections, in percent, that the daemons keep open together.
/// A member holds connections of VMs that lost power for some seconds; what is not
/// kept lets all of them connect again at once.
const KEPT_PERCENT: u32 = 60;

/// One daemon's part of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shares {
    /// Connections kept open.
    pub kept: u32,
    /// Connections opened at most, while requests wait.
    pub most: u32,
    /// Statements that run there at once before others wait here.
    pub at_once: u32,
}

impl Shares {
    /// The part of a daemon that has no connections to members.
    pub const NONE: Shares = Shares { kept: 0, most: 0, at_once: 0 };

    /// Divides a member's connections and slots among `daemons`.
    pub fn new(connections: u32, slots: u32, daemons: u32) -> Shares {
        let daemons = daemons.max(1);
        let most = (connections.saturating_sub(RESERVED) / daemons).max(1);
        let kept = (connections * KEPT_PERCENT / 100 / daemons).clamp(1, most);
        // Twice the slots in all keep a member busy with a short queue of its own,
        // and one more lets an uneven share of callers through.
        let at_once = (2 * slots).div_ceil(daemons) + 1;
        Shares { kept, most, at_once }
    }
}
