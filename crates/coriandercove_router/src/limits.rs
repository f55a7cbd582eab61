//! Keeps the rate of requests that a target in need takes from all entries together.
//!
//! Handles a target that names a limit of a few requests a second before dozens of entries, which
//! hear of it at different times and get uneven shares of the callers. Each entry sends by a share
//! of its own, so that no message is needed for a request: the entries that may send to a target
//! divide its limit by what their callers ask for. A low limit is left to a few of them, as one
//! request of each entry at the same moment would exceed it. The rest of the requests goes to other
//! targets, or is refused at once.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;

use coriandercove_base::hash::{hash64, mix64};
use coriandercove_base::rng::Rng;
use coriandercove_base::{NodeId, SortedMap, Time, data};

use crate::protocol::{MilliRate, NamedLimit};

/// Share of a limit that the entries use together. The rest covers shares that do not add up, as the
/// entries know each other's demand only from their last datagrams.
const USED_SHARE: f64 = 0.85;
/// Share of a limit that is divided evenly, so that an entry whose demand rises can send at once.
const EVEN_SHARE: f64 = 0.2;
/// Lowest rate, in requests a second. Only an answer shows that a limit has been withdrawn, so that
/// a target that takes nothing gets a request now and then.
const MIN_RATE: f64 = 0.2;
/// Number of entries that may send to a target whatever its limit, and more for each request a
/// second that it takes.
const MIN_SENDERS: f64 = 6.0;
const SENDERS_PER_RATE: f64 = 6.0;
/// Time for which an entry may keep an unused permit. Entries that kept theirs would send all of them
/// when their callers come at once.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Maximum number of requests that were sent without a permit and count against later ones.
const MAX_DEBT: f64 = 4.0;
/// Time without an answer that confirms a limit after which it is dropped.
const LIMIT_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which an entry repeats what it saw itself to its peers.
const REPORT_TIME: Duration = Duration::from_secs(20);
/// Maximum number of limits that are kept, and of those in one report.
const MAX_LIMITS: usize = 1024;
const MAX_REPORTED: usize = 64;
/// Time without a datagram after which an entry no longer counts. It exceeds the lifetime of a
/// digest, because an entry that is only not heard may still send.
const MEMBER_LIFETIME: Duration = Duration::from_secs(20);
/// Time after the start in which some other entries are not known yet, and the number of entries that
/// is assumed meanwhile, and as long as none has been heard.
const UNKNOWN_TIME: Duration = Duration::from_secs(3);
const ASSUMED_ENTRIES: f64 = 16.0;
/// Time constant of an entry's demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

data! {
    /// What an entry last saw a target name, as sent to its peers.
    #[derive(Copy, Eq)]
    pub struct LimitReport {
        /// Address of the target.
        pub target: SocketAddr,
        /// The limit; none if the target has withdrawn it.
        pub limit: Option<MilliRate>,
        /// Time since the answer that showed it, in ms.
        pub age_ms: u32,
    }

    /// Limits that an entry saw, as sent to its peers.
    #[derive(Eq, Default)]
    pub struct LimitsReport {
        /// Limits of targets in need, and their withdrawals.
        pub limits: Vec<LimitReport>,
        /// Requests that arrive in 10 seconds.
        pub demand: u32,
    }
}

/// Permits to send to one target.
#[derive(Debug, Clone, Copy)]
struct Permits {
    /// Number of permits; negative after requests that could not wait.
    level: f64,
    updated: Time,
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    /// The limit; none if the target has withdrawn it.
    rate: Option<MilliRate>,
    /// Time of the newest answer that shows it.
    seen_at: Time,
    /// Whether this entry saw that answer itself.
    is_own: bool,
    permits: Permits,
}

#[derive(Debug, Clone, Copy)]
struct Member {
    last_heard: Time,
    /// Requests a second, as it reports them.
    demand: f64,
}

/// Limits of targets in need, and this entry's share of them.
#[derive(Debug)]
pub struct Limits {
    own: NodeId,
    /// Whether there are other entries, although none may have been heard yet.
    has_peers: bool,
    /// At most [`MAX_LIMITS`].
    targets: SortedMap<SocketAddr, Limit>,
    members: SortedMap<NodeId, Member>,
    arrivals: f64,
    last_arrival: Time,
}

impl Limits {
    /// Creates the state of the entry `own`; `has_peers` states whether there are other entries.
    #[must_use]
    pub fn new(own: NodeId, has_peers: bool) -> Self {
        Self {
            own,
            has_peers,
            targets: SortedMap::default(),
            members: SortedMap::default(),
            arrivals: 0.0,
            last_arrival: Time::ZERO,
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Time) {
        self.arrivals = self.arrivals_at(now) + 1.0;
        self.last_arrival = now;
    }

    fn arrivals_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.last_arrival);
        self.arrivals * (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Requests of this entry's callers, in requests a second.
    fn own_demand(&self, now: Time) -> f64 {
        self.arrivals_at(now) / DEMAND_WINDOW.as_secs_f64()
    }

    /// Records what an answer says about its target; `sent_at` is the time at which its request was
    /// sent. A limit that cannot be read leaves the one before in force. Returns whether the limit
    /// has changed.
    pub fn on_answer(
        &mut self,
        target: SocketAddr,
        named: NamedLimit,
        sent_at: Time,
        now: Time,
        rng: &mut Rng,
    ) -> bool {
        let rate = match named {
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::None => None,
            NamedLimit::Unreadable => {
                if let Some(known) = self.targets.get_mut(&target) {
                    known.seen_at = now;
                }
                return false;
            }
        };
        let known = self.targets.get(&target);
        // The answer to a request that was sent before the limit was last named may have crossed it.
        let is_outdated = known.is_some_and(|k| rate.is_none() && sent_at <= k.seen_at);
        if is_outdated || (rate.is_none() && known.is_none_or(|k| k.rate.is_none())) {
            return false;
        }
        self.set(target, rate, now, true, now, rng)
    }

    fn set(
        &mut self,
        target: SocketAddr,
        rate: Option<MilliRate>,
        seen_at: Time,
        is_own: bool,
        now: Time,
        rng: &mut Rng,
    ) -> bool {
        if let Some(known) = self.targets.get_mut(&target) {
            let is_changed = known.rate != rate;
            known.rate = rate;
            known.seen_at = seen_at;
            known.is_own = is_own;
            return is_changed;
        }
        if self.targets.len() >= MAX_LIMITS {
            return false;
        }
        // Random levels spread the first requests of entries that hear of a limit together.
        let permits = Permits {
            level: rng.random_range(0.0..1.0),
            updated: now,
        };
        let limit = Limit {
            rate,
            seen_at,
            is_own,
            permits,
        };
        self.targets.insert(target, limit);
        rate.is_some()
    }

    /// Forgets the limit of a target that has started anew.
    pub fn on_restarted(&mut self, target: SocketAddr) {
        self.targets.remove(&target);
    }

    /// Limit of a target in requests a second; none if it names none.
    #[must_use]
    pub fn limit(&self, target: SocketAddr) -> Option<f64> {
        let rate = self.targets.get(&target)?.rate?;
        Some(rate as f64 / 1000.0)
    }

    /// Targets with a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let limited = self.targets.values().filter(|l| l.rate.is_some());
        limited.count()
    }

    /// Whether no target has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Entries that may send to a target with this limit, with what their callers ask for.
    fn senders(&self, target: SocketAddr, rate: f64, now: Time) -> Vec<(&NodeId, f64)> {
        let own = (&self.own, self.own_demand(now));
        let peers = self.members.iter().map(|(name, m)| (name, m.demand));
        let mut all: Vec<(&NodeId, f64)> = peers.chain(std::iter::once(own)).collect();
        let most = (MIN_SENDERS + SENDERS_PER_RATE * rate).min(all.len() as f64) as usize;
        if most < all.len() {
            let key = hash64(&[target.to_string().as_bytes()]);
            all.sort_by_cached_key(|(name, _)| mix64(key ^ hash64(&[name.as_bytes()])));
            all.truncate(most);
        }
        all
    }

    /// Rate at which this entry may send to a target that takes `limit` requests a second.
    fn share(&self, target: SocketAddr, limit: f64, now: Time) -> f64 {
        let rate = (limit * USED_SHARE).max(MIN_RATE);
        let assumed = rate / ASSUMED_ENTRIES;
        if self.has_peers && self.members.is_empty() {
            return assumed;
        }
        let most = if self.has_peers && now < UNKNOWN_TIME {
            assumed
        } else {
            rate
        };
        let senders = self.senders(target, rate, now);
        let Some((_, own)) = senders.iter().find(|(name, _)| **name == self.own) else {
            return 0.0;
        };
        let all: f64 = senders.iter().map(|(_, demand)| demand).sum();
        let even = 1.0 / senders.len() as f64;
        let by_demand = if all > 0.0 { own / all } else { even };
        let share = rate * (EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand);
        share.min(most)
    }

    /// Permits of this entry for a target now; none if the target has no limit.
    fn permits(&self, target: SocketAddr, now: Time) -> Option<f64> {
        let limit = self.limit(target)?;
        let permits = self.targets.get(&target)?.permits;
        let share = self.share(target, limit, now);
        let gained = share * now.saturating_sub(permits.updated).as_secs_f64();
        let lifetime = PERMIT_LIFETIME.as_secs_f64();
        let level = permits.level + gained;
        // Beyond its lifetime a permit is lost, and the next one is under way.
        let most = 1.0 + share * lifetime;
        let level = if level <= most {
            level
        } else if share * lifetime >= 1.0 {
            most
        } else {
            share * lifetime + (level - most).fract()
        };
        Some(level)
    }

    /// Whether this entry may send a request to the target now.
    #[must_use]
    pub fn allows(&self, target: SocketAddr, now: Time) -> bool {
        self.permits(target, now).is_none_or(|level| level >= 1.0)
    }

    /// Counts a request that is sent to the target, also one that was not allowed.
    pub fn on_sent(&mut self, target: SocketAddr, now: Time) {
        let Some(level) = self.permits(target, now) else {
            return;
        };
        if let Some(limit) = self.targets.get_mut(&target) {
            limit.permits = Permits {
                level: (level - 1.0).max(-MAX_DEBT),
                updated: now,
            };
        }
    }

    /// What the peers are told.
    #[must_use]
    pub fn report(&self, now: Time) -> LimitsReport {
        let age = |l: &Limit| now.saturating_sub(l.seen_at);
        let recent = self
            .targets
            .iter()
            .filter(|(_, l)| l.is_own && age(l) < REPORT_TIME);
        let mut limits: Vec<LimitReport> = recent
            .map(|(target, l)| LimitReport {
                target: *target,
                limit: l.rate,
                age_ms: u32::try_from(age(l).as_millis()).unwrap_or(u32::MAX),
            })
            .collect();
        limits.sort_by_key(|l| l.age_ms);
        limits.truncate(MAX_REPORTED);
        LimitsReport {
            limits,
            demand: (self.own_demand(now) * 10.0).round() as u32,
        }
    }

    /// Applies a peer's report. Returns the targets whose limit has changed.
    pub fn on_report(
        &mut self,
        from: NodeId,
        report: &LimitsReport,
        now: Time,
        rng: &mut Rng,
    ) -> Vec<SocketAddr> {
        let member = Member {
            last_heard: now,
            demand: f64::from(report.demand) / 10.0,
        };
        self.members.insert(from, member);
        let mut changed = Vec::new();
        for seen in &report.limits {
            let seen_at = now.saturating_sub(Duration::from_millis(seen.age_ms.into()));
            let known = self.targets.get(&seen.target);
            let is_newer = known.map_or(seen.limit.is_some(), |k| seen_at > k.seen_at);
            if is_newer && self.set(seen.target, seen.limit, seen_at, false, now, rng) {
                changed.push(seen.target);
            }
        }
        changed
    }

    /// Drops limits that no answer has confirmed for long, and entries that were not heard.
    pub fn expire(&mut self, now: Time) {
        let age = |at: Time| now.saturating_sub(at);
        self.targets.retain(|_, l| age(l.seen_at) < LIMIT_LIFETIME);
        self.members
            .retain(|_, m| age(m.last_heard) < MEMBER_LIFETIME);
    }
}

#[cfg(test)]
mod tests;
