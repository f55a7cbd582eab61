//! Schedule of iterations that compensates for late timers.

use std::time::Duration;

use coriandercove_base::Time;

/// Largest lateness of results for which the next iteration is started earlier. Timers fire up to
/// 1 ms late, and later on a busy machine.
const MAX_LATENESS_CREDIT: Duration = Duration::from_millis(5);
/// How far the schedule may be behind the clock while work is queued. The part of a stall above it
/// is skipped, because making up for it would exceed the nominal throughput for a visible time.
const MAX_LAG: Duration = Duration::from_millis(20);

/// Decides when iterations start, so that late timers do not lower the throughput.
///
/// An iteration starts at the planned end of the previous one if work was queued then, and
/// otherwise when work arrives. In the second case the lateness of the previous results is
/// subtracted from the time of arrival, because a client that waited for them would have sent its
/// next call that much earlier. Iterations never overlap, so the throughput cannot exceed the
/// nominal bound.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Planned end of the last iteration.
    last_end: Time,
    /// Lateness of the last results, at most [`MAX_LATENESS_CREDIT`].
    lateness: Duration,
    /// Whether work was queued when the results of the last iteration were delivered.
    backlog: bool,
}

impl Schedule {
    /// Plans an iteration that takes `duration` for work that is queued at `now`; returns its
    /// planned end.
    pub fn plan(&mut self, now: Time, duration: Duration) -> Time {
        let credit = if self.backlog { MAX_LAG } else { self.lateness };
        let start = now.saturating_sub(credit).max(self.last_end);
        self.last_end = start + duration;
        self.last_end
    }

    /// Records that the results of the last iteration were delivered at `now`, and whether more
    /// work was queued then.
    pub fn record_delivery(&mut self, now: Time, backlog: bool) {
        self.lateness = now.saturating_sub(self.last_end).min(MAX_LATENESS_CREDIT);
        self.backlog = backlog;
    }
}

#[cfg(test)]
mod tests;
