use base::Span;

/// Connections of each member that no pool uses, so that status queries find one free.
const RESERVED_CONNECTIONS: u32 = 2;
/// Percentage of a member's connections that all daemons together keep open. A member
/// holds the connections of VMs that lost power for some seconds; the remainder lets
/// all of them reconnect at once.
const KEPT_PERCENT: u32 = 60;
/// Number of connections to each member that every carrier of organisations can open at once after
/// all VMs have lost power, while the members still hold the lost connections.
const RESTART_ROOM: u32 = 2;
/// A carrier of organisations may open this many connections to a member, if its part has as many,
/// also where that leaves less room: open transactions hold connections, and with 2 a second
/// transaction of an organisation waited until the first had ended.
const MIN_OPEN_FOR_ORGANISATIONS: u32 = 4;
/// Time for which members hold the connections of a process that has ended with its VM. A process
/// starts later than its predecessor ended, so none is held when it has run this long.
pub(crate) const LOST_CONNECTIONS_HELD: Span = Span::from_millis(3_000);
/// Age up to which a carrier opens no more than [`RESTART_ROOM`] connections to a member after a
/// loss, so that carriers that start later find theirs. The limit rises from then on, because the
/// members drop the lost connections before [`LOST_CONNECTIONS_HELD`]: a VM takes time to start.
const ROOM_ONLY_UNTIL: Span = Span::from_millis(1_500);
/// Percentage of its share that a carrier of organisations keeps open without regard to when the
/// connections are needed next.
const KEPT_FOR_ORGANISATIONS_PERCENT: u32 = 60;

/// A carrier of organisations is overloaded if this many requests wait or run for each connection that
/// it may open to a member: about as many as the connections to all members of a group serve.
const OVERLOAD_FACTOR: u32 = 2;

/// One daemon's share of a member's capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shares {
    /// Number of connections kept open, also while they are idle.
    pub kept: u32,
    /// Limit of concurrently open connections, reached only while requests wait.
    pub max_open: u32,
    /// Limit of this daemon's statements that run on the member concurrently; further requests
    /// wait in the pool.
    pub max_running: u32,
}

impl Shares {
    /// Share of a daemon that may not connect to members.
    pub const NONE: Shares = Shares { kept: 0, max_open: 0, max_running: 0 };

    /// Share of one of `daemons` daemons in a member's connections and slots.
    pub fn new(connections: u32, slots: u32, daemons: u32) -> Shares {
        let daemons = daemons.max(1);
        let max_open = (connections.saturating_sub(RESERVED_CONNECTIONS) / daemons).max(1);
        // Twice the slots, over all daemons, keep a member busy with a short queue of its
        // own. One more for each daemon absorbs an uneven distribution of callers.
        let max_running = (2 * slots).div_ceil(daemons) + 1;
        // As many again are idle in transactions; more would only be in the way when all VMs
        // have lost power and reconnect.
        let useful = 2 * max_running + 1;
        let kept = (connections * KEPT_PERCENT / 100 / daemons).min(useful).clamp(1, max_open);
        Shares { kept, max_open, max_running }
    }

    /// Share of a carrier of organisations with this many requests that wait or run. Under overload,
    /// the carrier uses all of its part: without the connections of the room, it serves fewer
    /// organisations at a time.
    pub fn for_organisations(self, age: Option<Span>, load: u32) -> Shares {
        let may_be_held = age.is_some_and(|age| age < LOST_CONNECTIONS_HELD);
        if !may_be_held && load >= OVERLOAD_FACTOR * self.max_open {
            return self;
        }
        self.with_restart_room(age)
    }

    /// Leaves a part of the share unused, so that every carrier can open [`RESTART_ROOM`] connections
    /// to each member at once while the members hold those of all processes that lost power. Of the
    /// connections of a member, carriers then hold at most all but [`RESERVED_CONNECTIONS`] and
    /// [`RESTART_ROOM`] for each of them. Where a part is less than the room and
    /// [`MIN_OPEN_FOR_ORGANISATIONS`], the room is smaller.
    ///
    /// `age` is that of a process whose predecessor may have lost power; `None` for any other.
    pub fn with_restart_room(self, age: Option<Span>) -> Shares {
        let room = RESTART_ROOM.min(self.max_open);
        let usual = (self.max_open - room).max(MIN_OPEN_FOR_ORGANISATIONS.min(self.max_open));
        let max_open =
            age.map_or(usual, |age| room + ((usual - room) * released_percent(age) + 50) / 100);
        let kept = (max_open * KEPT_FOR_ORGANISATIONS_PERCENT / 100).max(1);
        Shares { kept, max_open, ..self }
    }

    /// Raises the limit of running statements to this daemon's part of the load that all daemons
    /// together have on a member with `slots`. Without it, a daemon that most of the load is placed
    /// on would leave slots unused while its requests wait.
    pub fn with_load(self, slots: u32, own: u32, all: u32) -> Shares {
        let part = (2 * u64::from(slots) * u64::from(own)).div_ceil(u64::from(all.max(1)));
        let max_running = (part as u32 + 1).clamp(self.max_running, 2 * slots + 1);
        Shares { max_running: max_running.min(self.max_open).max(self.max_running), ..self }
    }

    /// Number of statements on the primary up to which requests of less urgent ranks are started.
    /// Members serve statements in the order of arrival, so an urgent one waits for all that are
    /// queued at the member. Two less than `max_running` give all daemons together about the member's
    /// slots, without a queue.
    pub(crate) fn max_running_beside_urgent(self) -> u32 {
        self.max_running.saturating_sub(2).max(1).min(self.max_running)
    }
}

/// Percentage of the connections beyond the room that a process of this age may open after a loss.
fn released_percent(age: Span) -> u32 {
    let from = ROOM_ONLY_UNTIL.as_millis();
    let rise = LOST_CONNECTIONS_HELD.as_millis() - from;
    (age.as_millis().saturating_sub(from).min(rise) * 100 / rise) as u32
}
