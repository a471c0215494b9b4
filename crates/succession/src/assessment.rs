use base::Span;

/// One daemon's observation of a group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum PrimaryHealth {
    /// It answers requests.
    Good,
    /// It has not answered for this long although it was asked.
    Silent(Span),
    /// Its address refuses connections.
    Refused,
}

/// Conclusion from the daemons' observations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Assessment {
    /// Keep the primary.
    Keep,
    /// Fail over to another member.
    Replace,
}

/// Silence that counts as failure: longer than a statement takes on a slow member
/// whose queue is full, and short compared with the duration of a failover.
const FAILED_AFTER: Span = Span::from_millis(700);
/// Percentage of the daemons that must find the primary failed before it is replaced. If
/// fewer do, sending their callers through other daemons does less harm than a failover,
/// which affects all callers.
const FAILED_PERCENT: usize = 40;

/// Decides from the daemons' observations whether a primary is to be replaced.
pub fn assess(opinions: &[PrimaryHealth]) -> Assessment {
    let failed = opinions.iter().filter(|opinion| match opinion {
        PrimaryHealth::Good => false,
        PrimaryHealth::Silent(silence) => *silence >= FAILED_AFTER,
        PrimaryHealth::Refused => true,
    });
    let failed = failed.count();
    if failed > 0 && failed * 100 >= opinions.len() * FAILED_PERCENT {
        Assessment::Replace
    } else {
        Assessment::Keep
    }
}
