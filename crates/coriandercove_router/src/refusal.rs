//! Reasons for refusing a request, and the time after which a refused caller should retry.

use std::time::Duration;

use rand::Rng as _;

use coriandercove_base::Time;
use coriandercove_base::rng::Rng;

use crate::pressure;

/// Why the router refuses a request that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The entry has received no configuration yet.
    NoConfiguration,
    /// The service is unknown, no target of it accepts work, or those that do hold only some of the
    /// layers.
    NoTarget,
    /// Every path or target is at its capacity.
    Full,
    /// The fleet is full, and the account has its fair share of it in flight.
    FairShare,
    /// The fleet is full, and the request's level of urgency has its part of it in flight.
    Urgency,
    /// So many prompts wait that the first event would come too late.
    Slow,
    /// The deadline has passed.
    Deadline,
    /// A part of the prompt crashes targets and is in quarantine.
    CrashingPart,
    /// The targets did not run the request and no further attempt is made.
    NotRun,
    /// The process stops, and the request may last longer.
    Stopping,
    /// The bodies and answers of other requests leave too little memory.
    Memory,
    /// The entry is short of resources, and others are not.
    Pressure,
}

impl Refusal {
    /// Whether the request was refused because other requests have the capacity that it needs.
    #[must_use]
    pub const fn is_for_capacity(self) -> bool {
        matches!(
            self,
            Self::Full | Self::FairShare | Self::Urgency | Self::Slow
        )
    }

    /// Whether the request's account or level has its part of a full fleet already. No path search
    /// took place then, so that there may be room for others.
    #[must_use]
    pub const fn is_limit(self) -> bool {
        matches!(self, Self::FairShare | Self::Urgency)
    }

    /// Name in log lines and metric labels; operators rely on it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoTarget => "no_target",
            Self::Full => "full",
            Self::FairShare => "fair_share",
            Self::Urgency => "urgency",
            Self::Slow => "slow",
            Self::Deadline => "deadline",
            Self::CrashingPart => "crashing_part",
            Self::NotRun => "not_run",
            Self::Stopping => "stopping",
            Self::Memory => "memory",
            Self::Pressure => "pressure",
        }
    }
}

/// Minimum retry delay; a caller that retries after it may still meet a latency objective of 500
/// ms.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time in which a request or refusal loses half of its weight in [`WaitEstimator`]; about as long
/// as a burst takes to rise.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Window of the moving mean of the service time, in answers.
const SERVICE_TIME_SAMPLES: f64 = 20.0;
/// Expected wait if every request is refused, in mean service times.
const MAX_WAIT_SERVICE_TIMES: f64 = 2.0;

/// Estimates how long a refused caller should wait, from the share of requests that were refused
/// lately and the mean service time.
///
/// It handles a burst that lasts for several service times: callers that are told to retry at once
/// are refused again and have no attempt left. A caller that meets a short lack of capacity,
/// without refusals before it, is told to retry soon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitEstimator {
    admitted: f64,
    refused: f64,
    last_update: Time,
    /// Moving mean of the time to answer a model request, in seconds; none before the first answer.
    mean_service_seconds: Option<f64>,
}

impl Default for WaitEstimator {
    fn default() -> Self {
        Self {
            admitted: 0.0,
            refused: 0.0,
            last_update: Time::ZERO,
            mean_service_seconds: None,
        }
    }
}

impl WaitEstimator {
    fn decay(&mut self, now: Time) {
        let age = now.saturating_sub(self.last_update);
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.admitted *= factor;
        self.refused *= factor;
        self.last_update = now;
    }

    /// Records an admitted model request.
    pub fn on_admitted(&mut self, now: Time) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Records a refused request to a model service.
    pub fn on_refused(&mut self, now: Time) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// Records the time that a completed stream took from its arrival.
    pub fn on_answered(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.mean_service_seconds.unwrap_or(took);
        self.mean_service_seconds = Some(mean + (took - mean) / SERVICE_TIME_SAMPLES);
    }

    /// Mean time to answer a model request; `usual` before the first answer.
    #[must_use]
    pub fn service_time(&self, usual: Duration) -> Duration {
        self.mean_service_seconds
            .and_then(|s| Duration::try_from_secs_f64(s).ok())
            .unwrap_or(usual)
    }

    /// Expected time until capacity is free for one more caller. `usual` is the service time that
    /// is assumed before the first answer.
    #[must_use]
    pub fn expected_wait(&self, usual: Duration) -> Duration {
        let service = self.mean_service_seconds.unwrap_or(usual.as_secs_f64());
        let share = self.refused / (self.admitted + self.refused).max(1.0);
        let wait = service * share * MAX_WAIT_SERVICE_TIMES;
        MIN_RETRY_AFTER + Duration::try_from_secs_f64(wait).unwrap_or_default()
    }
}

/// Time after which a refused caller should retry. `wait` is used where capacity is missing. The
/// result is spread by half of its value in both directions, so that callers that were refused
/// together do not retry together.
pub fn retry_after(reason: Refusal, wait: Duration, rng: &mut Rng) -> Duration {
    let mean = match reason {
        // Any other entry can serve the caller at once.
        Refusal::Stopping => return Duration::ZERO,
        Refusal::Pressure => return pressure::retry_after(rng),
        Refusal::NoConfiguration => Duration::from_secs(1),
        Refusal::NoTarget => Duration::from_millis(1500),
        Refusal::Full
        | Refusal::Slow
        | Refusal::FairShare
        | Refusal::Urgency
        | Refusal::CrashingPart
        | Refusal::NotRun
        | Refusal::Memory
        | Refusal::Deadline => wait,
    };
    mean.mul_f64(rng.random_range(0.5..1.5))
        .max(MIN_RETRY_AFTER)
}

#[cfg(test)]
mod tests;
