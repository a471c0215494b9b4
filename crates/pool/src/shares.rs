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
    pub max_open: u32,
    /// Statements that run there at once before others wait here.
    pub max_running: u32,
}

impl Shares {
    /// The part of a daemon that has no connections to members.
    pub const NONE: Shares = Shares { kept: 0, max_open: 0, max_running: 0 };

    /// Divides a member's connections and slots among `daemons`.
    pub fn new(connections: u32, slots: u32, daemons: u32) -> Shares {
        let daemons = daemons.max(1);
        let max_open = (connections.saturating_sub(RESERVED) / daemons).max(1);
        let kept = (connections * KEPT_PERCENT / 100 / daemons).clamp(1, max_open);
        // Twice the slots in all keep a member busy with a short queue of its own,
        // and one more lets an uneven share of callers through.
        let max_running = (2 * slots).div_ceil(daemons) + 1;
        Shares { kept, max_open, max_running }
    }
}
