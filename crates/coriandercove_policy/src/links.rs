//! Estimates of link delay and bandwidth, and detection of degraded links.

use std::time::Duration;

use coriandercove_base::{Time, data};

use crate::chain::LinkCost;

data! {
    /// One measurement of a link.
    #[derive(Copy, Eq)]
    pub enum LinkSample {
        /// One-way delay of a small message, such as half the round trip of a keepalive.
        Delay(Duration),
        /// Transfer of `bytes` that took `took` beyond the delay.
        Transfer {
            /// Size of the transfer.
            bytes: u64,
            /// Duration of the transfer.
            took: Duration,
        },
    }

    /// Change of a link's condition.
    #[derive(Copy, Eq)]
    pub enum LinkEvent {
        /// Worse than usual by the factor for the hold time; chains over it are replanned.
        Degraded,
        /// Back to normal for the hold time.
        Recovered,
    }
}

/// Settings of link estimation.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkConfig {
    /// Factor over the usual cost from which a link counts as degraded.
    pub factor: f64,
    /// Time that the cost must stay above or below the factor.
    pub hold: Duration,
    /// Time constant of the current estimate.
    pub fast: Duration,
    /// Time constant of the usual cost.
    pub slow: Duration,
    /// Delay differences below this never count as degradation.
    pub min_delta: Duration,
}

/// Estimate of one link in one direction.
#[derive(Debug, Clone)]
pub struct LinkEstimate {}

impl LinkEstimate {
    /// An estimate that starts from configured or typical values.
    #[must_use]
    pub fn new(cfg: LinkConfig, initial: LinkCost) -> Self {
        unimplemented!()
    }

    /// Takes a measurement in and reports a change of condition.
    pub fn observe(&mut self, now: Time, sample: LinkSample) -> Option<LinkEvent> {
        unimplemented!()
    }

    /// The current estimate, for the planner.
    #[must_use]
    pub fn cost(&self) -> LinkCost {
        unimplemented!()
    }

    /// Whether the link counts as degraded.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        unimplemented!()
    }
}
