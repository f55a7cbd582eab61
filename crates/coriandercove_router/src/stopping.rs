//! Decides which requests an entry still takes during a planned stop.
//!
//! It handles requests that are complete late in the grace, for example because their bodies arrive
//! slowly: one that may last longer than the process is turned away while its caller can go elsewhere.

use std::time::Duration;

use coriandercove_base::Time;

/// Time after SIGTERM in which the load balancer notices that this entry is not ready: two of its
/// checks, and one more that may have been in progress.
const READINESS_NOTICE: Duration = Duration::from_millis(2600);
/// Time after closing begins in which a connection without a request may still receive one.
pub const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Share of the grace period that is reserved for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end in which requests without an answer get their final one.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Times of a planned stop, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// From here on, connections are closed after their current request.
    pub closes_at: Time,
    /// From here on, only requests that end in time are taken.
    pub selects_at: Time,
    /// From here on, requests whose answers have not begun get an error.
    pub gives_up_at: Time,
    /// The process ends.
    pub ends_at: Time,
}

impl Stop {
    /// Plans a stop that begins now; `grace` is the time until the process is killed.
    #[must_use]
    pub fn new(now: Time, grace: Duration) -> Self {
        let left = grace.saturating_sub(EXIT_MARGIN);
        let closes_at = now + READINESS_NOTICE.min(left / 2);
        let ends_at = now + left;
        let gives_up_at = ends_at.saturating_sub(ANSWER_MARGIN).max(closes_at);
        Self {
            closes_at,
            selects_at: (closes_at + FIRST_REQUEST_TIME).min(gives_up_at),
            gives_up_at,
            ends_at,
        }
    }

    /// Whether a request that is complete now is taken.
    #[must_use]
    pub fn takes(&self, now: Time, deadline: Time) -> bool {
        now < self.selects_at || deadline <= self.gives_up_at
    }
}

#[cfg(test)]
mod tests;
