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
    /// Time after which a degraded link's cost is taken as its usual one.
    pub adopt: Duration,
    /// Size of the message whose cost is compared; about one activation.
    pub reference_bytes: u64,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            factor: 1.5,
            hold: Duration::from_secs(5),
            fast: Duration::from_secs(1),
            slow: Duration::from_secs(300),
            min_delta: Duration::from_millis(2),
            adopt: Duration::from_secs(600),
            reference_bytes: 16 * 1024,
        }
    }
}

/// An average whose weight depends on the time between samples.
#[derive(Debug, Clone, Copy)]
struct Average {
    value: f64,
    updated: Option<Time>,
}

impl Average {
    const fn new(value: f64) -> Self {
        Self {
            value,
            updated: None,
        }
    }

    /// The first sample gets most of the weight, because the start value is only configured.
    /// Samples that arrive together count as a millisecond apart.
    fn add(&mut self, now: Time, sample: f64, constant: Duration) {
        let step = self.updated.map_or(constant, |t| now.saturating_sub(t));
        let step = step.max(Duration::from_millis(1));
        let part = 1.0 - (-step.as_secs_f64() / constant.as_secs_f64().max(1e-6)).exp();
        self.value += part * (sample - self.value);
        self.updated = Some(now);
    }
}

/// Estimate of one link in one direction.
#[derive(Debug, Clone)]
pub struct LinkEstimate {
    cfg: LinkConfig,
    /// Current one-way delay in seconds.
    delay: Average,
    /// Current bandwidth as seconds for one byte, so that slow transfers weigh most.
    per_byte: Average,
    /// Usual cost of a reference message in seconds; it stands still while the link is worse.
    usual: Average,
    is_degraded: bool,
    /// Since when the cost has been on the other side of the threshold.
    crossed: Option<Time>,
    degraded_at: Time,
}

impl LinkEstimate {
    /// An estimate that starts from configured or typical values.
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
            delay: Average::new(delay),
            per_byte: Average::new(per_byte),
            usual: Average::new(usual),
            is_degraded: false,
            crossed: None,
            degraded_at: Time::ZERO,
        }
    }

    /// Takes a measurement in and reports a change of condition.
    pub fn observe(&mut self, now: Time, sample: LinkSample) -> Option<LinkEvent> {
        match sample {
            LinkSample::Delay(delay) => self.delay.add(now, delay.as_secs_f64(), self.cfg.fast),
            LinkSample::Transfer { bytes: 0, .. } => {}
            LinkSample::Transfer { bytes, took } => {
                let per_byte = took.as_secs_f64() / bytes as f64;
                self.per_byte.add(now, per_byte, self.cfg.fast);
            }
        }
        self.judge(now)
    }

    /// The current estimate, for the planner.
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

    /// Whether the link counts as degraded.
    #[must_use]
    pub const fn is_degraded(&self) -> bool {
        self.is_degraded
    }

    /// Cost of a message of the reference size, in seconds.
    fn current(&self) -> f64 {
        self.delay.value + self.per_byte.value * self.cfg.reference_bytes as f64
    }

    fn is_worse(&self) -> bool {
        let (current, usual) = (self.current(), self.usual.value);
        current > usual * self.cfg.factor && current - usual > self.cfg.min_delta.as_secs_f64()
    }

    fn judge(&mut self, now: Time) -> Option<LinkEvent> {
        let is_worse = self.is_worse();
        if !is_worse && !self.is_degraded {
            self.usual.add(now, self.current(), self.cfg.slow);
        }
        if self.is_degraded && now >= self.degraded_at + self.cfg.adopt {
            // A lasting change is the link's new usual cost.
            self.usual = Average::new(self.current());
            return self.turn(false, now);
        }
        if is_worse == self.is_degraded {
            self.crossed = None;
            return None;
        }
        let since = *self.crossed.get_or_insert(now);
        if now < since + self.cfg.hold {
            return None;
        }
        self.turn(is_worse, now)
    }

    fn turn(&mut self, is_degraded: bool, now: Time) -> Option<LinkEvent> {
        self.is_degraded = is_degraded;
        self.crossed = None;
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
