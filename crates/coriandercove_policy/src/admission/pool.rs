//! A pool of slots: the requests that a model or service takes at once from this entry.

use std::time::Duration;

use coriandercove_base::{AccountId, Time};

use super::fair::FairQueue;
use super::types::Arrival;

/// Weight of the past at each completed request: the rate covers about the last 100.
const DECAY: f64 = 0.99;

/// Wait after a request that found no chain, unless a slot is freed earlier.
const BLOCK: Duration = Duration::from_millis(20);

/// Longest wait that is estimated.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Quantile of the actual over the expected service time that waiting requests must allow for.
const QUANTILE: f64 = 0.95;

/// Step of the quantile estimate for each answer.
const QUANTILE_STEP: f64 = 0.1;

/// Bounds of the quantile estimate.
const MARGINS: std::ops::RangeInclusive<f64> = 0.5..=4.0;

#[derive(Debug)]
pub(super) struct Pool {
    pub(super) slots: u32,
    pub(super) in_use: u32,
    pub(super) fair: FairQueue,
    blocked_until: Time,
    /// Decayed sum of the costs of completed requests.
    cost: f64,
    /// Decayed sum of the seconds for which they held a slot.
    held: f64,
    /// Decayed number of completed requests.
    completed: f64,
    /// Estimated [`QUANTILE`] of the actual over the expected service time.
    margin: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            slots: 0,
            in_use: 0,
            fair: FairQueue::default(),
            blocked_until: Time::ZERO,
            cost: 0.0,
            held: 0.0,
            completed: 0.0,
            margin: 1.5,
        }
    }
}

impl Pool {
    pub(super) fn has_slot(&self, now: Time) -> bool {
        self.in_use < self.slots && now >= self.blocked_until
    }

    /// Whether a new request would get a slot at once.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        self.fair.is_empty() && self.has_slot(now)
    }

    pub(super) const fn block(&mut self, now: Time) {
        self.blocked_until = now.saturating_add(BLOCK);
    }

    pub(super) fn complete(&mut self, cost: u64, held: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        self.blocked_until = Time::ZERO;
        self.cost = self.cost * DECAY + cost as f64;
        self.held = self.held * DECAY + held.as_secs_f64();
        self.completed = self.completed * DECAY + 1.0;
    }

    /// Takes an actual service time in. The estimate moves up on a longer one and down on a
    /// shorter one, in the proportion that balances at the quantile.
    pub(super) fn answered(&mut self, expected: Duration, actual: Duration) {
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let part = if ratio > self.margin {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        let margin = self.margin + QUANTILE_STEP * part;
        self.margin = margin.clamp(*MARGINS.start(), *MARGINS.end());
    }

    /// Service time that nearly all requests with this expected one keep to.
    pub(super) fn cautious(&self, service_time: Duration) -> Duration {
        service_time.mul_f64(self.margin)
    }

    /// Cost served per second with all slots in use. Before the first completion, `guess`
    /// stands for the cost per second of one slot.
    fn rate(&self, guess: f64) -> f64 {
        let per_slot = if self.held > 0.0 {
            self.cost / self.held
        } else {
            guess
        };
        per_slot * f64::from(self.slots)
    }

    /// Expected wait of a new request for a slot: until the next slot is freed, and while the
    /// requests ahead are served. Before the first completion, the request's own cost and
    /// service time stand for those of others.
    pub(super) fn wait(&self, arrival: &Arrival, weight: f64, now: Time) -> Duration {
        if self.is_idle(now) {
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
        let ahead = self.fair.ahead(&arrival.account, weight, arrival.priority);
        let seconds = next + ahead / self.rate(arrival.cost as f64 / service).max(1e-9);
        if seconds >= MAX_WAIT.as_secs_f64() {
            MAX_WAIT
        } else {
            Duration::from_secs_f64(seconds)
        }
    }

    /// Share of the pool that an account has if it keeps requests waiting.
    pub(super) fn share(&self, account: &AccountId, weight: f64) -> f64 {
        weight / (weight + self.fair.other_weight(account))
    }
}
