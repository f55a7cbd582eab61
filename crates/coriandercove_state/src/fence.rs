//! The agent's gate for fenced orders.

use std::sync::Arc;

use coriandercove_base::{Fence, SortedMap, data};

use crate::fault::{self, Fault};

data! {
    /// Why an order is refused. A refused order had no effect.
    #[derive(Copy, Eq)]
    pub enum FenceRefusal {
        /// The highest number of the job has not been read from the store yet
        /// (`fence_unknown`).
        Unknown,
        /// A newer holder is known (`fence_old`).
        Old {
            /// The highest number seen.
            highest: Fence,
        },
    }
}

/// Keeps the highest fencing number of each job and refuses orders with lower ones.
///
/// The gate refuses all orders of a job until its lease object has been read from the store
/// once in this incarnation, because orders of a newer holder may have passed an earlier
/// incarnation of the agent.
#[derive(Debug, Default)]
pub struct FenceGate {
    highest: SortedMap<Arc<str>, Fence>,
}

impl FenceGate {
    /// A gate that knows nothing and refuses every order.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of the lease object of `job` as read from the store; see
    /// [`crate::lease::fence_of`]. Zero stands for a job without a lease object.
    pub fn on_read(&mut self, job: &str, fence: Fence) {
        let highest = self.highest.get_or_insert_with(job.into(), || 0);
        *highest = fence.max(*highest);
    }

    /// Whether the lease object of `job` has been read.
    #[must_use]
    pub fn is_known(&self, job: &str) -> bool {
        self.highest.contains(job)
    }

    /// Decides on an order and remembers its number.
    ///
    /// # Errors
    /// The reason to refuse the order.
    pub fn check(&mut self, job: &str, fence: Fence) -> Result<(), FenceRefusal> {
        if fault::is_on(Fault::FenceGateNotRead) && !self.highest.contains(job) {
            self.highest.insert(job.into(), 0);
        }
        match self.highest.get_mut(job) {
            None => Err(FenceRefusal::Unknown),
            Some(highest) if fence < *highest => Err(FenceRefusal::Old { highest: *highest }),
            Some(highest) => {
                *highest = fence;
                Ok(())
            }
        }
    }
}

#[cfg(test)]
mod tests;
