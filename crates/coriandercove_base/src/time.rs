//! Monotonic time and its clocks. Decision logic gets the time from its caller.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Monotonic time since the start of the process or of the simulated run.
pub type Time = Duration;

/// Source of monotonic time.
pub trait Clock {
    /// Returns the current time, which is never less than an earlier result.
    fn now(&self) -> Time;
}

/// The operating system's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Time {
        self.start.elapsed()
    }
}

/// A clock for tests that advances only by [`ManualClock::advance`].
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Cell<Time>,
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        self.now.set(self.now.get() + step);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        self.now.get()
    }
}
