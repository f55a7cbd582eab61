//! Decides whether a request is repeated after a failed attempt, or beside one that is silent.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{TargetId, Time};

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

/// Start of an incarnation of a target, in Unix milliseconds; 0 if not reported.
pub type StartedMs = u64;

/// An incarnation of a target that the request was sent to, and that may have run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id of the target.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Start of the incarnation.
    pub started_ms: StartedMs,
    /// Time at which the request was sent.
    pub sent_at: Time,
    /// Time at which the target broke the connection; none while it has not.
    pub broke_at: Option<Time>,
    /// Whether the incarnation was found to have ended, which is final.
    pub has_ended: bool,
}

/// Attempts that one request has made so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Maximum number of runs; at least 1. The first `MAX_ENDED` at targets that have ended do not
    /// count.
    pub limit: u32,
    /// Attempts that may have run the request.
    runs: Vec<Run>,
    /// The attempt that waits for the head of its answer; it may run the request.
    pending: Option<Run>,
    /// Attempts that targets declined to run.
    declined: u32,
    /// Attempts that failed before anything was sent.
    unsent: u32,
}

/// Minimum time before the deadline at which a further attempt is still useful.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Attempts that targets declined to run and that may be repeated; a target that declines after
/// them shows that the service is full.
const MAX_DECLINED: u32 = 2;

/// Runs at targets that have ended that do not count against a request's limit.
const MAX_ENDED: usize = 2;

/// Failed connection attempts that one request may repeat.
const MAX_UNSENT: u32 = 4;

impl Attempts {
    /// Creates the state of a request without attempts; a `limit` of 0 counts as 1.
    #[must_use]
    pub fn new(repeat: Repeat, limit: u32) -> Self {
        Self {
            repeat,
            limit: limit.max(1),
            runs: Vec::new(),
            pending: None,
            declined: 0,
            unsent: 0,
        }
    }

    /// Number of attempts that may have reached a target, those that it did not run included.
    #[must_use]
    pub fn sent(&self) -> u32 {
        let runs = self.runs.len() + usize::from(self.pending.is_some());
        u32::try_from(runs)
            .unwrap_or(u32::MAX)
            .saturating_add(self.declined)
    }

    /// Whether any attempt so far may have run the request.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.runs.is_empty() && self.pending.is_none() {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }

    /// Records an attempt that is about to be sent. It counts as a run unless
    /// [`Self::on_failure`] says otherwise.
    pub fn begin(&mut self, run: Run) {
        self.settle();
        self.pending = Some(run);
    }

    /// Counts the last attempt as a run, whose result nobody waits for any more.
    pub fn settle(&mut self) {
        self.runs.extend(self.pending.take());
    }

    /// Start of the incarnation that the last attempt at this address was sent to.
    #[must_use]
    pub fn started_ms(&self, address: SocketAddr) -> StartedMs {
        let runs = self.runs.iter().chain(&self.pending);
        let mut at_address = runs.rev().filter(|run| run.address == address);
        at_address.next().map_or(0, |run| run.started_ms)
    }

    /// Records that the target at this address broke the connection of the last attempt there.
    pub fn on_broken(&mut self, address: SocketAddr, now: Time) {
        self.settle();
        let mut runs = self.runs.iter_mut().rev();
        if let Some(run) = runs.find(|run| run.address == address) {
            run.broke_at.get_or_insert(now);
        }
    }

    /// Number of runs that count against the limit. `has_ended` tells whether a target is known to
    /// have ended; silence is no proof.
    fn counted(&mut self, has_ended: impl Fn(&Run) -> bool) -> u32 {
        let runs = self.runs.iter_mut().chain(&mut self.pending);
        let mut total = 0;
        let mut ended = 0;
        for run in runs {
            run.has_ended |= has_ended(run);
            total += 1;
            ended += usize::from(run.has_ended);
        }
        let counted: usize = total - ended.min(MAX_ENDED);
        u32::try_from(counted).unwrap_or(u32::MAX)
    }

    /// Whether the request may run once more, while the attempts so far may still go on.
    pub fn may_run_again(
        &mut self,
        now: Time,
        deadline: Time,
        has_ended: impl Fn(&Run) -> bool,
    ) -> bool {
        let has_time = now + MIN_TIME_LEFT < deadline;
        self.repeat.is_repeatable() && has_time && self.counted(has_ended) < self.limit
    }

    /// Records a failed attempt and decides what follows. `may_repeat` draws on the retry budget
    /// and is called only if a repeat is otherwise allowed.
    pub fn on_failure(
        &mut self,
        failure: Failure,
        now: Time,
        deadline: Time,
        has_ended: impl Fn(&Run) -> bool,
        may_repeat: impl FnOnce() -> bool,
    ) -> Next {
        match failure {
            Failure::NotSent => {
                self.pending = None;
                self.unsent += 1;
            }
            Failure::NotRun => {
                self.pending = None;
                self.declined += 1;
            }
            Failure::Unknown => self.settle(),
        }
        let has_room = self.counted(has_ended) < self.limit;
        let is_permitted = match failure {
            Failure::NotSent => self.unsent <= MAX_UNSENT,
            Failure::NotRun => self.declined <= MAX_DECLINED,
            Failure::Unknown => self.repeat.is_repeatable(),
        };
        let has_time = now + MIN_TIME_LEFT < deadline;
        // A request that has not reached any target is not a repeat and does not use the budget.
        if is_permitted && has_room && has_time && (self.sent() == 0 || may_repeat()) {
            Next::Retry
        } else {
            Next::Stop(self.outcome())
        }
    }
}

#[cfg(test)]
mod tests;
