//! The share of repeats that one entry may send.

use std::collections::VecDeque;
use std::time::Duration;

use coriandercove_base::Time;

/// Part of the common budget that entries use together. The rest covers entries that do not know
/// of each other and windows that end between an entry's own.
const USED_SHARE: f64 = 0.7;

/// Counts requests and repeats over a sliding window.
///
/// The window that the platform judges may hold fewer requests than this one; counting the repeats
/// exactly and only the requests of the same window keeps every window within the budget.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RetryBudget {
    /// Repeats of `ratio` for each request, and `slack` more, in each `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Changes the limits; what was counted stays.
    pub fn set_limits(&mut self, ratio: f64, slack: f64, window: Duration) {
        (self.ratio, self.slack, self.window) = (ratio, slack, window);
    }

    fn expire(&mut self, now: Time) {
        let start = now.saturating_sub(self.window);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t < start) {
                times.pop_front();
            }
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget if `entries` entries share it.
    pub fn take(&mut self, now: Time, entries: usize) -> bool {
        self.expire(now);
        let share = self.slack / entries.max(1) as f64;
        let most = USED_SHARE * (self.ratio * self.requests.len() as f64 + share);
        let is_allowed = (self.repeats.len() as f64) < most;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;
