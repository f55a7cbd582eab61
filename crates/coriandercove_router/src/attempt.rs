//! Decides what follows a failed attempt.

use std::time::Duration;

use coriandercove_base::Time;

use crate::routes::Repeat;

/// What is known of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing can have reached the target.
    NotSent,
    /// The target stated that it did not run the request.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request may have run at a target that has ended or is cut off.
    TargetLost,
}

/// What the caller is told if no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request has not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The step after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try another target.
    Retry,
    /// End the request.
    Stop(Outcome),
}

/// State of a request over its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Targets that one request may be sent to.
    pub limit: u32,
    /// Attempts whose outcome is unknown.
    pub unknown: u32,
    /// Attempts that reached a target, those that it did not run included.
    pub sent: u32,
    /// Attempts that ended before anything was sent.
    pub unsent: u32,
    /// Attempts of unknown outcome whose target ended or was cut off; they do not count against
    /// the limit.
    pub lost: u32,
}

/// Least time that a further attempt needs to be of use.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Attempts that targets did not run; beyond this the service is taken as full.
const MAX_NOT_RUN: u32 = 2;

/// Lost targets that one request may meet beside its limit.
const MAX_LOST: u32 = 2;

/// Targets that refuse the connection one after the other before the request is given up.
const MAX_UNSENT: u32 = 4;

impl Attempts {
    /// A request without an attempt so far.
    #[must_use]
    pub fn new(repeat: Repeat, limit: u32) -> Self {
        Self {
            repeat,
            limit: limit.max(1),
            unknown: 0,
            sent: 0,
            unsent: 0,
            lost: 0,
        }
    }

    /// Whether some attempt may have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.unknown == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }

    /// Takes a failure in and decides; `may_repeat` draws on the retry budget only if a repeat is
    /// otherwise permitted.
    pub fn on_failure(
        &mut self,
        failure: Failure,
        now: Time,
        deadline: Time,
        may_repeat: impl FnOnce() -> bool,
    ) -> Next {
        match failure {
            Failure::NotSent => self.unsent += 1,
            Failure::NotRun => self.sent += 1,
            Failure::Unknown => {
                self.sent += 1;
                self.unknown += 1;
            }
            Failure::TargetLost => {
                self.sent += 1;
                self.unknown += 1;
                self.lost += 1;
            }
        }
        let counted = self.unknown - self.lost.min(MAX_LOST);
        let is_permitted = match failure {
            Failure::NotSent => self.unsent <= MAX_UNSENT && counted < self.limit,
            Failure::NotRun => self.sent - self.unknown <= MAX_NOT_RUN && counted < self.limit,
            Failure::Unknown | Failure::TargetLost => {
                self.repeat.is_repeatable() && counted < self.limit
            }
        };
        let has_time = now + MIN_TIME_LEFT < deadline;
        // A request that never reached a target is no repeat and takes nothing from the budget.
        if is_permitted && has_time && (self.sent == 0 || may_repeat()) {
            Next::Retry
        } else {
            Next::Stop(self.outcome())
        }
    }
}

#[cfg(test)]
mod tests;
