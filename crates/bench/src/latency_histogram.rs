use hdrhistogram::Histogram;

/// 10 minutes; longer latencies are recorded as this value.
const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Distribution of latencies, recorded in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    pub(crate) fn new() -> LatencyHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        LatencyHistogram { histogram: histogram.expect("the bounds are valid") }
    }

    pub(crate) fn record(&mut self, micros: u64) {
        self.histogram.saturating_record(micros);
    }

    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }

    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub(crate) fn max_ms(&self) -> f64 {
        self.histogram.max() as f64 / 1_000.0
    }
}
