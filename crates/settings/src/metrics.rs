use std::net::SocketAddr;

/// Destination of the metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd server. If it is `None`, which is the default, no metrics are
    /// sent.
    pub statsd: Option<SocketAddr>,
}
