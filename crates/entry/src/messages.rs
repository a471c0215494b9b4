use std::{net::SocketAddr, sync::Arc};

use adapter::Config;
use base::{MemberId, Span, Time};
use pool::{MemberSpec, Shares};
use shedding::LoadReport;
use succession::{PlacementCarrier, PrimaryHealth};

/// Message from the control thread to the data thread.
#[derive(Debug)]
pub(crate) enum Order {
    /// Replaces the configuration.
    Config(Arc<Config>),
    /// Sets the members of a group and their addresses.
    Members { group: String, members: Vec<(MemberSpec, SocketAddr)> },
    /// Sets this daemon's share of the capacity of each member of a group.
    Shares { group: String, shares: Shares },
    /// Sets the primary of a group; `lead` is `None` while a failover is in progress.
    /// The data thread answers with [`Report::Applied`] once it no longer uses any
    /// earlier primary.
    SetPrimary { group: String, lead: Option<MemberId>, planned: bool, version: u64 },
    /// Sets whether this daemon connects sessions to members itself, and the carriers
    /// to choose from if it does not.
    Carriers(CarrierChoice),
    /// Records the load that the carrier at this session address reported in answer to a heartbeat
    /// that was sent at `asked_at`.
    CarrierLoad { sessions: SocketAddr, asked_at: Time, report: Box<LoadReport> },
    /// Sets whether idle sessions are closed so that their callers move to other
    /// daemons, because this one cannot determine the primary.
    Evacuate(bool),
    /// Starts the shutdown.
    Stop,
}

/// Who runs the statements of a daemon's sessions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct CarrierChoice {
    /// Whether this daemon connects sessions to members itself.
    pub(crate) is_carrier: bool,
    /// The carriers that sessions are placed on by their organisations; `None` if the deployment
    /// has no organisations.
    pub(crate) placement: Option<Vec<PlacementCarrier>>,
    /// Session addresses of the carriers to choose from if it does not, and sessions are not
    /// placed by their organisations.
    pub(crate) preferred: Vec<SocketAddr>,
    /// Session addresses of all carriers that answer without delay: their answers to reads are
    /// still awaited.
    pub(crate) answering: Vec<SocketAddr>,
    /// Session addresses of all carriers that are not lost: their answers to writes and in
    /// transactions are still awaited.
    pub(crate) live: Vec<SocketAddr>,
}

/// Message from the data thread to the control thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// The configuration of this version is in force in the data thread.
    ConfigApplied { version: u64 },
    /// An [`Order::SetPrimary`] of this version has taken effect.
    Applied { group: String, version: u64 },
    /// Health of a group's primary as observed by this daemon.
    PrimaryHealth { group: String, primary: MemberId, health: PrimaryHealth },
    /// Number of a group's requests that wait or run.
    Load { group: String, load: u32 },
    /// Operations of an organisation that had none here lack its part of the limit, which the other
    /// carriers lend once they learn of the demand.
    QuotaDemand,
    /// A session with the carrier at this address could not be opened, or was lost.
    CarrierFailed { sessions: SocketAddr },
    /// A session asks for a database that the configuration lacks, and the configuration may be
    /// outdated.
    ConfigInDoubt,
    /// Every session has ended after [`Order::Stop`].
    SessionsEnded,
}

/// Subtracted from the time for which a revoked API key may still be used: what a statement takes to
/// reach its member, and the precision of the ages that carriers tell each other.
pub(crate) const REVOCATION_MARGIN: Span = Span::from_millis(250);

/// How long a planned failover waits for open transactions on the old primary.
pub(crate) const PLANNED_DRAIN_TIMEOUT: Span = Span::from_millis(500);
