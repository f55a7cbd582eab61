//! Limits the repeated attempts of one entry to its share of the deployment's retry budget.

use std::collections::VecDeque;
use std::time::Duration;

use coriandercove_base::Time;

/// Share of the deployment's budget that the entries use together. The rest covers entries that do
/// not know of each other, and windows that are offset from an entry's own.
const USED_SHARE: f64 = 0.7;

/// Counts requests and repeated attempts over a sliding window.
///
/// The platform checks the budget over windows of its own, which may hold fewer requests than the
/// window here. Every repeat is therefore counted exactly, and only the requests within the window
/// here raise the number of repeats that are allowed. The share that `USED_SHARE` leaves covers the
/// offset between the windows.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates a budget for all entries of `ratio` repeats for each request, and `slack` more,
    /// within each `window`.
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

    /// Changes the limits; requests and repeats already counted remain.
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

    /// Counts a request that arrived from a caller.
    pub fn on_request(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts one repeat if this entry's share, with `entries` entries in all, allows it. Returns
    /// whether it does.
    pub fn try_take(&mut self, now: Time, entries: usize) -> bool {
        self.expire(now);
        let share = self.slack / entries.max(1) as f64;
        let allowed = USED_SHARE * (self.ratio * self.requests.len() as f64 + share);
        let is_allowed = (self.repeats.len() as f64) < allowed;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;
