//! Tells refused callers when to return, by a schedule that all entries keep together.
//!
//! Load pattern: entries refuse some hundred callers within a second, while targets are lost or a
//! burst lasts. Callers that are told the same wait return together and are refused again. Each entry
//! therefore reports how many callers it told to return in each slot of the next seconds, and gives
//! out only as much of a slot as the fleet can place in it. Promises that no report shows yet are
//! assumed to be as many at each peer as at this entry, and the caller's position among them is drawn
//! at random, as for ranks in [`crate::fair_share`].

mod metrics;

use std::time::Duration;

use coriandercove_base::{NodeId, SortedMap, Time, data};

use crate::load::DIGEST_LIFETIME;
use crate::refusal::{MIN_RETRY_AFTER, Refusal};

pub use metrics::ReturnMetrics;

/// Length of a slot; less than the minimum retry delay, and with several arrivals at a large
/// deployment.
pub const SLOT: Duration = Duration::from_millis(250);
/// Number of future slots that are planned and reported.
const SLOTS: usize = 28;
/// Part of the time left that a caller spends on one wait at the most; it returns earlier if it is
/// told more.
const MAX_WAIT_SHARE: u32 = 3;
/// Share of the placements that returning callers may take whatever the number of newcomers. They
/// are placed before newcomers; with more, newcomers would be refused in their stead.
const RETURN_SHARE: f64 = 0.5;
/// Time over which the capacity of slots rises to the whole: a fleet that has just filled up, with the
/// requests of lost targets, places few until the answers end that it began then. With 1.5 s, returns
/// exceeded the placements about a second after a loss in one of ten replays.
const RAMP: Duration = Duration::from_secs(2);
/// End of the possible time that is kept for callers for whom no slot has capacity. A single slot
/// would bring them back together.
const OVERFLOW: Duration = Duration::from_secs(1);
/// Time constant of the rates; shorter ones show the gaps between an entry's few requests.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Time after the start from which the schedule is used although no peer was heard.
const START_PERIOD: Duration = Duration::from_secs(2);
/// Longest interval between datagrams, in which all peers are heard once.
const REPORT_PERIOD: Duration = Duration::from_millis(600);
/// Time without a report after which a peer no longer counts as silent but as gone, if others are
/// heard; as for its address.
const PEER_LIFETIME: Duration = Duration::from_secs(20);
/// Time by which a stated deadline must be below the route's timeout for its caller to count as
/// returning: no caller returns earlier than after [`MIN_RETRY_AFTER`], and requests arrive sooner.
const RETURN_MARGIN: Duration = Duration::from_millis(250);
/// Minimum delay if a layer has no holder; targets load a usual range in a few seconds, and until
/// then every return would be refused.
const MIN_LAYER_LOAD: Duration = Duration::from_millis(1500);

/// Time within which refusals count as made at the same moment; the callers of one event come within
/// it.
const SAME_MOMENT: Duration = Duration::from_millis(50);

/// Limits of what a report can say, against wrong or hostile ones.
const MAX_PEERS: usize = 1024;
/// Requests per 10 s of one entry.
const MAX_RATE: u32 = 10_000;
/// Factor by which one peer's rates, or its promises in a slot, may exceed the mean of all entries.
const MAX_SKEW: f64 = 8.0;
/// Rate that a peer may report in any case, per second.
const UNCLIPPED_RATE: f64 = 10.0;
/// Promises of this entry that are kept, the newest ones.
const MAX_PROMISES: usize = 4096;

/// Level of urgency; lower is more urgent.
pub type Level = u8;
/// Number of a slot since the start of the entry's clock.
type SlotNumber = u64;

data! {
    /// Returns that an entry has promised, and its rates of model requests.
    #[derive(Default, Eq)]
    pub struct ReturnsReport {
        /// Requests placed in 10 seconds.
        pub placed: u32,
        /// Requests of newcomers that arrive in 10 seconds.
        pub newcomers: u32,
        /// Requests of returning callers that arrive in 10 seconds.
        pub returning: u32,
        /// Promised returns by slot; the first slot begins when the report is sent.
        pub counts: Vec<u16>,
    }
}

/// Events of which each loses weight with [`RATE_WINDOW`].
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    weight: f64,
    last_update: Time,
}

impl Rate {
    fn weight_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.last_update);
        self.weight * (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn on_event(&mut self, now: Time) {
        self.weight = self.weight_at(now) + 1.0;
        self.last_update = now;
    }

    fn per_second(&self, now: Time) -> f64 {
        self.weight_at(now) / RATE_WINDOW.as_secs_f64()
    }
}

/// Rates of model requests, per second.
#[derive(Debug, Clone, Copy, Default)]
struct Rates {
    placed: f64,
    newcomers: f64,
    returning: f64,
}

/// A return that this entry has promised.
#[derive(Debug, Clone, Copy)]
struct Promise {
    made: Time,
    due: Time,
    level: Level,
}

/// What a peer reported last.
#[derive(Debug, Default)]
struct Peer {
    /// Arrival of the peer's first datagram or of its last report.
    last_seen: Time,
    /// Arrival of its last report that was not empty; none if there was none.
    reported: Option<Time>,
    rates: Rates,
    returns: SortedMap<SlotNumber, f64>,
}

impl Peer {
    fn is_live(&self, now: Time) -> bool {
        let reported = self.reported;
        reported.is_some_and(|at| now.saturating_sub(at) < DIGEST_LIFETIME)
    }
}

/// A caller that is refused now.
#[derive(Debug, Clone, Copy)]
pub struct RefusedCaller {
    /// Its level of urgency.
    pub level: Level,
    /// Time until its deadline.
    pub left: Duration,
    /// Time before which a return cannot succeed.
    pub earliest: Duration,
}

/// Promised returns of refused callers, of all entries.
///
/// Of two callers refused at the same moment with the same time left, the less urgent is never told
/// to return earlier: it may use less of each slot, draws a later position among the unseen promises,
/// and gets a later part of a slot.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    started: Time,
    /// When the first report of a peer arrived.
    first_report: Option<Time>,
    placed: Rate,
    newcomers: Rate,
    returning: Rate,
    /// Promises of this entry, sorted by the time at which they were made.
    own: Vec<Promise>,
    peers: SortedMap<NodeId, Peer>,
    /// Levels that callers of this entry had so far, sorted.
    levels: Vec<Level>,
}

/// Whether a caller that states this deadline has been refused before: it has less time left than the
/// route gives to a new request.
#[must_use]
pub fn is_returning(stated: Option<Duration>, timeout: Duration) -> bool {
    stated.is_some_and(|left| left.saturating_add(RETURN_MARGIN) <= timeout)
}

/// Whether the schedule decides when callers that are refused for this reason return. The other
/// reasons do not pass with the load.
#[must_use]
pub const fn is_scheduled(reason: Refusal) -> bool {
    !matches!(
        reason,
        Refusal::Stopping
            | Refusal::NoConfiguration
            | Refusal::CrashingPart
            | Refusal::Deadline
            | Refusal::Memory
    )
}

/// Time before which a return after this refusal cannot succeed.
#[must_use]
pub const fn earliest_return(reason: Refusal) -> Duration {
    match reason {
        Refusal::NoTarget => MIN_LAYER_LOAD,
        _ => MIN_RETRY_AFTER,
    }
}

impl ReturnSchedule {
    /// Creates the schedule of an entry that starts at this time of its clock.
    #[must_use]
    pub fn started_at(started: Time) -> Self {
        Self {
            started,
            ..Self::default()
        }
    }

    /// Counts a model request that arrived from a caller.
    pub fn on_arrival(&mut self, level: Level, is_returning: bool, now: Time) {
        self.learn(level);
        if is_returning {
            self.returning.on_event(now);
        } else {
            self.newcomers.on_event(now);
        }
    }

    /// Counts a model request that was placed.
    pub fn on_placed(&mut self, now: Time) {
        self.placed.on_event(now);
    }

    fn learn(&mut self, level: Level) {
        if let Err(i) = self.levels.binary_search(&level) {
            self.levels.insert(i, level);
        }
    }

    /// Maps the random position of a request among those that arrive at about the same time, from 0
    /// to 1, so that returning callers are before newcomers.
    #[must_use]
    pub fn position(&self, is_returning: bool, draw: f64, now: Time) -> f64 {
        let rates = self.rates(now);
        let share = rates.returning / (rates.returning + rates.newcomers).max(f64::MIN_POSITIVE);
        if is_returning {
            draw * share
        } else {
            share + draw * (1.0 - share)
        }
    }

    /// Chooses and records the time after which a refused caller should return; none until the peers
    /// are known. The draws are random numbers between 0 and 1: of the position among the promises
    /// that no report shows, and of the time inside the slot.
    pub fn promise(
        &mut self,
        caller: RefusedCaller,
        draws: [f64; 2],
        now: Time,
    ) -> Option<Duration> {
        self.learn(caller.level);
        if !self.knows_peers(now) {
            return None;
        }
        let horizon = SLOT * SLOTS as u32;
        let last = (caller.left / MAX_WAIT_SHARE).clamp(MIN_RETRY_AFTER, horizon);
        let first = caller.earliest.clamp(MIN_RETRY_AFTER, last);
        let overflow = last - ((last - first) / 2).min(OVERFLOW);
        let part = |draw| self.part(caller.level, draw);
        let behind = self.unseen(caller.level, part(draws[0]), now);
        let (begin, end) = self
            .find_slot(caller.level, (now + first, now + overflow), behind, now)
            .unwrap_or((now + overflow, now + last));
        let due = begin + end.saturating_sub(begin).mul_f64(part(draws[1]));
        let after = due.saturating_sub(now);
        self.record(caller.level, after, now);
        Some(after)
    }

    /// Records a return that was promised.
    pub fn record(&mut self, level: Level, after: Duration, now: Time) {
        let due = now + after;
        self.own.retain(|p| p.is_needed(now));
        if self.own.len() >= MAX_PROMISES {
            self.own.remove(0);
        }
        self.own.push(Promise {
            made: now,
            due,
            level,
        });
    }

    /// Maps a random number so that each level has a range of its own, the more urgent first.
    fn part(&self, level: Level, draw: f64) -> f64 {
        let rank = self.levels.partition_point(|l| *l < level);
        (rank as f64 + draw) / self.levels.len().max(1) as f64
    }

    /// The first slot between two times in which this level finds capacity that more than `behind`
    /// other callers leave free.
    fn find_slot(
        &self,
        level: Level,
        (from, to): (Time, Time),
        behind: f64,
        now: Time,
    ) -> Option<(Time, Time)> {
        let capacity = self.slot_capacity(now);
        let usable = capacity * (1.0 - self.part(level, 0.0) / 2.0);
        let occupied = self.occupied(Some(level), capacity, now);
        let mut free = 0.0;
        let numbers = slot_number(from)..=slot_number(to);
        for (number, taken) in numbers.map(|n| (n, occupied.get(offset(n, now)))) {
            let begin = slot_start(number).max(from);
            let end = slot_start(number + 1).min(to);
            let length = end.saturating_sub(begin).as_secs_f64() / SLOT.as_secs_f64();
            let ramp = begin.saturating_sub(now).as_secs_f64() / RAMP.as_secs_f64();
            free += (usable * length * ramp.min(1.0) - taken.copied().unwrap_or_default()).max(0.0);
            if free > behind {
                return Some((begin, end));
            }
        }
        None
    }

    /// Number of returning callers that the fleet can place in a slot beside the newcomers.
    fn slot_capacity(&self, now: Time) -> f64 {
        let rates = self.rates(now);
        let left = (rates.placed - rates.newcomers).max(rates.placed * RETURN_SHARE);
        left * SLOT.as_secs_f64()
    }

    /// Promised returns by slot from the current one on, as a caller of this level counts them.
    fn occupied(&self, level: Option<Level>, capacity: f64, now: Time) -> Vec<f64> {
        let (live, silent) = self.count_peers(now);
        let most = (capacity * MAX_SKEW / (live + silent + 1.0)).max(1.0);
        let mut occupied = vec![0.0; SLOTS + 2];
        let mut add = |number, count: f64| {
            if let Some(sum) = occupied.get_mut(offset(number, now)) {
                *sum += count;
            }
        };
        for promise in self.own.iter().filter(|p| p.due > now) {
            if level.is_none_or(|level| promise.counts_for(level, now)) {
                add(slot_number(promise.due), 1.0);
            }
        }
        for peer in self.peers.values().filter(|p| p.is_live(now)) {
            for (number, count) in peer.returns.iter() {
                add(*number, count.min(most));
            }
        }
        occupied
    }

    /// Expected number of promises that no report shows and that come before one to a caller of this
    /// level. Each peer is taken to have made as many as this entry: since its report, or all of them
    /// if it is silent. `position` is the one among the promises that the entries make now.
    fn unseen(&self, level: Level, position: f64, now: Time) -> f64 {
        let (live, silent) = self.count_peers(now);
        let age = self.mean_age(now);
        let own = || self.own.iter().filter(|p| p.counts_for(level, now));
        let recent = own().filter(|p| now.saturating_sub(p.made) <= age).count() as f64;
        let due = own().filter(|p| p.due > now).count() as f64;
        live * (recent + position) + silent * (due + position)
    }

    /// Mean age of the reports of peers that are not silent.
    fn mean_age(&self, now: Time) -> Duration {
        let live = self.peers.values().filter(|p| p.is_live(now));
        let ages = live.map(|p| now.saturating_sub(p.reported.unwrap_or_default()));
        let (count, sum) = ages.fold((0, Duration::ZERO), |(n, sum), age| (n + 1, sum + age));
        sum.checked_div(count).unwrap_or_default()
    }

    /// Numbers of peers that report and of those that are silent.
    fn count_peers(&self, now: Time) -> (f64, f64) {
        let live = self.peers.values().filter(|p| p.is_live(now)).count();
        (live as f64, (self.peers.len() - live) as f64)
    }

    fn knows_peers(&self, now: Time) -> bool {
        let is_heard = |at| now.saturating_sub(at) >= REPORT_PERIOD;
        now.saturating_sub(self.started) >= START_PERIOD || self.first_report.is_some_and(is_heard)
    }

    fn own_rates(&self, now: Time) -> Rates {
        Rates {
            placed: self.placed.per_second(now),
            newcomers: self.newcomers.per_second(now),
            returning: self.returning.per_second(now),
        }
    }

    /// Rates of all entries; silent peers count like this entry.
    fn rates(&self, now: Time) -> Rates {
        let own = self.own_rates(now);
        let (_, silent) = self.count_peers(now);
        let sum = |of: fn(&Rates) -> f64| {
            let live = self.peers.values().filter(|p| p.is_live(now));
            let rates: Vec<f64> = live.map(|p| of(&p.rates)).collect();
            clipped_sum(of(&own), &rates) + of(&own) * silent
        };
        Rates {
            placed: sum(|r| r.placed),
            newcomers: sum(|r| r.newcomers),
            returning: sum(|r| r.returning),
        }
    }

    /// Callers that were told to return and are still due, of all entries.
    #[must_use]
    pub fn promised(&self, now: Time) -> u64 {
        let capacity = self.slot_capacity(now);
        let (_, silent) = self.count_peers(now);
        let due = self.own.iter().filter(|p| p.due > now).count();
        let known: f64 = self.occupied(None, capacity, now).iter().sum();
        (known + silent * due as f64).round() as u64
    }

    /// What this entry tells its peers.
    #[must_use]
    pub fn report(&self, now: Time) -> ReturnsReport {
        let mut counts: Vec<u16> = Vec::new();
        for promise in self.own.iter().filter(|p| p.due > now) {
            let slot = ((promise.due - now).as_nanos() / SLOT.as_nanos()) as usize;
            let slot = slot.min(SLOTS - 1);
            counts.resize(counts.len().max(slot + 1), 0);
            counts[slot] = counts[slot].saturating_add(1);
        }
        let per_10_s = |rate: f64| (rate * 10.0).round() as u32;
        let rates = self.own_rates(now);
        ReturnsReport {
            placed: per_10_s(rates.placed),
            newcomers: per_10_s(rates.newcomers),
            returning: per_10_s(rates.returning),
            counts,
        }
    }

    /// Replaces what a peer told. An empty report is that of an entry of an earlier version or of one
    /// without requests; it shows only that the peer is there.
    pub fn on_report(&mut self, from: &NodeId, report: ReturnsReport, now: Time) {
        if !self.peers.contains(from) && self.peers.len() >= MAX_PEERS {
            return;
        }
        let peer = self.peers.get_or_insert_with(from.clone(), Peer::default);
        peer.last_seen = now;
        if report == ReturnsReport::default() {
            return;
        }
        self.first_report.get_or_insert(now);
        let per_second = |rate: u32| f64::from(rate.min(MAX_RATE)) / 10.0;
        peer.reported = Some(now);
        peer.rates = Rates {
            placed: per_second(report.placed),
            newcomers: per_second(report.newcomers),
            returning: per_second(report.returning),
        };
        peer.returns = SortedMap::default();
        // The slots of a report begin at its arrival and overlap two of this entry each.
        let first = slot_number(now);
        let late = (now - slot_start(first)).as_secs_f64() / SLOT.as_secs_f64();
        for (number, count) in (first..).zip(report.counts.into_iter().take(SLOTS)) {
            let count = f64::from(count);
            let mut add = |number, count| *peer.returns.get_or_insert_with(number, || 0.0) += count;
            add(number, count * (1.0 - late));
            add(number + 1, count * late);
        }
    }

    /// Drops promises that are due and peers that are gone. While no peer is heard, all that were
    /// known are kept: their number tells how many callers they refuse.
    pub fn expire(&mut self, now: Time) {
        self.own.retain(|p| p.is_needed(now));
        if self.peers.values().any(|p| p.is_live(now)) {
            let is_known = |p: &Peer| now.saturating_sub(p.last_seen) < PEER_LIFETIME;
            self.peers.retain(|_, peer| is_known(peer));
        }
    }
}

impl Promise {
    /// Whether a caller of this level takes the promise into account: one to a less urgent caller that
    /// is refused at the same moment must not delay it.
    fn counts_for(&self, level: Level, now: Time) -> bool {
        self.level <= level || now.saturating_sub(self.made) >= SAME_MOMENT
    }

    /// Whether the caller is still due, or the promise counts among those that peers may not know.
    fn is_needed(&self, now: Time) -> bool {
        self.due > now || now.saturating_sub(self.made) < DIGEST_LIFETIME
    }
}

fn slot_number(at: Time) -> SlotNumber {
    (at.as_nanos() / SLOT.as_nanos()) as SlotNumber
}

fn slot_start(number: SlotNumber) -> Time {
    let ms = number.saturating_mul(SLOT.as_millis() as u64);
    Time::from_millis(ms)
}

/// Position of a slot after the current one; past slots are beyond all others.
fn offset(number: SlotNumber, now: Time) -> usize {
    let slots = number.checked_sub(slot_number(now));
    slots.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// Sum of this entry's rate and its peers' rates, each cut to [`MAX_SKEW`] times the mean of the rest.
fn clipped_sum(own: f64, peers: &[f64]) -> f64 {
    let all = own + peers.iter().sum::<f64>();
    let rest = peers.len().max(1) as f64;
    let clipped = peers
        .iter()
        .map(|r| r.min((all - r) / rest * MAX_SKEW + UNCLIPPED_RATE));
    own + clipped.sum::<f64>()
}

#[cfg(test)]
mod tests;
