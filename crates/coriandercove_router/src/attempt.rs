//! Decides whether a request is repeated after a failed attempt.

use std::time::Duration;

use coriandercove_base::Time;

use crate::routes::Repeat;

/// What is known of the request's effect after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the target.
    NotSent,
    /// The target stated that it did not run the request.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request may have run, at a target that has failed or cannot be reached any more.
    TargetLost,
}

/// What the caller is told about the request if no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request has not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Make another attempt.
    Retry,
    /// Make no further attempt and report the outcome to the caller.
    Stop(Outcome),
}

/// Attempts that one request has made so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Maximum number of attempts whose outcome is unknown; at least 1.
    pub limit: u32,
    /// Attempts whose outcome is unknown, those at lost targets included.
    pub unknown: u32,
    /// Attempts that may have reached a target, those that it did not run included.
    pub sent: u32,
    /// Attempts that failed before anything was sent.
    pub unsent: u32,
    /// Attempts of unknown outcome whose target failed or cannot be reached any more; the first
    /// `MAX_LOST` of them do not count against `limit`.
    pub lost: u32,
}

/// Minimum time before the deadline at which a further attempt is still useful.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Attempts that targets declined to run and that may be repeated; a target that declines after
/// them shows that the service is full.
const MAX_NOT_RUN: u32 = 2;

/// Attempts at lost targets that do not count against a request's limit.
const MAX_LOST: u32 = 2;

/// Failed connection attempts that one request may repeat.
const MAX_UNSENT: u32 = 4;

impl Attempts {
    /// Creates the state of a request without attempts; a `limit` of 0 counts as 1.
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

    /// Whether any attempt so far may have run the request.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.unknown == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }

    /// Records a failed attempt and decides what follows. `may_repeat` draws on the retry budget
    /// and is called only if a repeat is otherwise allowed.
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
        // A request that has not reached any target is not a repeat and does not use the budget.
        if is_permitted && has_time && (self.sent == 0 || may_repeat()) {
            Next::Retry
        } else {
            Next::Stop(self.outcome())
        }
    }
}

#[cfg(test)]
mod tests;
