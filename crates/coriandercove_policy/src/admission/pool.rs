//! A pool of slots. Each slot lets one request of this entry run at a model or service.

use std::time::Duration;

use coriandercove_base::{AccountId, Time};

use super::fair::FairQueue;
use super::types::Arrival;

/// Factor by which each completed request reduces the weight of earlier ones; the averages cover
/// about the last 100 requests.
const COMPLETION_DECAY: f64 = 0.99;

/// Pause of dispatching after a request found no chain, unless a slot is freed earlier.
const NO_CHAIN_PAUSE: Duration = Duration::from_millis(20);

/// Upper bound of the estimated wait.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Quantile of the ratio of actual to expected service time that the deadlines of queued requests
/// must allow for.
const SERVICE_TIME_QUANTILE: f64 = 0.95;

/// Step of the quantile estimate at each measured service time.
const QUANTILE_STEP: f64 = 0.1;

/// Range of the quantile estimate.
const SERVICE_TIME_RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.5..=4.0;

#[derive(Debug)]
pub(super) struct Pool {
    pub(super) slots: u32,
    pub(super) in_use: u32,
    pub(super) fair: FairQueue,
    paused_until: Time,
    /// Decayed sum of the costs of completed requests, in tokens.
    cost: f64,
    /// Decayed sum of the times for which completed requests held a slot, in seconds.
    held: f64,
    /// Decayed number of completed requests.
    completed: f64,
    /// Estimated [`SERVICE_TIME_QUANTILE`] of the ratio of actual to expected service time.
    service_time_ratio: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            slots: 0,
            in_use: 0,
            fair: FairQueue::default(),
            paused_until: Time::ZERO,
            cost: 0.0,
            held: 0.0,
            completed: 0.0,
            service_time_ratio: 1.5,
        }
    }
}

impl Pool {
    pub(super) fn has_slot(&self, now: Time) -> bool {
        self.in_use < self.slots && now >= self.paused_until
    }

    /// Whether a new request would get a slot without waiting.
    pub(super) fn can_dispatch_at_once(&self, now: Time) -> bool {
        self.fair.is_empty() && self.has_slot(now)
    }

    pub(super) const fn pause(&mut self, now: Time) {
        self.paused_until = now.saturating_add(NO_CHAIN_PAUSE);
    }

    pub(super) fn complete(&mut self, cost: u64, held: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        self.paused_until = Time::ZERO;
        self.cost = self.cost * COMPLETION_DECAY + cost as f64;
        self.held = self.held * COMPLETION_DECAY + held.as_secs_f64();
        self.completed = self.completed * COMPLETION_DECAY + 1.0;
    }

    /// Updates the quantile estimate with a measured service time. The estimate moves up if the
    /// ratio is above it and down otherwise, in the proportion that balances at the quantile.
    pub(super) fn record_service_time(&mut self, expected: Duration, actual: Duration) {
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let direction = if ratio > self.service_time_ratio {
            SERVICE_TIME_QUANTILE
        } else {
            SERVICE_TIME_QUANTILE - 1.0
        };
        let service_time_ratio = self.service_time_ratio + QUANTILE_STEP * direction;
        self.service_time_ratio = service_time_ratio.clamp(
            *SERVICE_TIME_RATIO_RANGE.start(),
            *SERVICE_TIME_RATIO_RANGE.end(),
        );
    }

    /// Returns the service time that a fraction [`SERVICE_TIME_QUANTILE`] of the requests with this
    /// expected service time does not exceed.
    pub(super) fn service_time_at_quantile(&self, service_time: Duration) -> Duration {
        service_time.mul_f64(self.service_time_ratio)
    }

    /// Cost in tokens served per second with all slots in use. Before the first completion,
    /// `default_per_slot` is used as the cost per second of one slot.
    fn rate(&self, default_per_slot: f64) -> f64 {
        let per_slot = if self.held > 0.0 {
            self.cost / self.held
        } else {
            default_per_slot
        };
        per_slot * f64::from(self.slots)
    }

    /// Estimates the wait of a new request for a slot: the time until the next slot is freed, and
    /// the time to serve the requests ahead of it. Before the first completion, the cost and
    /// service time of the request itself are assumed for all requests.
    pub(super) fn estimate_wait(&self, arrival: &Arrival, weight: f64, now: Time) -> Duration {
        if self.can_dispatch_at_once(now) {
            return Duration::ZERO;
        }
        let service = arrival.service_time.as_secs_f64().max(1e-3);
        let slots = f64::from(self.slots).max(1e-9);
        let held = if self.completed > 0.0 {
            self.held / self.completed
        } else {
            service
        };
        let next = if self.in_use < self.slots {
            0.0
        } else {
            held / slots
        };
        let cost_ahead = self
            .fair
            .cost_ahead(&arrival.account, weight, arrival.priority);
        let seconds = next + cost_ahead / self.rate(arrival.cost as f64 / service).max(1e-9);
        if seconds >= MAX_WAIT.as_secs_f64() {
            MAX_WAIT
        } else {
            Duration::from_secs_f64(seconds)
        }
    }

    /// Share of the pool, from 0 to 1, that an account gets while it always has requests waiting.
    pub(super) fn share(&self, account: &AccountId, weight: f64) -> f64 {
        weight / (weight + self.fair.other_weight(account))
    }
}
