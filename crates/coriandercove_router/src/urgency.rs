//! Divides the places of a full fleet between levels of urgency.
//!
//! It is meant for services whose routes have different priorities. Without a division, the kind of
//! request with the longest objective or the smallest prompts takes the room that is left, and the
//! most urgent kind is served least often.
//!
//! A request's rank is the number of requests that count as placed before it: those of more urgent
//! levels, and those of its own level whose accounts use less. Less urgent requests so leave room
//! for more urgent arrivals that no digest shows yet.
//!
//! Once requests find no room, the places are divided. Each level has a floor; the rest goes to the
//! most urgent levels first. Demand is measured by arrivals, whether admitted or not, so that the
//! division does not depend on its own result and does not oscillate between digests.

use std::fmt;
use std::time::Duration;

use coriandercove_base::telemetry::{CounterFamily, GaugeFamily, Metrics, count};
use coriandercove_base::{NodeId, SortedMap, Time, data};

use crate::fair_share::{Rank, ShareLimiter, max_min_limit_with};
use crate::load::DIGEST_LIFETIME;
use crate::usage::AccountKey;

data! {
    /// Urgency of a request; the lower is the more urgent.
    ///
    /// The account's priority comes first, so that the kinds keep their order within one account
    /// priority.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
    pub struct Level {
        /// Priority of the account, or else of the route; 0 is the most urgent.
        pub priority: u8,
        /// Priority of the route.
        pub route_priority: u8,
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.priority, self.route_priority)
    }
}

/// Number of entries of a report; it bounds the size of a datagram.
const MAX_REPORTED_USES: usize = 64;
/// Key under which a report sums the accounts of a level that it does not name.
const OTHER_ACCOUNTS: AccountKey = AccountKey::MAX;
/// Maximum of a reported number; a wrong or hostile report counts no more.
const MAX_REPORTED_COUNT: u32 = 20_000;
/// Time constant of the rates of arrival. At 50 requests per second and level, a shorter one lets
/// the rates vary by a fifth.
const RATE_WINDOW: Duration = Duration::from_millis(1000);
/// Arrivals in the window below which an account without requests in flight is dropped.
const MIN_ARRIVALS: f64 = 0.02;
/// Lower bound of the rate by which shares of it are divided, per second.
const MIN_RATE: f64 = 0.1;
/// Lower bound of the assumed time of an answer, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.2;

/// Share of its proportional part that each level gets. A quarter is the requirement; the rest
/// covers the requests that find no room within their part.
const FLOOR_SHARE: f64 = 0.3;
/// Growth of the floor of a level that is more urgent than all others. Levels that have no more than
/// their floors would otherwise be served alike, and chance would decide their order.
const FLOOR_RISE: f64 = 1.0;
/// Factor on the demand of a level for which places are kept, as rates of arrival vary.
const DEMAND_MARGIN: f64 = 1.1;
/// Share of the places that is divided. The rest covers what the entries do not know of each other.
const DIVIDED_SHARE: f64 = 0.97;
/// Requests that more urgent levels may add until the next digests, for which a request leaves
/// places free, as a share of their unseen arrivals.
const UPCOMING_SHARE: f64 = 0.5;
/// Share of the time to the first event that a request leaves free if it yields to all others.
const YIELDED_WAIT: f64 = 0.3;
/// Size in usual requests from which on a request is large. Smaller ones leave room for it while
/// the fleet is full; they would otherwise fill every gap before it is large enough.
const LARGE_SIZE: f64 = 2.0;
/// Share of others for which the smallest requests leave room for larger ones.
const SIZE_YIELD: f64 = 0.25;

data! {
    /// Requests of one account at one level, as sent to the peers.
    #[derive(Copy, Eq, Default)]
    pub struct LevelUse {
        /// Level of the requests.
        pub level: Level,
        /// Key of the account.
        pub account: AccountKey,
        /// Requests in flight.
        pub requests: u32,
        /// Requests that arrive in 10 seconds, whether admitted or not.
        pub arrivals: u32,
    }

    /// Requests by level of urgency.
    #[derive(Default, Eq)]
    pub struct LevelsReport {
        /// Requests by level and account; at most 64.
        pub uses: Vec<LevelUse>,
    }
}

type UseKey = (Level, AccountKey);

impl LevelUse {
    fn new((level, account): UseKey) -> Self {
        Self {
            level,
            account,
            ..Self::default()
        }
    }

    fn key(&self) -> UseKey {
        (self.level, self.account)
    }

    fn rate(&self) -> f64 {
        f64::from(self.arrivals) / 10.0
    }

    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.arrivals = self.arrivals.saturating_add(other.arrivals);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.arrivals = self.arrivals.saturating_sub(other.arrivals);
    }

    fn clipped(self) -> Self {
        Self {
            requests: self.requests.min(MAX_REPORTED_COUNT),
            arrivals: self.arrivals.min(MAX_REPORTED_COUNT),
            ..self
        }
    }
}

/// Requests of one account at one level of this entry.
#[derive(Debug, Clone, Copy)]
struct OwnUse {
    requests: u32,
    /// Arrivals, each of which loses weight with [`RATE_WINDOW`].
    arrivals: f64,
    last_update: Time,
}

impl OwnUse {
    fn new(now: Time) -> Self {
        Self {
            requests: 0,
            arrivals: 0.0,
            last_update: now,
        }
    }

    fn arrivals_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.last_update);
        self.arrivals * (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }
}

/// A new request, as it is ranked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Newcomer {
    /// Its level.
    pub level: Level,
    /// Key of its account.
    pub account: AccountKey,
    /// Its size in requests of usual size.
    pub size: f64,
    /// Random number between 0 and 1.
    pub draw: f64,
}

/// Requests by level of urgency, of all entries, and what the fleet carries of them.
#[derive(Debug, Default)]
pub struct LevelTracker {
    own: SortedMap<UseKey, OwnUse>,
    /// Last report of each peer, with the time of its arrival.
    peers: SortedMap<NodeId, (Time, LevelsReport)>,
    /// Sums over the peers' last reports; those without requests and arrivals are left out.
    others: SortedMap<UseKey, LevelUse>,
    /// Places of the fleet, as the entries in `full_entries` filled them.
    limiter: ShareLimiter,
    /// Entries that were known, this one included, when a request last found no room.
    full_entries: usize,
    /// Whether any peer has sent a report.
    has_heard: bool,
}

impl LevelTracker {
    /// Counts a model request that arrived from a caller.
    pub fn on_arrival(&mut self, level: Level, account: AccountKey, now: Time) {
        let key = (level, account);
        let own = self.own.get_or_insert_with(key, || OwnUse::new(now));
        own.arrivals = own.arrivals_at(now) + 1.0;
        own.last_update = now;
    }

    /// Adds a model request in flight of this entry.
    pub fn begin(&mut self, level: Level, account: AccountKey, now: Time) {
        let key = (level, account);
        let own = self.own.get_or_insert_with(key, || OwnUse::new(now));
        own.requests += 1;
    }

    /// Removes a model request that was added with [`Self::begin`].
    pub fn end(&mut self, level: Level, account: AccountKey) {
        if let Some(own) = self.own.get_mut(&(level, account)) {
            own.requests = own.requests.saturating_sub(1);
        }
    }

    fn own_uses(&self, now: Time) -> impl Iterator<Item = LevelUse> {
        self.own.iter().map(move |(key, own)| LevelUse {
            requests: own.requests,
            arrivals: (own.arrivals_at(now) / RATE_WINDOW.as_secs_f64() * 10.0).round() as u32,
            ..LevelUse::new(*key)
        })
    }

    /// What this entry tells its peers. If there are too many accounts, those with fewest requests
    /// are summed by level.
    #[must_use]
    pub fn report(&self, now: Time) -> LevelsReport {
        let uses = self.own_uses(now);
        let mut uses: Vec<LevelUse> = uses.filter(|u| u.requests > 0 || u.arrivals > 0).collect();
        uses.sort_by_key(|u| std::cmp::Reverse((u.requests, u.arrivals)));
        if uses.len() > MAX_REPORTED_USES {
            let mut levels: Vec<Level> = uses.iter().map(|u| u.level).collect();
            levels.sort_unstable();
            levels.dedup();
            let named = MAX_REPORTED_USES.saturating_sub(levels.len());
            let mut sums: SortedMap<UseKey, LevelUse> = SortedMap::default();
            for u in uses.drain(named..) {
                add(
                    &mut sums,
                    LevelUse {
                        account: OTHER_ACCOUNTS,
                        ..u
                    },
                );
            }
            uses.extend(sums.values().copied());
            uses.truncate(MAX_REPORTED_USES);
        }
        LevelsReport { uses }
    }

    /// Replaces what a peer told. The report of one that runs a version without levels is empty.
    pub fn on_report(&mut self, from: &NodeId, mut report: LevelsReport, now: Time) {
        self.has_heard = true;
        report.uses.truncate(MAX_REPORTED_USES);
        for u in &mut report.uses {
            *u = u.clipped();
            add(&mut self.others, *u);
        }
        if let Some((_, old)) = self.peers.insert(from.clone(), (now, report)) {
            subtract(&mut self.others, &old);
        }
    }

    /// Drops what is outdated.
    pub fn expire(&mut self, now: Time) {
        let mut expired = Vec::new();
        self.peers.retain(|_, (at, report)| {
            let is_recent = now.saturating_sub(*at) < DIGEST_LIFETIME;
            if !is_recent {
                expired.push(std::mem::take(report));
            }
            is_recent
        });
        for report in expired {
            subtract(&mut self.others, &report);
        }
        self.own
            .retain(|_, own| own.requests > 0 || own.arrivals_at(now) >= MIN_ARRIVALS);
    }

    /// Requests of all entries by level and account, the most urgent level first.
    #[must_use]
    pub fn uses(&self, now: Time) -> Vec<LevelUse> {
        let mut sums = self.others.clone();
        for own in self.own_uses(now) {
            add(&mut sums, own);
        }
        sums.values().copied().collect()
    }

    /// Mean age of the peers' last reports in seconds; zero without peers.
    fn mean_age(&self, now: Time) -> f64 {
        let ages = self.peers.values().map(|(at, _)| now.saturating_sub(*at));
        ages.sum::<Duration>().as_secs_f64() / self.peers.len().max(1) as f64
    }

    /// Expected share of the reported requests that have not ended.
    #[must_use]
    pub fn share_left(&self, service_time: Duration, now: Time) -> f64 {
        (-self.mean_age(now) / service_time.as_secs_f64().max(MIN_SERVICE_SECONDS)).exp()
    }

    /// Places that are divided while the fleet is full. If peers have fallen silent since they were
    /// measured, this entry has the part of those that it still hears.
    fn places(&self, now: Time) -> Option<f64> {
        let known = (self.peers.len() + 1) as f64 / self.full_entries.max(1) as f64;
        let places = self.limiter.places(now)?;
        Some(places * DIVIDED_SHARE * known.min(1.0))
    }

    /// Ranks a new request; none if its level or its account within the level has its part of a full
    /// fleet already. `service_time` is the mean time of an answer.
    #[must_use]
    pub fn rank(&self, newcomer: Newcomer, service_time: Duration, now: Time) -> Option<Rank> {
        let uses = self.uses(now);
        let view = View {
            left: self.share_left(service_time, now),
            unseen_seconds: self.mean_age(now),
            service_seconds: service_time.as_secs_f64().max(MIN_SERVICE_SECONDS),
        };
        let unseen_share = {
            let others: f64 = self.others.values().map(LevelUse::rate).sum();
            let all: f64 = uses.iter().map(LevelUse::rate).sum();
            others / all.max(MIN_RATE)
        };
        let view = View {
            unseen_seconds: view.unseen_seconds * unseen_share.min(1.0),
            ..view
        };
        rank(newcomer, &uses, self.places(now), view)
    }

    /// Records that a request of this rank found no room.
    pub fn on_full(&mut self, rank: Rank, service_time: Duration, now: Time) {
        let in_flight: u32 = self.uses(now).iter().map(|u| u.requests).sum();
        let counted = f64::from(in_flight) * self.share_left(service_time, now) + rank.ahead;
        self.limiter.on_full(counted, now);
        self.full_entries = self.peers.len() + 1;
    }

    /// Records that a target declined a request. While peers are silent it shows that the fleet is
    /// full, as their work is not known; otherwise the target may just be leaving.
    pub fn on_not_run(&mut self, now: Time) {
        if self.has_heard && self.peers.is_empty() {
            self.on_full(Rank::default(), Duration::ZERO, now);
        }
    }

    /// Maximum expected time to the first event for a request whose route has the objective
    /// `objective`. It is at most that of the levels that are as urgent and have requests: prompts
    /// that may wait longer would otherwise fill the queues until those are refused. `routes` are the
    /// priorities and objectives of the routes of the service.
    #[must_use]
    pub fn first_event_limit(
        &self,
        (level, objective): (Level, Duration),
        yields_to: f64,
        routes: impl Iterator<Item = (u8, Duration)>,
        now: Time,
    ) -> Duration {
        let uses = self.uses(now);
        let is_urgent = |priority: u8| {
            uses.iter()
                .any(|u| u.level < level && u.level.route_priority == priority)
        };
        let shortest = routes
            .filter(|(priority, _)| is_urgent(*priority))
            .map(|(_, objective)| objective)
            .fold(objective, Duration::min);
        shortest.mul_f64(1.0 - YIELDED_WAIT * yields_to.clamp(0.0, 1.0))
    }
}

fn add(sums: &mut SortedMap<UseKey, LevelUse>, used: LevelUse) {
    let empty = || LevelUse::new(used.key());
    sums.get_or_insert_with(used.key(), empty).add(used);
}

fn subtract(sums: &mut SortedMap<UseKey, LevelUse>, report: &LevelsReport) {
    for u in &report.uses {
        if let Some(sum) = sums.get_mut(&u.key()) {
            sum.subtract(*u);
            if sum.requests == 0 && sum.arrivals == 0 {
                sums.remove(&u.key());
            }
        }
    }
}

/// What is known of the age of the reports.
#[derive(Debug, Clone, Copy)]
struct View {
    /// Share of the requests in flight that have not ended.
    left: f64,
    /// Time in which requests arrived that no report shows.
    unseen_seconds: f64,
    /// Mean time of an answer.
    service_seconds: f64,
}

impl View {
    /// Places that a number of requests asks for.
    fn demand(self, u: &LevelUse) -> f64 {
        (f64::from(u.requests) * self.left).max(u.rate() * self.service_seconds)
    }
}

/// Part of a level of a full fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelPart {
    /// The level.
    pub level: Level,
    /// Places that its requests ask for.
    pub demand: f64,
    /// Places that it has whatever the others ask for.
    pub floor: f64,
    /// Places that it has, its floor included.
    pub places: f64,
}

/// Divides places between levels that ask for `demands`, the most urgent first.
#[must_use]
pub fn divide(demands: &[(Level, f64)], places: f64) -> Vec<LevelPart> {
    let all = demands.iter().map(|(_, d)| d).sum::<f64>().max(MIN_RATE);
    let mut below = all;
    let floors = demands.iter().map(|(_, demand)| {
        below -= demand;
        let share = FLOOR_SHARE * (1.0 + FLOOR_RISE * (below / all).max(0.0));
        (share * places * demand / all).min(*demand)
    });
    let floors: Vec<f64> = floors.collect();
    let mut rest = places - floors.iter().sum::<f64>();
    let parts = demands.iter().zip(floors).map(|((level, demand), floor)| {
        let more = (demand * DEMAND_MARGIN - floor).clamp(0.0, rest.max(0.0));
        rest -= more;
        LevelPart {
            level: *level,
            demand: *demand,
            floor,
            places: floor + more,
        }
    });
    parts.collect()
}

fn rank(newcomer: Newcomer, uses: &[LevelUse], places: Option<f64>, view: View) -> Option<Rank> {
    let own_key = (newcomer.level, newcomer.account);
    let found = uses.iter().find(|u| u.key() == own_key);
    let own = found.copied().unwrap_or(LevelUse::new(own_key));
    let all = uses.iter().map(LevelUse::rate).sum::<f64>().max(MIN_RATE);
    let order = |u: &LevelUse| (u.level, u.requests, u.account);
    let unseen = |rate: f64| rate * view.unseen_seconds;
    let own_unseen = unseen(own.rate()) * newcomer.draw;
    let own_requests = f64::from(own.requests) * view.left + own_unseen;
    let before = uses.iter().filter(|u| order(u) < order(&own));
    let Some(places) = places else {
        let before = before.map(LevelUse::rate).sum::<f64>();
        return Some(Rank {
            ahead: unseen(before) * (1.0 + UPCOMING_SHARE) + own_unseen,
            yields_to: before / all,
            own_requests,
        });
    };
    let mut demands: Vec<(Level, f64)> = Vec::new();
    for u in uses {
        match demands.last_mut().filter(|(level, _)| *level == u.level) {
            Some((_, demand)) => *demand += view.demand(u),
            None => demands.push((u.level, view.demand(u))),
        }
    }
    let parts = divide(&demands, places);
    // A level without known requests has no part yet; it asks for less than any part that it gets.
    let own_part = parts.iter().find(|p| p.level == newcomer.level);
    let of_level = || uses.iter().filter(|u| u.level == newcomer.level);
    let demands: Vec<f64> = of_level().map(|u| view.demand(u)).collect();
    let level_unseen = unseen(of_level().map(LevelUse::rate).sum()) * newcomer.draw;
    let level_reported: f64 = of_level().map(|u| f64::from(u.requests)).sum();
    let level_requests = level_reported * view.left + level_unseen;
    // With more accounts than places, as at an entry whose peers are silent, the limits of the
    // accounts do not hold the level to its places.
    let exceeds = |places: f64| {
        let is_scarce = places < demands.len() as f64;
        own_requests >= max_min_limit_with(demands.clone(), places, 1.0)
            || is_scarce && level_requests >= places
    };
    if own_part.is_some_and(|p| p.places < p.demand && exceeds(p.places)) {
        return None;
    }
    // Of the unseen arrivals of a level, only those within its part have been placed.
    let admitted = |u: &LevelUse| {
        let part = parts.iter().find(|p| p.level == u.level);
        let share = part.map_or(1.0, |p| (p.places / p.demand.max(MIN_RATE)).min(1.0));
        u.rate() * share
    };
    let by_size = SIZE_YIELD * (1.0 - newcomer.size / LARGE_SIZE).max(0.0);
    if own_part.is_none_or(|p| !exceeds(p.floor)) {
        // Within its account's part of the floor of its level, a request competes with all others as an equal.
        return Some(Rank {
            ahead: unseen(uses.iter().map(admitted).sum()) * newcomer.draw,
            yields_to: by_size,
            own_requests,
        });
    }
    let yields_to = before.clone().map(LevelUse::rate).sum::<f64>() / all;
    let ahead = unseen(before.map(admitted).sum()) * (1.0 + UPCOMING_SHARE);
    Some(Rank {
        ahead: ahead + unseen(admitted(&own)) * newcomer.draw,
        yields_to: yields_to.max(by_size),
        own_requests,
    })
}

/// Metrics of requests by level of urgency, of services with competing callers.
#[derive(Clone)]
pub struct LevelMetrics {
    admitted: CounterFamily,
    refused: CounterFamily,
    in_flight: GaugeFamily,
}

impl LevelMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(m: &Metrics) -> Self {
        Self {
            admitted: m.counters("level_admitted", "Requests admitted by level of urgency"),
            refused: m.counters(
                "level_refused",
                "Requests refused for capacity by level of urgency",
            ),
            in_flight: m.gauges("level_in_flight", "Requests in flight by level of urgency"),
        }
    }

    /// Counts an admitted request.
    pub fn admitted(&self, level: Level) {
        count(&self.admitted, "level", &level.to_string());
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn refused(&self, level: Level) {
        count(&self.refused, "level", &level.to_string());
    }

    /// Sets the gauges to the requests in flight of this entry.
    pub fn set_in_flight(&self, levels: &LevelTracker) {
        let mut sums: SortedMap<Level, i64> = SortedMap::default();
        for ((level, _), own) in levels.own.iter() {
            *sums.get_or_insert_with(*level, || 0) += i64::from(own.requests);
        }
        self.in_flight.clear();
        for (level, requests) in sums.iter() {
            let label = [("level", level.to_string())];
            self.in_flight.get_or_create(&label).set(*requests);
        }
    }
}

#[cfg(test)]
mod tests;
