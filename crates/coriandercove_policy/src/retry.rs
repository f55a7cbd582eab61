//! Whether and when a request is tried again.

use std::time::Duration;

use coriandercove_base::{Time, data, rng::Rng};
use rand::Rng as _;

data! {
    /// Why a request is tried again. The names are stable: counters use them.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RetryReason {
        /// Nothing had left for the agent.
        BeforeDispatch,
        /// The agent proved that the request did not run.
        NotRun,
        /// The call may be repeated.
        Repeatable,
        /// A stage of a running stream was lost and a new attempt continues it.
        StreamRecovery,
    }

    /// What is known of a failed attempt.
    #[derive(Copy, Eq)]
    pub enum Failure {
        /// Nothing had left for the agent.
        BeforeDispatch,
        /// The agent answered that the request did not run.
        ProvenNotRun,
        /// The request may have run.
        Unknown,
        /// A stage of a running stream was lost.
        StageLost,
    }

    /// Why a request is not tried again.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum NoRetry {
        /// It may have run and must not repeat.
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
        /// Reason for the counter.
        pub reason: RetryReason,
        /// Wait before the next attempt.
        pub after: Duration,
    }
}

/// A failed attempt for which a decision is wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailedAttempt {
    /// What is known of the failure.
    pub failure: Failure,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Attempts made, this one included; from 1.
    pub attempts: u32,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed each second whatever the number of requests.
    pub floor_per_second: f64,
    /// Upper end of the first backoff.
    pub base: Duration,
    /// Upper end of the longest backoff.
    pub max: Duration,
    /// Limit of attempts for one request.
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

/// Seconds of the floor, and of the requests' share, that the budget may save up.
const BURST_SECONDS: f64 = 10.0;

/// Retry budget of one entry.
///
/// Two buckets are kept: one filled at the floor's rate, one filled by requests. Recovery of
/// running streams does not draw on them, because such requests hold their admission already
/// and none may be lost.
#[derive(Debug)]
pub struct RetryPolicy {
    cfg: RetryConfig,
    /// Retries left from the floor; from 0 to `floor_per_second` x [`BURST_SECONDS`].
    floor: f64,
    /// Retries earned by requests; from 0 to the greater of the floor's burst and the
    /// requests' share over [`BURST_SECONDS`].
    earned: f64,
    /// Requests each second, averaged over [`BURST_SECONDS`].
    rate: f64,
    updated: Time,
}

impl RetryPolicy {
    /// A policy whose budget starts with one second's floor.
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

    /// Counts a new request, which earns a part of a retry.
    pub fn on_request(&mut self, now: Time) {
        self.refill(now);
        self.rate += 1.0 / BURST_SECONDS;
        let most = (self.rate * BURST_SECONDS * self.cfg.ratio).max(1.0);
        self.earned = (self.earned + self.cfg.ratio).min(most);
    }

    /// Decides on a failed attempt and takes a permitted retry from the budget.
    ///
    /// # Errors
    /// [`NoRetry`] says why the request is not tried again.
    pub fn decide(
        &mut self,
        now: Time,
        attempt: &FailedAttempt,
        rng: &mut Rng,
    ) -> Result<Retry, NoRetry> {
        let reason = permitted(attempt).ok_or(NoRetry::MayHaveRun)?;
        if attempt.attempts >= self.cfg.max_attempts && reason != RetryReason::StreamRecovery {
            return Err(NoRetry::Attempts);
        }
        let after = self.backoff(reason, attempt.attempts, rng);
        if now + after >= attempt.deadline {
            return Err(NoRetry::Deadline);
        }
        if reason != RetryReason::StreamRecovery && !self.take(now) {
            return Err(NoRetry::Budget);
        }
        Ok(Retry { reason, after })
    }

    /// Retries that the budget allows at once.
    #[must_use]
    pub fn available(&self) -> u32 {
        (self.floor.floor() + self.earned.floor()) as u32
    }

    /// A uniformly random wait up to the doubled bound (full jitter), so that requests that
    /// failed together do not return together. The first recovery of a stream does not wait.
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

    fn take(&mut self, now: Time) -> bool {
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
        let most = self.cfg.floor_per_second * BURST_SECONDS;
        self.floor = (self.floor + step * self.cfg.floor_per_second).min(most.max(1.0));
        self.rate *= (-step / BURST_SECONDS).exp();
    }
}

/// The rule that permits a retry, if any.
fn permitted(attempt: &FailedAttempt) -> Option<RetryReason> {
    match attempt.failure {
        Failure::BeforeDispatch => Some(RetryReason::BeforeDispatch),
        Failure::ProvenNotRun => Some(RetryReason::NotRun),
        Failure::StageLost => Some(RetryReason::StreamRecovery),
        Failure::Unknown if attempt.repeatable => Some(RetryReason::Repeatable),
        Failure::Unknown => None,
    }
}

impl RetryReason {
    /// Every reason, for registering counters.
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
