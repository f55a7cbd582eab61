//! Decides on arrival whether a request is served or refused.

use std::time::Duration;

use rand::Rng as _;

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

/// Shortest advice to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a refused caller should return: about when places get free, spread by half
/// so that callers that were refused together do not return together.
pub fn retry_after(reason: Refusal, usual_service_time: Duration, rng: &mut Rng) -> Duration {
    let mean = match reason {
        Refusal::NoConfiguration => Duration::from_secs(1),
        Refusal::NoTarget => Duration::from_millis(1500),
        Refusal::Full | Refusal::Slow | Refusal::NotRun | Refusal::Deadline => {
            usual_service_time.max(MIN_RETRY_AFTER)
        }
    };
    mean.mul_f64(rng.random_range(0.5..1.5))
        .max(MIN_RETRY_AFTER)
}
