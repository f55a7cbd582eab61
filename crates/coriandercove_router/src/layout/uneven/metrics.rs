//! Metrics of the placement for uneven accelerators.

use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use prometheus_client::metrics::gauge::Gauge;

/// Metrics of the placement for uneven accelerators.
#[derive(Clone)]
pub struct PlacementMetrics {
    /// Requests per second that the layout sustains, by the estimate of the leader.
    pub layout_capacity: Gauge,
    /// Targets moved to other layers, by cause.
    moves: CounterFamily,
}

impl PlacementMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            layout_capacity: metrics.gauge(
                "layout_capacity",
                "Requests per second that the layout sustains",
            ),
            moves: metrics.counters("moves", "Targets moved to other layers by cause"),
        }
    }

    /// Counts a move.
    pub fn moved(&self, cause: &str) {
        count(&self.moves, "cause", cause);
    }
}
