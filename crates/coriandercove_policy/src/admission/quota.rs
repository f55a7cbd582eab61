//! Token buckets whose rate is split among the live entries by demand.

use std::time::Duration;

use coriandercove_base::Time;

/// Time constant of the demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Exponentially weighted rate of arrivals, in units per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RateMeter {
    rate: f64,
    updated: Time,
}

impl RateMeter {
    pub(super) fn add(&mut self, now: Time, amount: f64) {
        self.rate = self.rate(now) + amount / DEMAND_WINDOW.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    pub(super) fn rate(&self, now: Time) -> f64 {
        let step = now.saturating_sub(self.updated).as_secs_f64();
        self.rate * (-step / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// Returns this entry's share of a quota that is divided among entries by their demand. The first
/// of `demands` is this entry's.
///
/// If the quota covers the total demand, each entry gets its demand and an even part of the rest,
/// so that every entry has room for a new burst. Otherwise the division is max-min fair. If all
/// entries use the same demands, their shares add up to the quota.
#[must_use]
pub fn quota_share(quota: f64, demands: &[f64]) -> f64 {
    let n = demands.len().max(1) as f64;
    let own = demands.first().copied().unwrap_or(0.0);
    let total: f64 = demands.iter().sum();
    if total <= quota {
        return own + (quota - total) / n;
    }
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = quota;
    for (i, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - i) as f64;
        if *demand >= level {
            return own.min(level);
        }
        left -= demand;
    }
    own
}

/// Token bucket of one account at this entry.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    /// Refill rate in tokens per second: this entry's share of the quota.
    rate: f64,
    /// Capacity in tokens; at least 1.
    burst: f64,
    /// Tokens at the time `updated`; at most `burst`, and below 0 after a request whose cost
    /// exceeded the burst or was underestimated.
    tokens: f64,
    updated: Time,
}

impl Bucket {
    pub(super) fn new(rate: f64, burst: f64, now: Time) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            tokens: burst,
            updated: now,
        }
    }

    /// Changes the rate and the burst; tokens above the new burst are dropped.
    pub(super) fn set_share(&mut self, rate: f64, burst: f64, now: Time) {
        self.tokens = self.level(now);
        self.updated = self.updated.max(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Returns the tokens in the bucket at `now`.
    pub(super) fn level(&self, now: Time) -> f64 {
        let step = now.saturating_sub(self.updated).as_secs_f64();
        (self.tokens + step * self.rate).min(self.burst)
    }

    /// Returns the time until a request of this cost is allowed, at most one hour; zero if it is
    /// allowed now. A request that costs more than the burst is allowed when the bucket is full.
    pub(super) fn wait_time(&self, now: Time, cost: f64) -> Duration {
        let missing = cost.min(self.burst) - self.level(now);
        if missing <= 1e-9 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64((missing / self.rate.max(1e-9)).min(3600.0))
        }
    }

    /// Deducts tokens, or returns them if `cost` is negative.
    pub(super) fn charge(&mut self, now: Time, cost: f64) {
        self.tokens = (self.level(now) - cost).min(self.burst);
        self.updated = self.updated.max(now);
    }
}

#[cfg(test)]
mod tests;
