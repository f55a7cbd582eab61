//! Targets that were seen failing and get no new work for a while.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{SortedMap, Time};

/// First time without work.
const FIRST_EXCLUSION: Duration = Duration::from_millis(500);
/// Longest time without work; a target that comes back is noticed within it.
const LONGEST_EXCLUSION: Duration = Duration::from_secs(4);
/// Time without a failure after which a target counts as new.
const FORGET_AFTER: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    until: Time,
    last_failure: Time,
    failures: u32,
}

/// Targets that get no new work, by address.
#[derive(Debug, Default)]
pub struct Suspects {
    targets: SortedMap<SocketAddr, Suspicion>,
}

impl Suspects {
    /// Takes a failure in. Returns the time of exclusion if the target was not excluded before.
    pub fn on_failure(&mut self, target: SocketAddr, now: Time) -> Option<Duration> {
        let fresh = Suspicion {
            until: Time::ZERO,
            last_failure: now,
            failures: 0,
        };
        let entry = self.targets.get_or_insert_with(target, || fresh);
        if now < entry.until {
            return None;
        }
        if now.saturating_sub(entry.last_failure) > FORGET_AFTER {
            entry.failures = 0;
        }
        let doublings = entry.failures.min(8);
        let exclusion = (FIRST_EXCLUSION * (1 << doublings)).min(LONGEST_EXCLUSION);
        entry.failures += 1;
        entry.last_failure = now;
        entry.until = now + exclusion;
        Some(exclusion)
    }

    /// Takes a success in. Returns whether the target was suspected.
    pub fn on_success(&mut self, target: SocketAddr) -> bool {
        self.targets.remove(&target).is_some()
    }

    /// Forgets failures that are too old to count.
    pub fn expire(&mut self, now: Time) {
        self.targets
            .retain(|_, s| now.saturating_sub(s.last_failure) <= FORGET_AFTER);
    }

    /// Whether the target gets no new work now.
    #[must_use]
    pub fn is_excluded(&self, target: SocketAddr, now: Time) -> bool {
        self.targets.get(&target).is_some_and(|s| now < s.until)
    }
}

#[cfg(test)]
mod tests;
