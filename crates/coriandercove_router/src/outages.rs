//! Shares among entries which targets refuse work, so that not every entry has to find out alone.
//!
//! Load pattern: some of the targets of a contended service drain, are removed or have ended while the
//! platform's list still shows them. Each of dozens of entries would send several requests to each of
//! them, and every request that meets two such targets is refused.
//!
//! Observations are first-hand: a target stated that it did not run a request, or refused a
//! connection. Timeouts and broken connections are not shared, because an entry that is cut off would
//! accuse every target. Each entry decides for itself what the observations mean. What it observes
//! alone is handled by [`exclusions`](crate::exclusions); here a target is excluded once there are two
//! observations in total, and at least one of them is a peer's.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::hash::hash64;
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::{NodeId, SortedMap, Time, data};
use prometheus_client::metrics::gauge::Gauge;
use slog::warn;

use crate::attempt::StartedMs;
use crate::fleet::{LayerRange, Target};
use crate::load::DIGEST_LIFETIME;
use crate::state::Router;

/// Maximum number of targets in a report, the latest first. A quarter of the largest fleets that one
/// service has is below it.
const MAX_REPORTED: usize = 32;
/// Observations that exclude a target. One may also mean a brief lack of memory.
const THRESHOLD: u32 = 2;
/// Exclusion after a first observation; doubled with each further one of any entry.
const FIRST_EXCLUSION: Duration = Duration::from_millis(500);
/// Longest exclusion, and the longest that a peer may report; a target that has recovered gets work
/// again within it.
const LONGEST_EXCLUSION: Duration = Duration::from_secs(4);
/// Observations of one entry that lengthen an exclusion.
const MAX_LENGTHENING: u32 = 4;
/// Time after an exclusion over which the entries spread their next attempts, so that one of them
/// meets a target that still refuses rather than all.
const RETRY_SPREAD: Duration = Duration::from_secs(1);
/// Time after an exclusion for which its observations still count, so that one more is enough to
/// exclude the target again. Longer than [`RETRY_SPREAD`] and a datagram's interval together.
const KEPT_AFTER: Duration = Duration::from_secs(2);
/// Time without a failure after which the next one of this entry is not consecutive any more; the same
/// as for own exclusions.
const FORGET_AFTER: Duration = Duration::from_secs(8);
/// Time for which repeated observations of a single peer exclude a target. Afterwards that peer's
/// count as one, so that a false accusation ends although it is renewed.
const SOLE_LIMIT: Duration = Duration::from_secs(4);
/// Time after which observations of a peer that are still renewed no longer count. If the target does
/// refuse, other entries have met it since.
const SERIES_LIMIT: Duration = Duration::from_secs(12);
/// Time after which an accusation that is no longer renewed is forgotten. One that is renewed before
/// counts from its start under [`SOLE_LIMIT`] and [`SERIES_LIMIT`].
const ACCUSATION_MEMORY: Duration = Duration::from_secs(10);
/// Share of a service's targets that peers can exclude, as a divisor; a peer that accuses more is
/// taken for cut off itself.
const EXCLUDED_DIVISOR: usize = 4;
/// Number of targets that refuse this entry, without an answer from any other since, from which on the
/// entry takes itself for cut off and reports nothing.
const CUT_OFF_TARGETS: usize = 3;
/// Maximum number of accused targets and of accusing peers for each; both are far above what a
/// deployment has, and bound what wrong reports occupy.
const MAX_ACCUSED: usize = 1024;
const MAX_ACCUSERS: usize = 64;

data! {
    /// A target that refuses work, as one entry observed it.
    #[derive(Copy, Eq)]
    pub struct Outage {
        /// Address of the target.
        pub target: SocketAddr,
        /// Start of the incarnation, in Unix milliseconds; 0 if not reported.
        pub started_ms: StartedMs,
        /// Time for which the target should still be left alone; 0 once it may be tried again.
        pub remaining_ms: u32,
        /// Consecutive observations of the sender.
        pub failures: u32,
    }

    /// Targets that refuse work, as one entry observed.
    #[derive(Eq, Default)]
    pub struct OutagesReport {
        /// The latest first, some dozens at the most.
        pub targets: Vec<Outage>,
    }
}

/// Own observations of one target.
#[derive(Debug, Clone, Copy)]
struct Observation {
    started_ms: StartedMs,
    /// Consecutive ones; at least 1.
    failures: u32,
    last: Time,
    until: Time,
    /// Time until which the peers are told; at least `until`.
    told_until: Time,
}

/// Observations of one target that a peer reports.
#[derive(Debug, Clone)]
struct Accusation {
    from: NodeId,
    started_ms: StartedMs,
    failures: u32,
    /// Those of `failures` that a success of this entry has disproved; at most `failures`.
    disproved: u32,
    /// Time at which the first of a series was heard.
    began: Time,
    /// Time at which the last one was heard, which is after it was made.
    heard: Time,
    until: Time,
    /// Time until which the report counts; [`Time::ZERO`] once the peer has withdrawn it.
    valid_until: Time,
}

impl Accusation {
    fn is_valid(&self, started_ms: StartedMs, now: Time) -> bool {
        self.started_ms == started_ms && now < self.valid_until
    }

    /// Number of observations that this one counts as.
    fn weight(&self, now: Time) -> u32 {
        let age = now.saturating_sub(self.began);
        let limit = if age <= SOLE_LIMIT {
            THRESHOLD
        } else {
            u32::from(age <= SERIES_LIMIT)
        };
        (self.failures - self.disproved).min(limit)
    }
}

/// A target of the service for which exclusions are decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Address of the target.
    pub address: SocketAddr,
    /// Start of its incarnation.
    pub started_ms: StartedMs,
    /// Layers that it holds; none for a target that gets no requests.
    pub layers: Option<LayerRange>,
    /// Whether it accepts work apart from the peers' observations.
    pub is_usable: bool,
}

impl Member {
    fn holds(&self, layer: u16) -> bool {
        let range = self.layers.filter(|_| self.is_usable);
        range.is_some_and(|r| (r.first..r.end).contains(&layer))
    }
}

/// Observations of one target by all entries together.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    /// Number of observations, weighted.
    weight: u32,
    /// Whether any of them is a peer's.
    has_peer: bool,
    /// Number of observations that lengthen the next exclusion.
    lengthening: u32,
    /// End of the exclusion, without the spread of the next attempts.
    until: Time,
}

/// Targets that refuse work, of all entries.
#[derive(Debug, Default)]
pub struct SharedOutages {
    own: SortedMap<SocketAddr, Observation>,
    /// At most [`MAX_ACCUSED`] targets with at most [`MAX_ACCUSERS`] accusations each.
    peers: SortedMap<SocketAddr, Vec<Accusation>>,
    /// Time at which the last request that a target served for this entry was sent.
    last_served: Time,
}

/// Length of an exclusion after this many observations in total.
fn exclusion_time(observations: u32) -> Duration {
    let doublings = observations.saturating_sub(1).min(8);
    (FIRST_EXCLUSION * (1 << doublings)).min(LONGEST_EXCLUSION)
}

/// Delay of an entry's next attempt after an exclusion.
fn retry_delay(
    node: &str,
    target: SocketAddr,
    started_ms: StartedMs,
    observations: u32,
) -> Duration {
    let address = target.to_string();
    let (started, observations) = (started_ms.to_le_bytes(), observations.to_le_bytes());
    let hash = hash64(&[node.as_bytes(), address.as_bytes(), &started, &observations]);
    RETRY_SPREAD.mul_f64(hash as f64 / u64::MAX as f64)
}

impl SharedOutages {
    /// Records that an incarnation of a target refused work of this entry. Returns whether it counts:
    /// further refusals within an exclusion show nothing new.
    pub fn on_refusal(&mut self, target: SocketAddr, started_ms: StartedMs, now: Time) -> bool {
        let before = self
            .own
            .get(&target)
            .filter(|o| o.started_ms == started_ms && now.saturating_sub(o.last) <= FORGET_AFTER);
        if before.is_some_and(|o| now < o.until) {
            return false;
        }
        let failures = before.map_or(0, |o| o.failures).saturating_add(1);
        self.own.remove(&target);
        let others = self.sum(target, started_ms, &[], now);
        let total = failures.min(MAX_LENGTHENING) + others.lengthening;
        let until = now + exclusion_time(total);
        let observation = Observation {
            started_ms,
            failures,
            last: now,
            until,
            told_until: until,
        };
        self.own.insert(target, observation);
        self.keep(target, now);
        true
    }

    /// Records that targets served a request of this entry that was sent at `sent_at`. What was
    /// observed of them before then is over, whoever observed it.
    pub fn on_served(&mut self, targets: impl Iterator<Item = SocketAddr>, sent_at: Time) {
        self.last_served = self.last_served.max(sent_at);
        if self.own.is_empty() && self.peers.is_empty() {
            return;
        }
        for target in targets {
            if self.own.get(&target).is_some_and(|o| o.last <= sent_at) {
                self.own.remove(&target);
            }
            for accusation in self.peers.get_mut(&target).into_iter().flatten() {
                if accusation.heard <= sent_at {
                    accusation.disproved = accusation.failures;
                }
            }
        }
    }

    /// What this entry tells its peers: its own observations, not theirs.
    #[must_use]
    pub fn report(&self, now: Time) -> OutagesReport {
        let mut recent: Vec<_> = self.own.iter().collect();
        recent.retain(|(_, o)| now < o.told_until);
        let unanswered = recent.iter().filter(|(_, o)| o.last > self.last_served);
        if unanswered.count() >= CUT_OFF_TARGETS {
            return OutagesReport::default();
        }
        recent.sort_by_key(|(_, o)| std::cmp::Reverse(o.last));
        recent.truncate(MAX_REPORTED);
        let targets = recent.into_iter().map(|(target, o)| Outage {
            target: *target,
            started_ms: o.started_ms,
            remaining_ms: o.until.saturating_sub(now).as_millis() as u32,
            failures: o.failures,
        });
        OutagesReport {
            targets: targets.collect(),
        }
    }

    /// Replaces what a peer told. Returns the observations that are new.
    pub fn on_report(&mut self, from: &NodeId, report: &OutagesReport, now: Time) -> Vec<Outage> {
        let reported = &report.targets[..report.targets.len().min(MAX_REPORTED)];
        for (target, accusations) in self.peers.iter_mut() {
            if !reported.iter().any(|o| o.target == *target) {
                let mut accusations = accusations.iter_mut();
                if let Some(withdrawn) = accusations.find(|a| a.from == *from) {
                    withdrawn.valid_until = Time::ZERO;
                }
            }
        }
        let mut news = Vec::new();
        for outage in reported.iter().filter(|o| o.failures > 0) {
            if self.on_accusation(from, outage, now) {
                news.push(*outage);
            }
            self.keep(outage.target, now);
        }
        news
    }

    /// Records one observation of a peer. Returns whether it is new.
    fn on_accusation(&mut self, from: &NodeId, outage: &Outage, now: Time) -> bool {
        let has_space = self.peers.len() < MAX_ACCUSED || self.peers.contains(&outage.target);
        if !has_space {
            return false;
        }
        let remaining = Duration::from_millis(outage.remaining_ms.into()).min(LONGEST_EXCLUSION);
        let new = Accusation {
            from: from.clone(),
            started_ms: outage.started_ms,
            failures: outage.failures,
            disproved: 0,
            began: now,
            heard: now,
            until: now + remaining,
            valid_until: now + DIGEST_LIFETIME,
        };
        let accusations = self.peers.get_or_insert_with(outage.target, Vec::new);
        let Some(known) = accusations.iter_mut().find(|a| a.from == *from) else {
            let has_space = accusations.len() < MAX_ACCUSERS;
            if has_space {
                accusations.push(new);
            }
            return has_space;
        };
        let is_same = known.valid_until > Time::ZERO
            && known.started_ms == outage.started_ms
            && known.failures == outage.failures;
        if is_same {
            known.until = known.until.min(new.until);
            known.valid_until = new.valid_until;
            return false;
        }
        // Those that were disproved stay so if the peer goes on counting from them.
        let is_continued =
            known.started_ms == outage.started_ms && outage.failures > known.failures;
        *known = Accusation {
            disproved: if is_continued { known.disproved } else { 0 },
            began: known.began,
            ..new
        };
        true
    }

    /// Goes on telling the peers of an own observation while it takes part in an exclusion and for a
    /// while after it.
    fn keep(&mut self, target: SocketAddr, now: Time) {
        let Some(started_ms) = self.own.get(&target).map(|o| o.started_ms) else {
            return;
        };
        let sum = self.sum(target, started_ms, &[], now);
        if let Some(own) = self
            .own
            .get_mut(&target)
            .filter(|_| sum.weight >= THRESHOLD)
        {
            own.told_until = own.told_until.max(sum.until + KEPT_AFTER);
        }
    }

    /// Adds up the observations of one incarnation, without those of the peers in `ignored`.
    fn sum(
        &self,
        target: SocketAddr,
        started_ms: StartedMs,
        ignored: &[&NodeId],
        now: Time,
    ) -> Sum {
        let mut sum = Sum::default();
        let own = self.own.get(&target);
        if let Some(own) = own.filter(|o| o.started_ms == started_ms && now < o.told_until) {
            sum.weight = own.failures.min(THRESHOLD);
            sum.lengthening = own.failures.min(MAX_LENGTHENING);
            sum.until = own.until;
        }
        for accusation in self.peers.get(&target).into_iter().flatten() {
            let weight = accusation.weight(now);
            let counts = weight > 0 && accusation.is_valid(started_ms, now);
            if counts && !ignored.contains(&&accusation.from) {
                sum.weight += weight;
                sum.has_peer = true;
                sum.lengthening += accusation.failures.min(MAX_LENGTHENING);
                sum.until = sum.until.max(accusation.until);
            }
        }
        sum
    }

    /// Whether a peer accuses the target, so that [`Self::excluded`] may exclude it.
    #[must_use]
    pub fn is_accused(&self, target: SocketAddr) -> bool {
        self.peers.contains(&target)
    }

    /// Peers that accuse so many of a service's targets that they are probably cut off themselves.
    fn cut_off<'a>(&'a self, members: &[Member], now: Time) -> Vec<&'a NodeId> {
        let limit = members.len() / EXCLUDED_DIVISOR;
        let mut counts: SortedMap<&NodeId, usize> = SortedMap::default();
        for member in members {
            for accusation in self.peers.get(&member.address).into_iter().flatten() {
                if accusation.is_valid(member.started_ms, now) {
                    *counts.get_or_insert_with(&accusation.from, || 0) += 1;
                }
            }
        }
        let cut_off = counts.iter().filter(|(_, n)| **n > limit);
        cut_off.map(|(from, _)| *from).collect()
    }

    /// Whether observations of the peer are left out for this service.
    #[must_use]
    pub fn is_cut_off(&self, from: &NodeId, members: &[Member], now: Time) -> bool {
        self.cut_off(members, now).contains(&from)
    }

    /// Positions of the members of a service that get no new work of the entry `node` because of its
    /// peers' observations. At most a quarter of the members is excluded, those with most observations
    /// first, and never the last usable holder of a layer.
    #[must_use]
    pub fn excluded(&self, members: &[Member], node: &str, now: Time) -> Vec<usize> {
        let cut_off = self.cut_off(members, now);
        let mut accused: Vec<(usize, Sum)> = Vec::new();
        for (i, member) in members.iter().enumerate() {
            if !member.is_usable || member.layers.is_none() || !self.is_accused(member.address) {
                continue;
            }
            let sum = self.sum(member.address, member.started_ms, &cut_off, now);
            let delay = || {
                let (address, started_ms) = (member.address, member.started_ms);
                retry_delay(node, address, started_ms, sum.lengthening)
            };
            if sum.weight >= THRESHOLD && sum.has_peer && now < sum.until + delay() {
                accused.push((i, sum));
            }
        }
        accused.sort_by_key(|(i, sum)| (std::cmp::Reverse(sum.weight), members[*i].address));
        let limit = members.len() / EXCLUDED_DIVISOR;
        let mut excluded: Vec<usize> = Vec::new();
        for (i, _) in accused {
            let Some(layers) = members[i].layers.filter(|_| excluded.len() < limit) else {
                break;
            };
            let has_other = |layer| {
                let mut others = members.iter().enumerate();
                others.any(|(j, m)| j != i && !excluded.contains(&j) && m.holds(layer))
            };
            if (layers.first..layers.end).all(has_other) {
                excluded.push(i);
            }
        }
        excluded
    }

    /// Drops what is outdated.
    pub fn expire(&mut self, now: Time) {
        self.own
            .retain(|_, o| now < o.told_until || now.saturating_sub(o.last) <= FORGET_AFTER);
        self.peers.retain(|_, accusations| {
            accusations.retain(|a| {
                now < a.valid_until || now.saturating_sub(a.heard) <= ACCUSATION_MEMORY
            });
            !accusations.is_empty()
        });
    }
}

/// Metrics of shared outages.
#[derive(Clone)]
pub struct OutageMetrics {
    /// Observations by source.
    shared: CounterFamily,
    /// Targets that only the peers' observations exclude.
    excluded: Gauge,
}

impl OutageMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            shared: metrics.counters("shared_outages", "Observations of refusals by source"),
            excluded: metrics.gauge(
                "outage_excluded_targets",
                "Targets excluded by observations of peers",
            ),
        }
    }

    /// Counts an observation.
    pub fn observation(&self, source: &str) {
        count(&self.shared, "source", source);
    }
}

impl Router {
    /// Records that a target refused work of this entry, and tells the peers at once, if its service is
    /// contended.
    pub(crate) fn record_refusal(&self, address: SocketAddr) {
        let started_ms = {
            let fleet = self.fleet.borrow();
            let at_address = fleet.iter().filter(|t| t.address == address);
            // The address of a target that ended may be used again.
            let newest = at_address.max_by_key(|t| t.started_ms);
            let contended = newest.filter(|t| self.contention_of(&t.service).is_contended());
            let Some(target) = contended else {
                return;
            };
            target.started_ms
        };
        let mut outages = self.contention.outages.borrow_mut();
        if outages.on_refusal(address, started_ms, self.now()) {
            self.is_news_urgent.set(true);
            self.metrics.outages.observation("own");
        }
    }

    /// Records that targets served a request that was sent at `sent_at`.
    pub(crate) fn record_served(&self, targets: impl Iterator<Item = SocketAddr>, sent_at: Time) {
        let mut outages = self.contention.outages.borrow_mut();
        outages.on_served(targets, sent_at);
    }

    fn outage_members(&self, service: &str) -> Vec<Member> {
        let fleet = self.fleet.borrow();
        let members = fleet.of_service(service).map(|t| Member {
            address: t.address,
            started_ms: t.started_ms,
            layers: self.layers(t),
            is_usable: self.is_usable(t),
        });
        members.collect()
    }

    /// Whether a target gets no new work because of the peers' observations.
    pub(crate) fn is_excluded_by_peers(&self, target: &Target) -> bool {
        let outages = self.contention.outages.borrow();
        if !outages.is_accused(target.address)
            || !self.contention_of(&target.service).is_contended()
        {
            return false;
        }
        let members = self.outage_members(&target.service);
        let excluded = outages.excluded(&members, &self.settings.node, self.now());
        let is_target =
            |m: &Member| m.address == target.address && m.started_ms == target.started_ms;
        excluded.iter().any(|i| is_target(&members[*i]))
    }

    /// Counts and logs the new observations of a peer.
    pub(crate) fn note_outages(&self, from: &NodeId, news: &[Outage]) {
        for outage in news {
            let target = {
                let fleet = self.fleet.borrow();
                let is_same =
                    |t: &Target| t.address == outage.target && t.started_ms == outage.started_ms;
                fleet.iter().find(|t| is_same(t)).cloned()
            };
            let contended = target.filter(|t| self.contention_of(&t.service).is_contended());
            let believed = contended.filter(|t| {
                let members = self.outage_members(&t.service);
                let outages = self.contention.outages.borrow();
                !outages.is_cut_off(from, &members, self.now())
            });
            let Some(target) = believed else {
                self.metrics.outages.observation("ignored");
                continue;
            };
            self.metrics.outages.observation("peer");
            if self.is_excluded_by_peers(&target) {
                self.metrics.exclusion("peer");
                warn!(self.log, "target excluded"; "target" => %target.address, "cause" => "peer",
                    "peer" => &**from, "ms" => outage.remaining_ms,
                    "failures" => outage.failures);
            }
        }
    }

    /// Updates the gauge of the targets that only the peers' observations exclude.
    pub(crate) fn refresh_outage_gauge(&self) {
        let fleet = self.fleet.borrow();
        let excluded = fleet
            .iter()
            .filter(|t| self.is_usable(t) && self.is_excluded_by_peers(t));
        let excluded = excluded.count().cast_signed() as i64;
        self.metrics.outages.excluded.set(excluded);
    }
}

#[cfg(test)]
mod tests;
