//! Decides on arrival whether a request is served or refused.

use std::time::Duration;

use rand::Rng as _;

use coriandercove_base::Time;
use coriandercove_base::rng::Rng;

/// Why a request is refused before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No target of the service takes work.
    NoTarget,
    /// Every path or target is full.
    Full,
    /// Too many prompts wait for the first event to come in time.
    Slow,
    /// The deadline has passed or leaves no time.
    Deadline,
    /// The targets did not run the request, and no further attempt is made.
    NotRun,
}

impl Refusal {
    /// Stable name for counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoTarget => "no_target",
            Self::Full => "full",
            Self::Slow => "slow",
            Self::Deadline => "deadline",
            Self::NotRun => "not_run",
        }
    }
}

/// Shortest advice to come back; a caller that returns then may still meet an objective of 500 ms.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time in which a request or refusal loses half of its weight in [`Pressure`]; about a burst's rise.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Answers over which the mean service time is taken.
const MEAN_OVER: f64 = 20.0;
/// Mean service times until a refused caller should return, if every request is refused.
const SERVICE_TIMES: f64 = 2.0;

/// How much of what arrives must be refused, and how long a place is taken.
///
/// Answers the load pattern of a burst that lasts for several service times: callers that are told to
/// come back at once are refused again, and have no further try. Without refusals before it, a
/// caller that meets a short gap comes back soon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pressure {
    admitted: f64,
    refused: f64,
    at: Time,
    /// Mean time of answers to model requests, in seconds; none before the first one.
    service: Option<f64>,
}

impl Default for Pressure {
    fn default() -> Self {
        Self {
            admitted: 0.0,
            refused: 0.0,
            at: Time::ZERO,
            service: None,
        }
    }
}

impl Pressure {
    fn decay(&mut self, now: Time) {
        let age = now.saturating_sub(self.at);
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.admitted *= factor;
        self.refused *= factor;
        self.at = now;
    }

    /// Takes an admitted model request in.
    pub fn on_admitted(&mut self, now: Time) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Takes a refusal for want of places in.
    pub fn on_refused(&mut self, now: Time) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// Takes a whole answer in.
    pub fn on_answered(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.service.unwrap_or(took);
        self.service = Some(mean + (took - mean) / MEAN_OVER);
    }

    /// Mean time until a place is free for one more caller, `usual` being the service time before the
    /// first answer.
    #[must_use]
    pub fn wait(&self, usual: Duration) -> Duration {
        let service = self.service.unwrap_or(usual.as_secs_f64());
        let share = self.refused / (self.admitted + self.refused).max(1.0);
        let wait = service * share * SERVICE_TIMES;
        MIN_RETRY_AFTER + Duration::try_from_secs_f64(wait).unwrap_or_default()
    }
}

/// Time after which a refused caller should return: `wait` where places are missing, spread by half
/// so that callers that were refused together do not return together.
pub fn retry_after(reason: Refusal, wait: Duration, rng: &mut Rng) -> Duration {
    let mean = match reason {
        Refusal::NoConfiguration => Duration::from_secs(1),
        Refusal::NoTarget => Duration::from_millis(1500),
        Refusal::Full | Refusal::Slow | Refusal::NotRun | Refusal::Deadline => wait,
    };
    mean.mul_f64(rng.random_range(0.5..1.5))
        .max(MIN_RETRY_AFTER)
}

#[cfg(test)]
mod tests;
