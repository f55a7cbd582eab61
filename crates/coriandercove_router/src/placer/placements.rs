//! What is known of the layers of each engine beside the platform's list, which lags.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{SortedMap, TargetId, Time, data};

use crate::dialect::Report;
use crate::fleet::{LayerRange, Target};

/// Time after which an order without a trace in the reports is given up.
const ORDER_LIFETIME: Duration = Duration::from_secs(2);
/// Pause after an order that failed.
const ORDER_PAUSE: Duration = Duration::from_millis(500);
/// Age at which a report's slowness no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(6);
/// Least time between two probes of one target.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

data! {
    /// Layers that a target was seen to hold, for the other entries.
    pub struct Placement {
        /// The target.
        pub id: TargetId,
        /// Its incarnation.
        pub started_ms: u64,
        /// First layer held.
        pub first: u16,
        /// Layer after the last one held.
        pub end: u16,
        /// Slowness in tenths; 10 is as expected.
        pub slowness_tenths: u16,
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Known {
    /// Incarnation to which everything here belongs.
    started_ms: u64,
    /// Layers reported, until the platform lists the same.
    loaded: Option<LayerRange>,
    /// Layers ordered, with the time of the last trace of the order.
    ordered: Option<(LayerRange, Time)>,
    last_order: Option<Time>,
    last_poll: Time,
    /// Orders that the target has accepted in this incarnation.
    sequence: u64,
    slowness: f64,
    reported: Time,
}

impl Known {
    fn new(target: &Target) -> Self {
        Self {
            started_ms: target.started_ms,
            loaded: None,
            ordered: None,
            last_order: None,
            last_poll: Time::ZERO,
            sequence: 0,
            slowness: 1.0,
            reported: Time::ZERO,
        }
    }
}

/// Orders given and layers reported, by target.
#[derive(Debug, Default)]
pub struct Placements {
    known: SortedMap<TargetId, Known>,
    probed: SortedMap<SocketAddr, Time>,
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

    /// Layers that the target reported and that the platform does not list yet.
    #[must_use]
    pub fn loaded(&self, target: &Target) -> Option<LayerRange> {
        self.get(target)?.loaded
    }

    /// Layers that the target was ordered to hold.
    #[must_use]
    pub fn planned(&self, target: &Target, now: Time) -> Option<LayerRange> {
        let (layers, at) = self.get(target)?.ordered?;
        (now.saturating_sub(at) < ORDER_LIFETIME).then_some(layers)
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
    pub fn on_listed(&mut self, target: &Arc<Target>) {
        let known = self.entry(target);
        if known.loaded.is_some() && known.loaded == target.layers {
            known.loaded = None;
        }
        if known.ordered.is_some_and(|(l, _)| Some(l) == target.layers) {
            known.ordered = None;
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
        let held = known.loaded.or(target.layers);
        let is_news = held != report.layers || (known.slowness - report.slowness).abs() > 0.5;
        known.sequence = report.order_sequence;
        known.slowness = report.slowness.max(1.0);
        known.reported = now;
        if report.layers.is_some() && report.layers != target.layers {
            known.loaded = report.layers;
        }
        if let Some((layers, at)) = &mut known.ordered {
            if report.layers == Some(*layers) && !report.is_busy {
                known.ordered = None;
            } else if report.is_busy {
                *at = now;
            }
        }
        is_news
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
        true
    }

    /// Forgets an order that the target did not accept.
    pub fn drop_order(&mut self, target: &Target) {
        self.entry(target).ordered = None;
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

    /// Whether a target may be probed now.
    pub fn probe_due(&mut self, target: SocketAddr, now: Time) -> bool {
        let at = self
            .probed
            .get_or_insert_with(target, || Time::ZERO);
        let is_due = *at == Time::ZERO || now.saturating_sub(*at) >= PROBE_PAUSE;
        if is_due {
            *at = now;
        }
        is_due
    }

    /// Notes how many targets there are, and forgets those that are gone and old slowness.
    pub fn see(&mut self, targets: &[Arc<Target>], now: Time) {
        if !targets.is_empty() && self.first_seen.is_none() {
            self.first_seen = Some(now);
        }
        if self.seen.0 != targets.len() {
            self.seen = (targets.len(), now);
        }
        for k in self.known.iter_mut() {
            if now.saturating_sub(k.1.reported) > REPORT_LIFETIME {
                k.1.slowness = 1.0;
            }
        }
    }

    /// Whether the list of targets has stopped growing.
    #[must_use]
    pub fn is_settled(&self, now: Time, quiet: Duration, at_most: Duration) -> bool {
        let is_quiet = self.seen.0 > 0 && now.saturating_sub(self.seen.1) >= quiet;
        let waited = self.first_seen.is_some_and(|at| now.saturating_sub(at) >= at_most);
        is_quiet || waited
    }

    /// What this entry knows beyond the platform's list.
    #[must_use]
    pub fn for_peers(&self) -> Vec<Placement> {
        let known = self.known.iter().filter(|(_, k)| {
            k.loaded.is_some() || k.slowness > 1.0
        });
        known
            .map(|(id, k)| {
                let layers = k.loaded.unwrap_or(LayerRange::new(0, 0));
                Placement {
                    id: id.clone(),
                    started_ms: k.started_ms,
                    first: layers.first,
                    end: layers.end,
                    slowness_tenths: (k.slowness * 10.0).min(1e4) as u16,
                }
            })
            .collect()
    }

    /// Takes a peer's knowledge of a target in.
    pub fn on_peer(&mut self, target: &Target, placement: &Placement, now: Time) {
        if placement.started_ms != target.started_ms {
            return;
        }
        let known = self.entry(target);
        let layers = LayerRange::new(placement.first, placement.end);
        if !layers.is_empty() && target.layers != Some(layers) {
            known.loaded = Some(layers);
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
