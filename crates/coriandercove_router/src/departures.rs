//! Remembers which targets have left, so that an older copy of the platform's list does not bring
//! them back.
//!
//! A store that comes back from a copy lists its targets as they were some seconds before: those
//! that have left since are still there, those that are leaving look ready, and an address may be
//! listed for the target that held it before. Each target writes its state again or is removed by
//! the store within a few of its heartbeats; until then, what this entry saw of an incarnation goes
//! before the list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{SortedMap, TargetId, Time};

use crate::fleet::{Fleet, Target};

/// Time for which a departure is remembered; longer than a copy is old.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of departures that are remembered; the oldest makes room.
const MAX_DEPARTURES: usize = 1024;

/// What the listing of a target says beside what is known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// The target is as it is listed.
    Current,
    /// This incarnation has announced its end, which is final.
    Leaving,
    /// The listing is older than what is known: the target has left, was born again, or its address
    /// belongs to another target.
    Outdated,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Start of the incarnation that left, in Unix milliseconds.
    started_ms: u64,
    at: Time,
}

/// Targets that left lately.
#[derive(Debug, Default)]
pub struct Departures {
    /// At most [`MAX_DEPARTURES`].
    left: SortedMap<TargetId, Departure>,
}

impl Departures {
    /// Records that a target has left.
    pub fn on_left(&mut self, target: &Target, now: Time) {
        self.left
            .retain(|_, d| now.saturating_sub(d.at) < DEPARTURE_LIFETIME);
        if self.left.len() >= MAX_DEPARTURES {
            let oldest = self.left.iter().min_by_key(|(_, d)| d.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.left.remove(&oldest);
            }
        }
        let departure = Departure {
            started_ms: target.started_ms,
            at: now,
        };
        self.left.insert(target.id.clone(), departure);
    }

    /// Forgets the departure of a target that is listed again.
    pub fn on_listed(&mut self, id: &str) {
        self.left.remove(id);
    }

    /// Judges a listed target. `is_copy` tells whether the list may be older than what is known.
    #[must_use]
    pub fn judge(&self, listed: &Target, fleet: &Fleet, is_copy: bool) -> Listing {
        let known = fleet.get(&listed.id);
        let is_same = |t: &Target| t.started_ms == listed.started_ms && listed.started_ms > 0;
        if is_copy {
            let has_left = self.left.get(&listed.id);
            let has_left = has_left.is_some_and(|d| d.started_ms >= listed.started_ms);
            let is_reborn = known.is_some_and(|k| k.started_ms > listed.started_ms);
            let mut others = fleet.others_at(listed.address, &listed.id);
            if has_left || is_reborn || others.any(|t| t.started_ms > listed.started_ms) {
                return Listing::Outdated;
            }
        }
        match known {
            Some(known) if is_same(known) && known.is_draining => Listing::Leaving,
            _ => Listing::Current,
        }
    }
}

/// Targets that no longer hold their address, because a target that started later is listed there.
#[must_use]
pub fn displaced(fleet: &Fleet, by: &Target) -> Vec<TargetId> {
    let earlier = |t: &&Arc<Target>| t.started_ms > 0 && t.started_ms < by.started_ms;
    let others = fleet.others_at(by.address, &by.id).filter(earlier);
    others.map(|t| t.id.clone()).collect()
}

impl Fleet {
    /// Targets other than `id` that are listed at an address. There is more than one while the
    /// address of a target that ended is used again.
    fn others_at<'a>(
        &'a self,
        address: SocketAddr,
        id: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Target>> {
        self.iter()
            .filter(move |t| t.address == address && *t.id != *id)
    }
}

#[cfg(test)]
mod tests;
