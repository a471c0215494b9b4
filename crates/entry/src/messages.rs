use std::{net::SocketAddr, sync::Arc};

use adapter::Config;
use base::{MemberId, Span};
use pool::{MemberSpec, Shares};
use succession::PrimaryHealth;

/// What the control thread tells the data thread.
#[derive(Debug)]
pub(crate) enum Order {
    /// A newer configuration is in force.
    Config(Arc<Config>),
    /// The members of a group.
    Members { group: String, members: Vec<(MemberSpec, SocketAddr)> },
    /// This daemon's part of each member of a group.
    Shares { group: String, shares: Shares },
    /// Who is primary of a group; `None` while a change is under way. To be answered
    /// by [`Report::Applied`] when no older primary is used any more.
    SetPrimary { group: String, lead: Option<MemberId>, planned: bool, version: u64 },
    /// Whether this daemon carries sessions to members itself, and which carriers to
    /// choose from otherwise.
    Carriers { is_carrier: bool, session_addrs: Vec<SocketAddr> },
    /// Whether idle sessions should go to other daemons, since this one cannot tell
    /// who is primary.
    Evacuate(bool),
    /// The process ends.
    Stop,
}

/// What the data thread tells the control thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// An order about a primary is in force.
    Applied { group: String, version: u64 },
    /// How the primary of a group does.
    PrimaryHealth { group: String, primary: MemberId, health: PrimaryHealth },
    /// A session could not be had from a carrier, or broke.
    CarrierFailed { session_addr: SocketAddr },
    /// Every session has ended.
    SessionsEnded,
}

/// How long a planned change lets transactions at the old primary end.
pub(crate) const PLANNED_DRAIN_TIMEOUT: Span = Span::from_millis(500);
