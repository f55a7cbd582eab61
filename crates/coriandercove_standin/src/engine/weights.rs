//! The rate-limited weight store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A weight store that serves one layer at a time. Clones share its rate, also across threads.
#[derive(Debug, Clone)]
pub struct WeightStore {
    layer: Duration,
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl WeightStore {
    /// A store that needs the time `layer` for each layer.
    #[must_use]
    pub fn new(layer: Duration) -> Self {
        Self {
            layer,
            free_at: Arc::default(),
        }
    }

    /// Books the load of some layers; returns when it will have finished.
    #[must_use]
    pub fn book(&self, now: Instant, layers: u32) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = free_at.map_or(now, |t| t.max(now));
        let end = start + self.layer * layers;
        *free_at = Some(end);
        end
    }
}
