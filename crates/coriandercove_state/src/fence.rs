//! Fencing at the agent: refuses orders from a node that no longer holds the lease of a job.
//!
//! An order carries the fencing token of the lease under which it was sent; see
//! [`crate::lease`].

use std::sync::Arc;

use coriandercove_base::{Fence, SortedMap, data};

use crate::fault::{self, Fault};

data! {
    /// Why an order is refused. A refused order has no effect.
    #[derive(Copy, Eq)]
    pub enum FenceRefusal {
        /// The lease object of the job has not been read from the store yet (`fence_unknown`).
        Unknown,
        /// A later holder of the lease is known (`fence_old`).
        Old {
            /// The highest fencing token seen for the job.
            highest: Fence,
        },
    }
}

/// Keeps the highest fencing token of each job and refuses orders with lower ones.
///
/// The gate refuses all orders of a job until its lease object has been read from the store
/// once in this incarnation, because an earlier incarnation of the agent may have accepted orders
/// of a later holder.
#[derive(Debug, Default)]
pub struct FenceGate {
    highest: SortedMap<Arc<str>, Fence>,
}

impl FenceGate {
    /// Creates a gate that refuses every order until [`FenceGate::on_read`] is called.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the fencing token in the lease object of `job`, as read from the store; see
    /// [`crate::lease::fence_of`]. Zero stands for a job without a lease object. A read that
    /// arrives late never lowers the token.
    pub fn on_read(&mut self, job: &str, fence: Fence) {
        let highest = self.highest.get_or_insert_with(job.into(), || 0);
        *highest = fence.max(*highest);
    }

    /// Whether the lease object of `job` has been read in this incarnation.
    #[must_use]
    pub fn is_known(&self, job: &str) -> bool {
        self.highest.contains(job)
    }

    /// Accepts an order if its fencing token is at least the highest one seen for the job, and
    /// records it as the highest.
    ///
    /// # Errors
    /// Why the order is refused.
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
