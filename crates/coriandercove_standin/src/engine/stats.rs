//! Counters and records of what an engine stand-in has done, for tests and measurements.

use coriandercove_base::data;
use coriandercove_target::{ForwardResult, ItemError, OrderRequest};

data! {
    /// Counters since the engine started; answer to `GET /control/stats`.
    #[derive(Default, Eq, Copy)]
    pub struct EngineStats {
        /// Iterations that were run.
        pub iterations: u64,
        /// Items that ran without an error.
        pub items: u64,
        /// Positions run one at a time, that is, by items with one input.
        pub decoded: u64,
        /// Positions run as part of a prompt, that is, by items with several inputs.
        pub prefilled: u64,
        /// Positions whose state came from the prefix cache.
        pub cached: u64,
        /// Tokens sampled.
        pub tokens: u64,
        /// Calls to cancel a sequence, also an unknown one.
        pub cancels: u64,
        /// Items refused as [`ItemError::PositionRepeat`].
        pub repeats: u64,
        /// Items refused as [`ItemError::PositionGap`].
        pub gaps: u64,
        /// Items refused as [`ItemError::StaleEpoch`].
        pub stale: u64,
        /// Items that were refused or failed for other reasons.
        pub other_errors: u64,
    }

    /// An order that reached the engine.
    #[derive(Eq)]
    pub struct OrderRecord {
        /// The order with its fencing token.
        pub request: OrderRequest,
        /// Whether the engine accepted it.
        pub accepted: bool,
    }
}

impl EngineStats {
    /// Counts the result of one item of an iteration.
    pub(super) fn count(&mut self, result: &Result<ForwardResult, ItemError>) {
        let counter = match result {
            Ok(r) => {
                self.tokens += u64::from(r.token.is_some());
                &mut self.items
            }
            Err(ItemError::PositionRepeat { .. }) => &mut self.repeats,
            Err(ItemError::PositionGap { .. }) => &mut self.gaps,
            Err(ItemError::StaleEpoch) => &mut self.stale,
            Err(_) => &mut self.other_errors,
        };
        *counter += 1;
    }
}
