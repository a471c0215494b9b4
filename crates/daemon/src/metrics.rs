use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};

const PREFIX: &str = "corianderwharf";

/// Counters and gauges, sent to a StatsD server.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates metrics that are sent to `statsd`, or discarded if there is no address or no
    /// socket for it.
    pub(crate) fn new(statsd: Option<SocketAddr>) -> Metrics {
        let sink = statsd.and_then(|addr| {
            let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            UdpMetricSink::from(addr, socket).ok()
        });
        let client = match sink {
            Some(sink) => StatsdClient::from_sink(PREFIX, sink),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Metrics { client }
    }

    /// Increments a counter.
    pub(crate) fn count(&self, key: &str) {
        let _ = self.client.count(key, 1);
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, key: &str, value: u64) {
        let _ = self.client.gauge(key, value);
    }
}
