//! Placement: which target holds which layers of which model, and the orders that get it there.

mod types;

pub use types::{
    Assignment, DesiredRange, Outcome, PlacementAction, PlacementCounters, PlacementEvent,
    PlacementOrder, PlacementSettings, RangeId, TargetView,
};

use coriandercove_base::Time;

/// The placement job of one holder of the placement lease.
#[derive(Debug)]
pub struct Placement {
    cfg: PlacementSettings,
    counters: PlacementCounters,
}

impl Placement {
    /// A planner that gives no order until it has a fencing number.
    #[must_use]
    pub fn new(cfg: PlacementSettings) -> Self {
        Self {
            cfg,
            counters: PlacementCounters::default(),
        }
    }

    /// Takes one event at time `now`. Ticks are expected about every second.
    pub fn on_event(&mut self, now: Time, event: PlacementEvent) -> Vec<PlacementAction> {
        let _ = (now, event, &self.cfg);
        Vec::new()
    }

    /// Counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &PlacementCounters {
        &self.counters
    }
}
