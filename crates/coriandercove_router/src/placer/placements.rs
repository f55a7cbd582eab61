//! What is known of the layers of each engine beside the platform's list, which lags.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{SortedMap, TargetId, Time, data};

use crate::fleet::{Fleet, LayerRange, Target};
use crate::protocol::Report;

/// Time after which an order without a trace in the reports is given up.
const ORDER_LIFETIME: Duration = Duration::from_secs(2);
/// Time after which layers that differ from the platform's list are given up; the list lags by
/// some seconds at the most.
const HELD_LIFETIME: Duration = Duration::from_secs(8);
/// Time after which a peer's knowledge that it does not repeat is given up.
const HEARSAY_LIFETIME: Duration = Duration::from_secs(2);
/// Age that a report may have; what the platform listed meanwhile is newer.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Change of slowness that is logged.
const NEWS_SLOWNESS: f64 = 0.5;
/// No layers.
const NOTHING: LayerRange = LayerRange::new(0, 0);
/// Pause after an order that failed.
const ORDER_PAUSE: Duration = Duration::from_millis(500);
/// Age at which a report's slowness no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(6);

data! {
    /// Layers that a target was seen to hold, for the other entries.
    pub struct Placement {
        /// The target.
        pub id: TargetId,
        /// Its incarnation.
        pub started_ms: u64,
        /// Layers where they differ from the platform's list; empty while it holds none.
        pub layers: Option<LayerRange>,
        /// Slowness in tenths; 10 is as expected.
        pub slowness_tenths: u16,
    }
}

/// Layers that a target holds; none while it takes nothing new.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Held {
    layers: LayerRange,
    /// Time of the last sign of it.
    at: Time,
    /// Whether this entry saw it itself; only that is told to the peers, or entries would keep
    /// each other's old knowledge alive.
    is_own: bool,
}

impl Held {
    fn own(layers: LayerRange, at: Time) -> Self {
        Self {
            layers,
            at,
            is_own: true,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Known {
    /// Incarnation to which everything here belongs.
    started_ms: u64,
    /// Layers where they differ from the platform's list.
    held: Option<Held>,
    /// Layers ordered, with the time of the last trace of the order.
    ordered: Option<(LayerRange, Time)>,
    last_order: Option<Time>,
    /// When it last reported that it carries an order out.
    busy: Option<Time>,
    last_poll: Time,
    /// Layers in the platform's list, with the time at which they changed there.
    listed: (Option<LayerRange>, Time),
    /// Orders that the target has accepted in this incarnation.
    sequence: u64,
    slowness: f64,
    reported: Time,
}

impl Known {
    fn new(target: &Target) -> Self {
        Self {
            started_ms: target.started_ms,
            held: None,
            ordered: None,
            last_order: None,
            busy: None,
            last_poll: Time::ZERO,
            listed: (target.layers, Time::ZERO),
            sequence: 0,
            slowness: 1.0,
            reported: Time::ZERO,
        }
    }

    fn own_layers(&self) -> Option<LayerRange> {
        self.held.filter(|h| h.is_own).map(|h| h.layers)
    }

    fn expire(&mut self, now: Time) {
        if now.saturating_sub(self.reported) > REPORT_LIFETIME {
            self.slowness = 1.0;
        }
        if self
            .ordered
            .is_some_and(|(_, at)| now.saturating_sub(at) >= ORDER_LIFETIME)
        {
            self.ordered = None;
            self.held = None;
        }
        let is_old = |h: Held| {
            let lifetime = if h.is_own {
                HELD_LIFETIME
            } else {
                HEARSAY_LIFETIME
            };
            now.saturating_sub(h.at) >= lifetime
        };
        if self.held.is_some_and(is_old) {
            self.held = None;
        }
    }
}

/// Orders given and layers reported, by target.
#[derive(Debug, Default)]
pub struct Placements {
    known: SortedMap<TargetId, Known>,
    first_seen: Option<Time>,
    /// Number of targets at the last look, and when it changed.
    seen: (usize, Time),
}

impl Placements {
    fn entry(&mut self, target: &Target) -> &mut Known {
        let known = self
            .known
            .get_or_insert_with(target.id.clone(), || Known::new(target));
        if known.started_ms != target.started_ms {
            *known = Known::new(target);
        }
        known
    }

    fn get(&self, target: &Target) -> Option<&Known> {
        self.known
            .get(&*target.id)
            .filter(|k| k.started_ms == target.started_ms)
    }

    /// Layers that the target holds, by the newest knowledge.
    #[must_use]
    pub fn layers(&self, target: &Target) -> Option<LayerRange> {
        let held = self.get(target).and_then(|k| k.held);
        let layers = held.map_or(target.layers, |h| Some(h.layers));
        layers.filter(|l| !l.is_empty())
    }

    /// Layers that the target was ordered to hold.
    #[must_use]
    pub fn planned(&self, target: &Target, now: Time) -> Option<LayerRange> {
        let (layers, at) = self.get(target)?.ordered?;
        (now.saturating_sub(at) < ORDER_LIFETIME).then_some(layers)
    }

    /// Whether the target carries out an order that this entry did not give.
    #[must_use]
    pub fn is_busy(&self, target: &Target, now: Time) -> bool {
        self.get(target).is_some_and(|k| {
            let is_recent = |at| now.saturating_sub(at) < ORDER_LIFETIME;
            k.ordered.is_none() && k.busy.is_some_and(is_recent)
        })
    }

    /// Factor by which the target is slower than expected.
    #[must_use]
    pub fn slowness(&self, target: &Target) -> f64 {
        self.get(target).map_or(1.0, |k| k.slowness)
    }

    /// Orders that the target has accepted, as far as is known; none since its start if no report
    /// said otherwise.
    #[must_use]
    pub fn sequence(&self, target: &Target) -> u64 {
        self.get(target).map_or(0, |k| k.sequence)
    }

    /// Takes the platform's entry of a target in.
    pub fn on_listed(&mut self, target: &Arc<Target>, now: Time) {
        let known = self.entry(target);
        if known.listed.0 != target.layers {
            known.listed = (target.layers, now);
            known.busy = None;
        }
        if known.held.is_some_and(|h| Some(h.layers) == target.layers) {
            known.held = None;
        }
        if known.ordered.is_some_and(|(l, _)| Some(l) == target.layers) {
            known.ordered = None;
            known.held = None;
        }
    }

    /// Takes a report in. Returns whether layers or slowness changed.
    pub fn on_report(&mut self, target: &Target, report: &Report, now: Time) -> bool {
        if report.started_ms != 0 && report.started_ms < target.started_ms {
            return false;
        }
        let known = self.entry(target);
        if report.started_ms > known.started_ms {
            // A later incarnation that the platform does not list yet.
            return false;
        }
        let is_news = (known.slowness - report.slowness).abs() > NEWS_SLOWNESS;
        known.sequence = known.sequence.max(report.order_sequence);
        known.slowness = report.slowness.max(1.0);
        known.reported = now;
        let since_listed = now.saturating_sub(known.listed.1);
        if known.listed.1 != Time::ZERO && since_listed < REPORT_LAG {
            return is_news;
        }
        // While an order is carried out, what is given up takes nothing new.
        let layers = report.layers.filter(|_| !report.is_busy);
        let reported = layers.unwrap_or(NOTHING);
        known.busy = report.is_busy.then_some(now);
        let before = known.held.map_or(target.layers, |h| Some(h.layers));
        match &mut known.ordered {
            // The engine gives its old layers up and loads new ones.
            Some((_, at)) if report.is_busy => {
                *at = now;
                return is_news;
            }
            Some((layers, _)) if report.layers == Some(*layers) => known.ordered = None,
            // Not begun yet; the order is given up when its lifetime ends.
            Some(_) => return is_news,
            None => {}
        }
        known.held = (layers != target.layers).then_some(Held::own(reported, now));
        is_news || before.unwrap_or(NOTHING) != reported
    }

    /// Notes an order; false if one is in progress or was just tried.
    pub fn begin_order(&mut self, target: &Target, layers: LayerRange, now: Time) -> bool {
        let known = self.entry(target);
        let is_paused = known
            .last_order
            .is_some_and(|at| now.saturating_sub(at) < ORDER_PAUSE);
        if is_paused {
            return false;
        }
        known.last_order = Some(now);
        known.ordered = Some((layers, now));
        // What it holds so far takes nothing new from now on.
        known.held = Some(Held::own(NOTHING, now));
        true
    }

    /// Notes that the target accepted an order that named `expected` earlier ones.
    pub fn on_accepted(&mut self, target: &Target, expected: u64) {
        let known = self.entry(target);
        known.sequence = known.sequence.max(expected + 1);
    }

    /// Forgets an order that the target did not accept.
    pub fn drop_order(&mut self, target: &Target) {
        let known = self.entry(target);
        known.ordered = None;
        known.held = None;
    }

    /// Whether a report of a target with an order should be read now.
    pub fn poll_due(&mut self, target: &Target, now: Time, period: Duration) -> bool {
        let known = self.entry(target);
        let is_due = known.ordered.is_some() && now.saturating_sub(known.last_poll) >= period;
        if is_due {
            known.last_poll = now;
        }
        is_due
    }

    /// Forgets targets that are not listed, knowledge that is too old and orders without a trace.
    pub fn expire(&mut self, fleet: &Fleet, now: Time) {
        self.known.retain(|id, _| fleet.get(id).is_some());
        for (_, known) in self.known.iter_mut() {
            known.expire(now);
        }
    }

    /// Notes how many targets there are.
    pub fn see(&mut self, targets: &[Arc<Target>], now: Time) {
        if !targets.is_empty() && self.first_seen.is_none() {
            self.first_seen = Some(now);
        }
        if self.seen.0 != targets.len() {
            self.seen = (targets.len(), now);
        }
    }

    /// Targets of which something is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether some target has an order that is not carried out.
    #[must_use]
    pub fn has_orders(&self) -> bool {
        self.known.values().any(|k| k.ordered.is_some())
    }

    /// Whether the list of targets has stopped growing.
    #[must_use]
    pub fn is_settled(&self, now: Time, quiet: Duration, at_most: Duration) -> bool {
        let is_quiet = self.seen.0 > 0 && now.saturating_sub(self.seen.1) >= quiet;
        let waited = self
            .first_seen
            .is_some_and(|at| now.saturating_sub(at) >= at_most);
        is_quiet || waited
    }

    /// What this entry knows beyond the platform's list.
    #[must_use]
    pub fn for_peers(&self) -> Vec<Placement> {
        let known = self.known.iter();
        known
            .filter(|(_, k)| k.own_layers().is_some() || k.slowness > 1.0)
            .map(|(id, k)| Placement {
                id: id.clone(),
                started_ms: k.started_ms,
                layers: k.own_layers(),
                slowness_tenths: (k.slowness * 10.0).min(1e4) as u16,
            })
            .collect()
    }

    /// Takes a peer's knowledge of a target in.
    pub fn on_peer(&mut self, target: &Target, placement: &Placement, now: Time) {
        if placement.started_ms != target.started_ms {
            return;
        }
        let known = self.entry(target);
        let has_own = known.ordered.is_some() || known.own_layers().is_some();
        if let Some(layers) = placement.layers
            && !has_own
            && now.saturating_sub(known.reported) >= HEARSAY_LIFETIME
        {
            known.held = (target.layers.unwrap_or(NOTHING) != layers).then_some(Held {
                layers,
                at: now,
                is_own: false,
            });
        }
        let slowness = f64::from(placement.slowness_tenths) / 10.0;
        if slowness > 1.0 {
            known.slowness = slowness;
            known.reported = now;
        }
    }
}

#[cfg(test)]
mod tests;
