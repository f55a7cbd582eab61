//! Metrics of the returns of refused callers.

use std::time::Duration;

use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// Metrics of returning callers.
#[derive(Debug, Clone)]
pub struct ReturnMetrics {
    /// Callers that were told to return and are still due.
    pub promised: Gauge,
    retry_after: Histogram,
    callers: CounterFamily,
}

impl ReturnMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(m: &Metrics) -> Self {
        Self {
            promised: m.gauge("promised_returns", "Refused callers told to return"),
            retry_after: m.duration_histogram("retry_after_seconds", "Advised retry delays"),
            callers: m.counters("returning_callers", "Returning callers by outcome"),
        }
    }

    /// Records an advised retry delay.
    pub fn retry_after(&self, after: Duration) {
        self.retry_after.observe(after.as_secs_f64());
    }

    /// Counts a returning caller.
    pub fn caller(&self, outcome: &str) {
        count(&self.callers, "outcome", outcome);
    }
}
