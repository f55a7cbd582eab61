//! Excludes failing targets from new work, for a time that grows with each failure.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{SortedMap, Time};

/// Exclusion after a first failure; doubled with each further one.
const FIRST_EXCLUSION: Duration = Duration::from_millis(500);
/// Longest exclusion; a target that has recovered gets work again within it.
const LONGEST_EXCLUSION: Duration = Duration::from_secs(4);
/// Time without a failure after which the next exclusion starts from [`FIRST_EXCLUSION`] again.
const FORGET_AFTER: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct Exclusion {
    until: Time,
    last_failure: Time,
    failures: u32,
}

/// Failing targets by address.
#[derive(Debug, Default)]
pub struct Exclusions {
    targets: SortedMap<SocketAddr, Exclusion>,
}

impl Exclusions {
    /// Records a failure. Returns the length of the exclusion, or none if the target is excluded
    /// already, in which case the failure changes nothing.
    pub fn on_failure(&mut self, target: SocketAddr, now: Time) -> Option<Duration> {
        let initial = Exclusion {
            until: Time::ZERO,
            last_failure: now,
            failures: 0,
        };
        let state = self.targets.get_or_insert_with(target, || initial);
        if now < state.until {
            return None;
        }
        if now.saturating_sub(state.last_failure) > FORGET_AFTER {
            state.failures = 0;
        }
        let doublings = state.failures.min(8);
        let exclusion = (FIRST_EXCLUSION * (1 << doublings)).min(LONGEST_EXCLUSION);
        state.failures += 1;
        state.last_failure = now;
        state.until = now + exclusion;
        Some(exclusion)
    }

    /// Records a success, which ends an exclusion. Returns whether failures of the target were on
    /// record.
    pub fn on_success(&mut self, target: SocketAddr) -> bool {
        self.targets.remove(&target).is_some()
    }

    /// Drops targets whose last recorded failure is older than `FORGET_AFTER`.
    pub fn expire(&mut self, now: Time) {
        self.targets
            .retain(|_, s| now.saturating_sub(s.last_failure) <= FORGET_AFTER);
    }

    /// Whether the target is excluded from new work now.
    #[must_use]
    pub fn is_excluded(&self, target: SocketAddr, now: Time) -> bool {
        self.targets.get(&target).is_some_and(|s| now < s.until)
    }
}

#[cfg(test)]
mod tests;
