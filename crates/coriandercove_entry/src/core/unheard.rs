//! Finds configured targets that membership has not heard of.
//!
//! Load pattern: a target's VM is lost, or does not start, before any entry has heard from it, or while
//! an entry is down. Membership reports changes of members that it knows, so that it would never report
//! the loss, and the configuration alone does not show that a target lives.

use std::time::Duration;

use coriandercove_base::{SortedMap, TargetId, Time};

/// Time without a sign of life after which a configured target gets no new work. The first heartbeat of
/// a target reaches some entries at once, and the tables of peers bring it to the others, which takes
/// longest when a whole deployment starts.
const UNHEARD_LIMIT: Duration = Duration::from_secs(30);

/// Configured targets that membership has not heard of.
#[derive(Debug, Default)]
pub struct UnheardTargets {
    /// Time since which each of them has been waited for, and whether it was given up.
    waiting: SortedMap<TargetId, (Time, bool)>,
}

impl UnheardTargets {
    /// Compares the configured targets with those that membership knows. Returns the ones that have just
    /// been given up; a later sign of life brings them back.
    pub fn give_up<'a>(
        &mut self,
        configured: impl Iterator<Item = &'a TargetId>,
        is_known: impl Fn(&TargetId) -> bool,
        now: Time,
    ) -> Vec<TargetId> {
        let mut waiting = SortedMap::new();
        let mut given_up = Vec::new();
        for target in configured.filter(|t| !is_known(t)) {
            let before = self.waiting.get(target).copied();
            let (since, was_given_up) = before.unwrap_or((now, false));
            let is_due = since + UNHEARD_LIMIT <= now;
            if is_due && !was_given_up {
                given_up.push(target.clone());
            }
            waiting.insert(target.clone(), (since, is_due));
        }
        self.waiting = waiting;
        given_up
    }
}

#[cfg(test)]
mod tests;
