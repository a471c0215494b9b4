use succession::PrimaryHealth;

/// Heartbeat between daemons, one datagram.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(crate) struct Heartbeat {
    /// VM of the sender.
    pub(crate) from: String,
    /// Run of its daemon.
    pub(crate) run: u64,
    /// Whether the sender is a carrier; the others only ask.
    pub(crate) carries: bool,
    /// Whether the store answers the sender, so that it can change primaries.
    pub(crate) acts: bool,
    /// Number of this heartbeat.
    pub(crate) number: u64,
    /// Number of the last heartbeat that the sender had from the receiver.
    pub(crate) echo: u64,
    /// Run of the receiver that the echo speaks of.
    pub(crate) echo_run: u64,
    /// Version of the sender's rows in force.
    pub(crate) version: u64,
    /// Versions of the newest rows of the operator, of the members, and of the project
    /// that the sender knows.
    pub(crate) newest: [u64; 3],
    /// How primaries do: group, member, opinion.
    pub(crate) opinions: Vec<(String, String, PrimaryHealth)>,
}
