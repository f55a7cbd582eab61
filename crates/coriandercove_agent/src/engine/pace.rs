//! How long a call to the engine takes, to notice an engine that hangs.

use std::time::Duration;

/// Expected durations after which an engine counts as hanging. The same factor as for the time
/// between tokens at the entry.
const FACTOR: u32 = 8;
/// An engine that is busy or pauses shortly does not count as hanging.
const MIN_PATIENCE: Duration = Duration::from_millis(300);
/// Part of the distance by which the estimates sink with each faster call.
const DECAY: u32 = 16;
/// Inputs from which a call tells about prefill.
const PREFILL_INPUTS: usize = 64;

/// Estimates of the time of a call. They rise at once and sink slowly, because a spurious move
/// costs more than a late one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// Time of a call with few inputs; none before the first.
    call: Option<Duration>,
    /// Time of a call for each input, in calls with many.
    input: Duration,
}

impl Pace {
    /// Time after which a call with so many inputs counts as hanging; at most `limit`.
    pub fn patience(&self, inputs: usize, limit: Duration) -> Duration {
        let Some(call) = self.call else {
            return limit;
        };
        let expected = call + self.input * u32::try_from(inputs).unwrap_or(u32::MAX);
        (expected * FACTOR).max(MIN_PATIENCE).min(limit)
    }

    /// The estimates after a call with so many inputs.
    #[must_use]
    pub fn after(mut self, took: Duration, inputs: usize) -> Self {
        if inputs >= PREFILL_INPUTS {
            self.input = follow(self.input, took / inputs as u32);
        }
        if inputs < PREFILL_INPUTS || self.call.is_none() {
            self.call = Some(self.call.map_or(took, |call| follow(call, took)));
        }
        self
    }
}

fn follow(estimate: Duration, sample: Duration) -> Duration {
    if sample >= estimate {
        sample
    } else {
        estimate - (estimate - sample) / DECAY
    }
}

#[cfg(test)]
mod tests;
