//! Rate-limited store that engine stand-ins load weights from.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A weight store that transfers one layer at a time. Clones share its rate, also across threads.
#[derive(Debug, Clone)]
pub struct WeightStore {
    /// Time to transfer one layer.
    time_per_layer: Duration,
    /// End of the last reserved transfer.
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl WeightStore {
    /// Creates a store that needs `time_per_layer` for each layer.
    #[must_use]
    pub fn new(time_per_layer: Duration) -> Self {
        Self {
            time_per_layer,
            free_at: Arc::default(),
        }
    }

    /// Reserves the transfer of `layers` layers after all transfers reserved before; returns the
    /// time at which it ends.
    #[must_use]
    pub fn reserve(&self, now: Instant, layers: u32) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = free_at.map_or(now, |t| t.max(now));
        let end = start + self.time_per_layer * layers;
        *free_at = Some(end);
        end
    }
}
