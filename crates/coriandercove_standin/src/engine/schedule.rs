//! The virtual schedule of iterations.

use std::time::Duration;

use coriandercove_base::Time;

/// Timers fire up to 1 ms late, and later on a busy machine. Lateness beyond this is not made good.
const MAX_CREDIT: Duration = Duration::from_millis(5);

/// Decides when iterations start, so that late timers do not lower the throughput.
///
/// An iteration starts at the end of the one before, or when work arrives. The lateness of the last
/// results is subtracted from that arrival, since whoever answered them would have answered earlier.
/// Iterations never overlap, so the throughput cannot exceed the nominal bound.
#[derive(Debug, Default)]
pub struct Schedule {
    end: Time,
    late: Duration,
}

impl Schedule {
    /// Plans an iteration of the given length for work that waits at `now`; returns its end.
    pub fn plan(&mut self, now: Time, duration: Duration) -> Time {
        let start = now.saturating_sub(self.late).max(self.end);
        self.end = start + duration;
        self.end
    }

    /// Notes that the results were handed out at `now`.
    pub fn delivered(&mut self, now: Time) {
        self.late = now.saturating_sub(self.end).min(MAX_CREDIT);
    }
}

#[cfg(test)]
mod tests;
