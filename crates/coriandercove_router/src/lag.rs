//! Bounds the memory of callers that take their answers slower than they arrive, or not at all.
//!
//! Load pattern: hundreds of callers do not read while targets send at full speed. For each, the
//! buffers of two connections fill, in the process and in the system, where received bytes that nobody
//! reads count as memory of the process too. A sound caller is behind for less than the limit, and
//! costs nothing here. One that is behind for longer holds what its connections can hold at most, or,
//! if there is no memory for it, loses its connection, so that the requests of others go on.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_base::byte_budget::{ByteBudget, ByteShare};

/// Time for which a caller may be behind before its connections count with all they can hold.
pub const LAG_LIMIT: Duration = Duration::from_millis(500);
/// Bytes that the connections of a caller that is behind hold at most: what has arrived from the target
/// and has not been read, or sent on, and what the caller itself sends.
pub const LAG_BYTES: usize = 320 * 1024;

/// What is to be done with a caller that takes nothing at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Ask again after this time.
    Wait(Duration),
    /// Its connections are accounted for.
    Held,
    /// There is no memory for it; its connection is to be closed.
    Close,
}

/// How far one caller is behind.
#[derive(Debug)]
pub struct Lag {
    budget: Arc<ByteBudget>,
    /// Time since which bytes wait for the caller; none while it has taken all.
    since: Option<Time>,
    /// Accounts for its connections; none before [`LAG_LIMIT`].
    share: Option<ByteShare>,
}

impl Lag {
    /// Creates the state of a caller that is not behind.
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self {
            budget,
            since: None,
            share: None,
        }
    }

    /// Notes that bytes wait for the caller, and decides whether they may.
    pub fn on_blocked(&mut self, now: Time) -> Verdict {
        if self.share.is_some() {
            return Verdict::Held;
        }
        let since = *self.since.get_or_insert(now);
        let left = LAG_LIMIT.saturating_sub(now.saturating_sub(since));
        if !left.is_zero() {
            return Verdict::Wait(left);
        }
        self.share = self.budget.admit_waiting(LAG_BYTES);
        if self.share.is_some() {
            Verdict::Held
        } else {
            Verdict::Close
        }
    }

    /// Notes that the caller has taken all that was there.
    pub fn on_caught_up(&mut self) {
        self.since = None;
        self.share = None;
    }
}

#[cfg(test)]
mod tests;
