//! Estimation of link delay and bandwidth, and detection of degraded links.

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
        /// The cost exceeded the usual cost by [`LinkConfig::degraded_factor`] for the hold time.
        /// Running chains over the link may be replaced.
        Degraded,
        /// The cost was below the factor for the hold time, or the present cost was adopted as the
        /// usual one.
        Recovered,
    }
}

/// Settings of [`LinkEstimate`].
#[derive(Debug, Clone, PartialEq)]
pub struct LinkConfig {
    /// A link is degraded if its cost exceeds the usual cost by this factor.
    pub degraded_factor: f64,
    /// Time for which the cost must stay above or below the factor before the condition changes.
    pub hold_time: Duration,
    /// Time constant of the averages of current delay and bandwidth.
    pub current_time_constant: Duration,
    /// Time constant of the average that gives the usual cost.
    pub usual_time_constant: Duration,
    /// Differences from the usual cost up to this never count as degradation.
    pub min_difference: Duration,
    /// Time after which the cost of a degraded link is adopted as its usual cost.
    pub adopt_after: Duration,
    /// Size in bytes of the message whose cost is compared; about one activation.
    pub reference_bytes: u64,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            degraded_factor: 1.5,
            hold_time: Duration::from_secs(5),
            current_time_constant: Duration::from_secs(1),
            usual_time_constant: Duration::from_secs(300),
            min_difference: Duration::from_millis(2),
            adopt_after: Duration::from_secs(600),
            reference_bytes: 16 * 1024,
        }
    }
}

/// An exponentially weighted average for samples at irregular intervals.
#[derive(Debug, Clone, Copy)]
struct TimeWeightedAverage {
    value: f64,
    updated: Option<Time>,
}

impl TimeWeightedAverage {
    const fn new(value: f64) -> Self {
        Self {
            value,
            updated: None,
        }
    }

    /// Adds a sample. The first sample gets most of the weight, because the initial value is only
    /// configured. Samples that arrive together are weighted as if they were a millisecond apart.
    fn add(&mut self, now: Time, sample: f64, time_constant: Duration) {
        let step = self
            .updated
            .map_or(time_constant, |t| now.saturating_sub(t));
        let step = step.max(Duration::from_millis(1));
        let weight = 1.0 - (-step.as_secs_f64() / time_constant.as_secs_f64().max(1e-6)).exp();
        self.value += weight * (sample - self.value);
        self.updated = Some(now);
    }
}

/// Estimate of one link in one direction.
#[derive(Debug, Clone)]
pub struct LinkEstimate {
    cfg: LinkConfig,
    /// Current one-way delay in seconds.
    delay: TimeWeightedAverage,
    /// Current transfer time in seconds per byte, averaged in place of the bandwidth so that slow
    /// transfers weigh most.
    per_byte: TimeWeightedAverage,
    /// Usual cost of a message of the reference size in seconds; not updated while the link is
    /// worse.
    usual: TimeWeightedAverage,
    is_degraded: bool,
    /// Time since which the cost has contradicted `is_degraded`, if it does.
    crossed_at: Option<Time>,
    degraded_at: Time,
}

impl LinkEstimate {
    /// Creates an estimate that starts from configured or typical values.
    #[must_use]
    pub fn new(cfg: LinkConfig, initial: LinkCost) -> Self {
        let per_byte = if initial.bandwidth == 0 {
            0.0
        } else {
            1.0 / initial.bandwidth as f64
        };
        let delay = initial.delay.as_secs_f64();
        let usual = delay + per_byte * cfg.reference_bytes as f64;
        Self {
            cfg,
            delay: TimeWeightedAverage::new(delay),
            per_byte: TimeWeightedAverage::new(per_byte),
            usual: TimeWeightedAverage::new(usual),
            is_degraded: false,
            crossed_at: None,
            degraded_at: Time::ZERO,
        }
    }

    /// Adds a measurement, and returns a change of the link's condition.
    pub fn observe(&mut self, now: Time, sample: LinkSample) -> Option<LinkEvent> {
        match sample {
            LinkSample::Delay(delay) => {
                self.delay
                    .add(now, delay.as_secs_f64(), self.cfg.current_time_constant);
            }
            LinkSample::Transfer { bytes: 0, .. } => {}
            LinkSample::Transfer { bytes, took } => {
                let per_byte = took.as_secs_f64() / bytes as f64;
                self.per_byte
                    .add(now, per_byte, self.cfg.current_time_constant);
            }
        }
        self.update_condition(now)
    }

    /// Returns the current estimate, for the planner.
    #[must_use]
    pub fn cost(&self) -> LinkCost {
        let bandwidth = if self.per_byte.value > 0.0 {
            (1.0 / self.per_byte.value) as u64
        } else {
            0
        };
        LinkCost {
            delay: Duration::from_secs_f64(self.delay.value.max(0.0)),
            bandwidth,
        }
    }

    /// Whether the link is currently degraded.
    #[must_use]
    pub const fn is_degraded(&self) -> bool {
        self.is_degraded
    }

    /// Returns the current cost of a message of the reference size, in seconds.
    fn current(&self) -> f64 {
        self.delay.value + self.per_byte.value * self.cfg.reference_bytes as f64
    }

    fn is_worse(&self) -> bool {
        let (current, usual) = (self.current(), self.usual.value);
        current > usual * self.cfg.degraded_factor
            && current - usual > self.cfg.min_difference.as_secs_f64()
    }

    fn update_condition(&mut self, now: Time) -> Option<LinkEvent> {
        let is_worse = self.is_worse();
        if !is_worse && !self.is_degraded {
            self.usual
                .add(now, self.current(), self.cfg.usual_time_constant);
        }
        if self.is_degraded && now >= self.degraded_at + self.cfg.adopt_after {
            // A lasting change is the link's new usual cost.
            self.usual = TimeWeightedAverage::new(self.current());
            return self.set_degraded(false, now);
        }
        if is_worse == self.is_degraded {
            self.crossed_at = None;
            return None;
        }
        let since = *self.crossed_at.get_or_insert(now);
        if now < since + self.cfg.hold_time {
            return None;
        }
        self.set_degraded(is_worse, now)
    }

    fn set_degraded(&mut self, is_degraded: bool, now: Time) -> Option<LinkEvent> {
        self.is_degraded = is_degraded;
        self.crossed_at = None;
        if is_degraded {
            self.degraded_at = now;
            Some(LinkEvent::Degraded)
        } else {
            Some(LinkEvent::Recovered)
        }
    }
}

#[cfg(test)]
mod tests;
