//! Remembers which targets have left or are leaving, so that neither an older copy of the platform's
//! list nor a list that lags brings them back.
//!
//! A target that leaves says so in the list, in its answers, or in both; what it has said of an
//! incarnation is final. Entries tell each other of the answers.
//!
//! A store that comes back from a copy lists its targets as they were some seconds before: those
//! that have left since are still there, those that are leaving look ready, and an address may be
//! listed for the target that held it before. Each target writes its state again or is removed by
//! the store within a few of its heartbeats; until then, what this entry saw of an incarnation goes
//! before the list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{SortedMap, TargetId, Time, data};

use crate::fleet::{Fleet, Target};

/// Time for which a departure is remembered; longer than a copy is old.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of departures that are remembered; the oldest makes room.
const MAX_DEPARTURES: usize = 1024;
/// Time for which an entry tells its peers of an answer, so that lost datagrams do no harm.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Maximum number of targets in a report, the latest first.
const MAX_REPORTED: usize = 32;

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
    /// Start of the incarnation, in Unix milliseconds.
    started_ms: u64,
    at: Time,
}

data! {
    /// An incarnation that is leaving, as sent to the peers.
    #[derive(Eq)]
    pub struct LeavingTarget {
        /// Id of the target.
        pub id: TargetId,
        /// Start of the incarnation, in Unix milliseconds; 0 if not reported.
        pub started_ms: u64,
    }

    /// Targets whose answers said lately that they are leaving, as sent to the peers.
    #[derive(Eq, Default)]
    pub struct DeparturesReport {
        /// The latest first, some dozens at the most.
        pub leaving: Vec<LeavingTarget>,
    }
}

/// Targets that left lately, or said in an answer that they are leaving.
#[derive(Debug, Default)]
pub struct Departures {
    /// At most [`MAX_DEPARTURES`].
    left: SortedMap<TargetId, Departure>,
    /// At most [`MAX_DEPARTURES`].
    leaving: SortedMap<TargetId, Departure>,
    /// Those of `leaving` whose answers this entry saw.
    own: SortedMap<TargetId, Departure>,
}

/// Adds a departure and drops old ones.
fn remember(map: &mut SortedMap<TargetId, Departure>, id: &TargetId, started_ms: u64, now: Time) {
    map.retain(|_, d| now.saturating_sub(d.at) < DEPARTURE_LIFETIME);
    if map.len() >= MAX_DEPARTURES {
        let oldest = map.iter().min_by_key(|(_, d)| d.at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            map.remove(&oldest);
        }
    }
    map.insert(
        id.clone(),
        Departure {
            started_ms,
            at: now,
        },
    );
}

impl Departures {
    /// Records that a target has left.
    pub fn on_left(&mut self, target: &Target, now: Time) {
        remember(&mut self.left, &target.id, target.started_ms, now);
        if target.is_draining {
            remember(&mut self.leaving, &target.id, target.started_ms, now);
        }
    }

    /// Records that an incarnation is leaving. `is_own` tells whether this entry saw its answer.
    /// Returns whether this was not known.
    pub fn on_leaving(&mut self, target: &LeavingTarget, is_own: bool, now: Time) -> bool {
        let LeavingTarget { id, started_ms } = target;
        let known = self.leaving.get(id);
        let is_news = known.is_none_or(|d| d.started_ms != *started_ms);
        remember(&mut self.leaving, id, *started_ms, now);
        if is_own {
            remember(&mut self.own, id, *started_ms, now);
        }
        is_news
    }

    /// What the peers are told.
    #[must_use]
    pub fn report(&self, now: Time) -> DeparturesReport {
        let mut recent: Vec<_> = self.own.iter().collect();
        recent.retain(|(_, d)| now.saturating_sub(d.at) < REPORT_TIME);
        recent.sort_by_key(|(_, d)| std::cmp::Reverse(d.at));
        recent.truncate(MAX_REPORTED);
        let leaving = recent.into_iter().map(|(id, d)| LeavingTarget {
            id: id.clone(),
            started_ms: d.started_ms,
        });
        DeparturesReport {
            leaving: leaving.collect(),
        }
    }

    /// Forgets the departure of a target that is listed again.
    pub fn on_listed(&mut self, id: &str) {
        self.left.remove(id);
    }

    /// Judges a listed target. `is_copy` tells whether the list may be older than what is known.
    #[must_use]
    pub fn judge(&self, listed: &Target, fleet: &Fleet, is_copy: bool) -> Listing {
        let known = fleet.get(&listed.id);
        if is_copy {
            let has_left = self.left.get(&listed.id);
            let has_left = has_left.is_some_and(|d| d.started_ms >= listed.started_ms);
            let is_reborn = known.is_some_and(|k| k.started_ms > listed.started_ms);
            let mut others = fleet.others_at(listed.address, &listed.id);
            if has_left || is_reborn || others.any(|t| t.started_ms > listed.started_ms) {
                return Listing::Outdated;
            }
        }
        let is_draining = known.is_some_and(|k| k.started_ms == listed.started_ms && k.is_draining);
        let has_said_so = self.leaving.get(&listed.id);
        if is_draining || has_said_so.is_some_and(|d| d.started_ms == listed.started_ms) {
            return Listing::Leaving;
        }
        Listing::Current
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
