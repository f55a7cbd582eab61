//! Results of one target since it was last admitted.

use std::time::Duration;

use coriandercove_base::Time;

use super::Outcome;

/// Time constant with which the counts of successes and failures decay.
const WINDOW: Duration = Duration::from_secs(10);

/// Weight of one result in the averaged slowness.
const SLOWNESS_STEP: f64 = 0.1;

#[derive(Debug, Default)]
pub(super) struct Stats {
    pub(super) consecutive_failures: u32,
    /// Successes, decayed over [`WINDOW`].
    successes: f64,
    /// Failures, decayed over [`WINDOW`].
    failures: f64,
    updated: Time,
    /// Averaged ratio of observed to expected time; `None` before the first success.
    slowness: Option<f64>,
    /// Successes since admission.
    samples: u32,
}

impl Stats {
    pub(super) fn add(&mut self, now: Time, outcome: Outcome) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let decay = (-elapsed / WINDOW.as_secs_f64()).exp();
        self.successes *= decay;
        self.failures *= decay;
        self.updated = self.updated.max(now);
        match outcome {
            Outcome::Success { slowness } => {
                self.consecutive_failures = 0;
                self.successes += 1.0;
                self.samples = self.samples.saturating_add(1);
                let average = self.slowness.unwrap_or(slowness);
                self.slowness = Some(average + SLOWNESS_STEP * (slowness - average));
            }
            Outcome::Failure => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.failures += 1.0;
            }
        }
    }

    /// Returns the fraction of recent results that failed, or `None` if there were fewer than
    /// `min_results`.
    pub(super) fn failure_rate(&self, min_results: u32) -> Option<f64> {
        let total = self.successes + self.failures;
        (total >= f64::from(min_results)).then(|| self.failures / total)
    }

    /// Returns the averaged slowness, or `None` before `min_results` successes.
    pub(super) fn slowness(&self, min_results: u32) -> Option<f64> {
        self.slowness.filter(|_| self.samples >= min_results)
    }
}
