//! Whether and when a request is tried again.

use std::time::Duration;

use coriandercove_base::{Time, data, rng::Rng};

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

/// Retry budget of one entry.
#[derive(Debug)]
pub struct RetryPolicy {}

impl RetryPolicy {
    /// A policy whose budget starts with one second's floor.
    #[must_use]
    pub fn new(cfg: RetryConfig) -> Self {
        unimplemented!()
    }

    /// Counts a new request, which earns a part of a retry.
    pub fn on_request(&mut self) {
        unimplemented!()
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
        unimplemented!()
    }
}
