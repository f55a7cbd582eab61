//! Estimates the duration of calls to the engine, to detect an engine that hangs.

use std::time::Duration;

/// An engine counts as hanging once a call takes this many times its expected duration. The entry
/// applies the same factor to the time between tokens.
const TIMEOUT_FACTOR: u32 = 8;
/// Lower bound of the timeout, so that an engine that is busy or pauses briefly does not count as
/// hanging.
const MIN_TIMEOUT: Duration = Duration::from_millis(300);
/// A call that is faster than the estimate lowers it by the difference divided by this number.
const DECAY_DIVISOR: u32 = 16;
/// Calls with at least this many inputs count as prefill and update the time for each input; calls
/// with fewer update the base time.
const MIN_PREFILL_INPUTS: usize = 64;

/// Estimated duration of a call. It rises at once with a slower call and falls slowly with faster
/// ones, because moving streams from an engine that works costs more than moving them late.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyEstimate {
    /// Duration of a call with few inputs; `None` before the first call.
    base: Option<Duration>,
    /// Duration for each input in calls with many inputs.
    per_input: Duration,
}

impl LatencyEstimate {
    /// Time after which a call with `inputs` inputs counts as hanging; at most `limit`, which also
    /// applies before the first call.
    pub fn timeout(&self, inputs: usize, limit: Duration) -> Duration {
        let Some(base) = self.base else {
            return limit;
        };
        let expected = base + self.per_input * u32::try_from(inputs).unwrap_or(u32::MAX);
        (expected * TIMEOUT_FACTOR).max(MIN_TIMEOUT).min(limit)
    }

    /// Returns the estimate updated with a call of `inputs` inputs that took `took`.
    #[must_use]
    pub fn with_sample(mut self, took: Duration, inputs: usize) -> Self {
        if inputs >= MIN_PREFILL_INPUTS {
            self.per_input = smooth(self.per_input, took / inputs as u32);
        }
        if inputs < MIN_PREFILL_INPUTS || self.base.is_none() {
            self.base = Some(self.base.map_or(took, |base| smooth(base, took)));
        }
        self
    }
}

/// Returns a larger sample as it is; a smaller one lowers the estimate by a part of the difference.
fn smooth(estimate: Duration, sample: Duration) -> Duration {
    if sample >= estimate {
        sample
    } else {
        estimate - (estimate - sample) / DECAY_DIVISOR
    }
}

#[cfg(test)]
mod tests;
