//! Retry rules, retry budget and backoff.

use std::time::Duration;

use coriandercove_base::{Time, data, rng::Rng};
use rand::Rng as _;

data! {
    /// Why a request is retried. The names are stable, because metrics use them.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RetryReason {
        /// No part of the request had been sent to the agent.
        BeforeDispatch,
        /// The agent confirmed that the request did not run.
        NotRun,
        /// The call is marked as repeatable.
        Repeatable,
        /// A stage of a running stream was lost, and a new attempt continues the stream.
        StreamRecovery,
    }

    /// What is known of a failed attempt.
    #[derive(Copy, Eq)]
    pub enum Failure {
        /// No part of the request had been sent to the agent.
        BeforeDispatch,
        /// The agent confirmed that the request did not run.
        ProvenNotRun,
        /// The request may have run.
        Unknown,
        /// A stage of a running stream was lost.
        StageLost,
    }

    /// Why a request is not retried.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum NoRetry {
        /// The request may have run and must not be repeated.
        MayHaveRun,
        /// The retry budget is spent.
        Budget,
        /// The backoff ends after the deadline.
        Deadline,
        /// The limit of attempts is reached.
        Attempts,
    }

    /// A permitted retry.
    #[derive(Copy, Eq)]
    pub struct Retry {
        /// Reason that is counted.
        pub reason: RetryReason,
        /// Wait before the next attempt.
        pub after: Duration,
    }
}

/// A failed attempt, for [`RetryPolicy::decide`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailedAttempt {
    /// What is known of the failure.
    pub failure: Failure,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Number of attempts made, this one included; at least 1.
    pub attempts: u32,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Settings of [`RetryPolicy`].
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Retries that each new request adds to the budget.
    pub ratio: f64,
    /// Retries per second that are allowed regardless of the number of requests.
    pub floor_per_second: f64,
    /// Upper bound of the first backoff; doubles with each attempt.
    pub base: Duration,
    /// Upper bound of every backoff.
    pub max: Duration,
    /// Maximum number of attempts of one request. Recoveries of running streams are not limited.
    pub max_attempts: u32,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            floor_per_second: 3.0,
            base: Duration::from_millis(10),
            max: Duration::from_millis(500),
            max_attempts: 5,
        }
    }
}

/// Length of the time, in seconds, over which unused retries may be saved up.
const BURST_SECONDS: f64 = 10.0;

/// Retry budget of one entry.
///
/// The budget consists of two token buckets: one is filled at the constant rate of the floor, the
/// other by new requests. Recoveries of running streams do not use the budget, because their
/// requests are already admitted and none of them may be lost.
#[derive(Debug)]
pub struct RetryPolicy {
    cfg: RetryConfig,
    /// Retries left in the floor's bucket. Its capacity is `floor_per_second` x [`BURST_SECONDS`],
    /// but at least 1.
    floor: f64,
    /// Retries left in the bucket filled by requests. Its capacity is the number of retries earned
    /// in [`BURST_SECONDS`] at the present rate of requests, but at least 1.
    earned: f64,
    /// Requests per second, averaged over [`BURST_SECONDS`].
    rate: f64,
    updated: Time,
}

impl RetryPolicy {
    /// Creates a policy whose budget starts with the retries that the floor allows in one second.
    #[must_use]
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            floor: cfg.floor_per_second,
            earned: 0.0,
            rate: 0.0,
            updated: Time::ZERO,
            cfg,
        }
    }

    /// Counts a new request, which adds [`RetryConfig::ratio`] retries to the budget.
    pub fn on_request(&mut self, now: Time) {
        self.refill(now);
        self.rate += 1.0 / BURST_SECONDS;
        let max_retries = (self.rate * BURST_SECONDS * self.cfg.ratio).max(1.0);
        self.earned = (self.earned + self.cfg.ratio).min(max_retries);
    }

    /// Decides whether a failed attempt is retried, and deducts a permitted retry from the budget.
    ///
    /// # Errors
    /// [`NoRetry`] if the request is not retried, with the reason.
    pub fn decide(
        &mut self,
        now: Time,
        attempt: &FailedAttempt,
        rng: &mut Rng,
    ) -> Result<Retry, NoRetry> {
        let reason = retry_reason(attempt).ok_or(NoRetry::MayHaveRun)?;
        if attempt.attempts >= self.cfg.max_attempts && reason != RetryReason::StreamRecovery {
            return Err(NoRetry::Attempts);
        }
        let after = self.backoff(reason, attempt.attempts, rng);
        if now + after >= attempt.deadline {
            return Err(NoRetry::Deadline);
        }
        if reason != RetryReason::StreamRecovery && !self.take_from_budget(now) {
            return Err(NoRetry::Budget);
        }
        Ok(Retry { reason, after })
    }

    /// Number of retries left in the budget.
    #[must_use]
    pub fn available(&self) -> u32 {
        (self.floor.floor() + self.earned.floor()) as u32
    }

    /// Returns a uniformly random wait up to a bound that doubles with each attempt (full jitter),
    /// so that requests that failed together are not retried together. The first recovery of a
    /// stream does not wait.
    fn backoff(&self, reason: RetryReason, attempts: u32, rng: &mut Rng) -> Duration {
        let attempts = match reason {
            RetryReason::StreamRecovery if attempts <= 1 => return Duration::ZERO,
            RetryReason::StreamRecovery => attempts - 1,
            _ => attempts,
        };
        let doublings = attempts.saturating_sub(1).min(31);
        let bound = self.cfg.base.saturating_mul(1 << doublings);
        bound.min(self.cfg.max).mul_f64(rng.random::<f64>())
    }

    fn take_from_budget(&mut self, now: Time) -> bool {
        self.refill(now);
        let bucket = if self.earned >= 1.0 {
            &mut self.earned
        } else {
            &mut self.floor
        };
        let allowed = *bucket >= 1.0;
        if allowed {
            *bucket -= 1.0;
        }
        allowed
    }

    fn refill(&mut self, now: Time) {
        let step = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let max_retries = self.cfg.floor_per_second * BURST_SECONDS;
        self.floor = (self.floor + step * self.cfg.floor_per_second).min(max_retries.max(1.0));
        self.rate *= (-step / BURST_SECONDS).exp();
    }
}

/// Returns the reason for which a retry is safe, or `None` if the request must not be repeated.
fn retry_reason(attempt: &FailedAttempt) -> Option<RetryReason> {
    match attempt.failure {
        Failure::BeforeDispatch => Some(RetryReason::BeforeDispatch),
        Failure::ProvenNotRun => Some(RetryReason::NotRun),
        Failure::StageLost => Some(RetryReason::StreamRecovery),
        Failure::Unknown if attempt.repeatable => Some(RetryReason::Repeatable),
        Failure::Unknown => None,
    }
}

impl RetryReason {
    /// All reasons, for registering counters.
    pub const ALL: [Self; 4] = [
        Self::BeforeDispatch,
        Self::NotRun,
        Self::Repeatable,
        Self::StreamRecovery,
    ];

    /// Stable name for counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BeforeDispatch => "before_dispatch",
            Self::NotRun => "not_run",
            Self::Repeatable => "repeatable",
            Self::StreamRecovery => "stream_recovery",
        }
    }
}

impl NoRetry {
    /// Stable name for counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
            Self::Attempts => "attempts",
        }
    }
}

#[cfg(test)]
mod tests;
