//! Counts of what an engine stand-in has done, for tests and figures.

use coriandercove_base::data;
use coriandercove_target::{ForwardResult, ItemError, OrderRequest};

data! {
    /// Counts since the engine started; answer to `GET /control/stats`.
    #[derive(Default, Eq, Copy)]
    pub struct EngineStats {
        /// Iterations run.
        pub iterations: u64,
        /// Items run.
        pub items: u64,
        /// Positions run one at a time.
        pub decoded: u64,
        /// Positions run as part of a prompt.
        pub prefilled: u64,
        /// Positions whose state came from the prefix cache.
        pub cached: u64,
        /// Tokens sampled.
        pub tokens: u64,
        /// Sequences cancelled.
        pub cancels: u64,
        /// Items refused as [`ItemError::PositionRepeat`].
        pub repeats: u64,
        /// Items refused as [`ItemError::PositionGap`].
        pub gaps: u64,
        /// Items refused as [`ItemError::StaleEpoch`].
        pub stale: u64,
        /// Items that did not run for other reasons.
        pub other_errors: u64,
    }

    /// An order that arrived.
    #[derive(Eq)]
    pub struct OrderRecord {
        /// The order.
        pub request: OrderRequest,
        /// Whether the engine follows it.
        pub accepted: bool,
    }
}

impl EngineStats {
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
