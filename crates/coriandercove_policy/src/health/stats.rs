//! Results of one target since it was last admitted.

use std::time::Duration;

use coriandercove_base::Time;

use super::Outcome;

/// Time constant of the counts.
const WINDOW: Duration = Duration::from_secs(10);

/// Part by which one result moves the slowness.
const STEP: f64 = 0.1;

#[derive(Debug, Default)]
pub(super) struct Stats {
    pub(super) consecutive_failures: u32,
    /// Successes, decayed over [`WINDOW`].
    successes: f64,
    /// Failures, decayed over [`WINDOW`].
    failures: f64,
    updated: Time,
    /// Averaged observed time over expected time; absent before the first success.
    slowness: Option<f64>,
    /// Successes since admission.
    samples: u32,
}

impl Stats {
    pub(super) fn add(&mut self, now: Time, outcome: Outcome) {
        let step = now.saturating_sub(self.updated).as_secs_f64();
        let decay = (-step / WINDOW.as_secs_f64()).exp();
        self.successes *= decay;
        self.failures *= decay;
        self.updated = self.updated.max(now);
        match outcome {
            Outcome::Success { slowness } => {
                self.consecutive_failures = 0;
                self.successes += 1.0;
                self.samples = self.samples.saturating_add(1);
                let average = self.slowness.unwrap_or(slowness);
                self.slowness = Some(average + STEP * (slowness - average));
            }
            Outcome::Failure => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.failures += 1.0;
            }
        }
    }

    /// Part of the recent results that failed, if there were enough.
    pub(super) fn failure_rate(&self, min_results: u32) -> Option<f64> {
        let total = self.successes + self.failures;
        (total >= f64::from(min_results)).then(|| self.failures / total)
    }

    pub(super) fn slowness(&self, min_results: u32) -> Option<f64> {
        self.slowness.filter(|_| self.samples >= min_results)
    }
}
