//! The virtual schedule of iterations.

use std::time::Duration;

use coriandercove_base::Time;

/// Lateness of results that is made good to whoever answers them. Timers fire up to 1 ms late, and
/// later on a busy machine.
const MAX_CREDIT: Duration = Duration::from_millis(5);
/// How far the schedule may lie behind the clock while work is queued. After a longer stall the
/// schedule starts anew, because making it good would exceed the bound for a visible time.
const MAX_LAG: Duration = Duration::from_millis(20);

/// Decides when iterations start, so that late timers do not lower the throughput.
///
/// An iteration starts at the end of the one before if work was queued then, and otherwise when work
/// arrives. The lateness of the last results is subtracted from that arrival, since whoever answered
/// them would have answered earlier. Iterations never overlap, so the throughput cannot exceed the
/// nominal bound.
#[derive(Debug, Default)]
pub struct Schedule {
    end: Time,
    late: Duration,
    /// Whether work was queued when the last iteration ended.
    backlog: bool,
}

impl Schedule {
    /// Plans an iteration of the given length for work that waits at `now`; returns its end.
    pub fn plan(&mut self, now: Time, duration: Duration) -> Time {
        let credit = if self.backlog { MAX_LAG } else { self.late };
        let start = now.saturating_sub(credit).max(self.end);
        self.end = start + duration;
        self.end
    }

    /// Notes that the results were handed out at `now`, and whether more work was queued.
    pub fn delivered(&mut self, now: Time, backlog: bool) {
        self.late = now.saturating_sub(self.end).min(MAX_CREDIT);
        self.backlog = backlog;
    }
}

#[cfg(test)]
mod tests;
