//! Tracks the layers and orders of each engine where they are newer than the platform's list, which
//! lags by some seconds.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{SortedMap, TargetId, Time, data};

use crate::fleet::{Fleet, LayerRange, Target};
use crate::protocol::Report;

/// Time after which an order that no report confirms is dropped.
const ORDER_LIFETIME: Duration = Duration::from_secs(2);
/// Time after which this entry's own record of layers that differ from the platform's list is
/// dropped; the list lags by some seconds at most.
const HELD_LIFETIME: Duration = Duration::from_secs(8);
/// Time after which layers reported by a peer are dropped if the peer does not repeat them.
const PEER_REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum age of a report on its arrival; layers that the platform listed within that time are
/// newer than the report.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Minimum change of a target's slowness that is logged.
const LOGGED_SLOWNESS_CHANGE: f64 = 0.5;
/// Range of a target that holds no layers or is giving them up.
const NO_LAYERS: LayerRange = LayerRange::new(0, 0);
/// Minimum time between two orders to one target.
const ORDER_PAUSE: Duration = Duration::from_millis(500);
/// Time after which the slowness of the last report no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(6);

data! {
    /// Layers and slowness of a target as one entry reports them to its peers; sent with postcard,
    /// so that the order of the fields is the format.
    pub struct Placement {
        /// Id of the target.
        pub id: TargetId,
        /// Start of the incarnation that this describes, in Unix milliseconds.
        pub started_ms: u64,
        /// Layers where they differ from the platform's list; an empty range while the target holds
        /// none.
        pub layers: Option<LayerRange>,
        /// Slowness in tenths; 10 is as fast as expected.
        pub slowness_tenths: u16,
    }
}

/// Layers that a target holds; an empty range while it accepts no new work.
#[derive(Debug, Clone, Copy, PartialEq)]
struct HeldLayers {
    layers: LayerRange,
    /// Time of the last report or order that showed these layers.
    at: Time,
    /// Whether this entry learned it from the target. Only this is sent to the peers; otherwise
    /// entries would keep each other's outdated records alive.
    is_own: bool,
}

impl HeldLayers {
    fn own(layers: LayerRange, at: Time) -> Self {
        Self {
            layers,
            at,
            is_own: true,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
struct EngineState {
    /// Start of the incarnation that the record describes, in Unix milliseconds.
    started_ms: u64,
    /// Layers where they differ from the platform's list.
    held: Option<HeldLayers>,
    /// Layers ordered, with the time of the order or of the last report that showed it in progress.
    ordered: Option<(LayerRange, Time)>,
    /// Time of the last order that this entry sent.
    last_order: Option<Time>,
    /// Time of the last report that showed an order in progress.
    busy_at: Option<Time>,
    /// Time at which the report was last read because of a pending order.
    last_poll: Time,
    /// Layers in the platform's list, with the time at which they last changed there.
    listed: (Option<LayerRange>, Time),
    /// Number of orders that the target has accepted in this incarnation.
    sequence: u64,
    /// Factor by which the target is slower than expected; at least 1.
    slowness: f64,
    /// Time of the last report of the engine, or of a peer that reported it as slow.
    reported_at: Time,
}

impl EngineState {
    fn new(target: &Target) -> Self {
        Self {
            started_ms: target.started_ms,
            held: None,
            ordered: None,
            last_order: None,
            busy_at: None,
            last_poll: Time::ZERO,
            listed: (target.layers, Time::ZERO),
            sequence: 0,
            slowness: 1.0,
            reported_at: Time::ZERO,
        }
    }

    fn own_layers(&self) -> Option<LayerRange> {
        self.held.filter(|h| h.is_own).map(|h| h.layers)
    }

    fn expire(&mut self, now: Time) {
        if now.saturating_sub(self.reported_at) > REPORT_LIFETIME {
            self.slowness = 1.0;
        }
        if self
            .ordered
            .is_some_and(|(_, at)| now.saturating_sub(at) >= ORDER_LIFETIME)
        {
            self.ordered = None;
            self.held = None;
        }
        let is_old = |h: HeldLayers| {
            let lifetime = if h.is_own {
                HELD_LIFETIME
            } else {
                PEER_REPORT_LIFETIME
            };
            now.saturating_sub(h.at) >= lifetime
        };
        if self.held.is_some_and(is_old) {
            self.held = None;
        }
    }
}

/// Orders and reported layers, by target.
#[derive(Debug, Default)]
pub struct Placements {
    engines: SortedMap<TargetId, EngineState>,
    first_target_at: Option<Time>,
    /// Number of targets at the last check, with the time at which it last changed.
    target_count: (usize, Time),
}

impl Placements {
    fn state_mut(&mut self, target: &Target) -> &mut EngineState {
        let known = self
            .engines
            .get_or_insert_with(target.id.clone(), || EngineState::new(target));
        if known.started_ms != target.started_ms {
            *known = EngineState::new(target);
        }
        known
    }

    fn state(&self, target: &Target) -> Option<&EngineState> {
        self.engines
            .get(&*target.id)
            .filter(|k| k.started_ms == target.started_ms)
    }

    /// Layers that the target holds, by the newest information; none while it accepts no new work.
    #[must_use]
    pub fn layers(&self, target: &Target) -> Option<LayerRange> {
        let held = self.state(target).and_then(|k| k.held);
        let layers = held.map_or(target.layers, |h| Some(h.layers));
        layers.filter(|l| !l.is_empty())
    }

    /// Layers that the target was ordered to hold, while the order is pending.
    #[must_use]
    pub fn planned(&self, target: &Target, now: Time) -> Option<LayerRange> {
        let (layers, at) = self.state(target)?.ordered?;
        (now.saturating_sub(at) < ORDER_LIFETIME).then_some(layers)
    }

    /// Whether the target carries out an order that another entry gave.
    #[must_use]
    pub fn is_busy(&self, target: &Target, now: Time) -> bool {
        self.state(target).is_some_and(|k| {
            let is_recent = |at| now.saturating_sub(at) < ORDER_LIFETIME;
            k.ordered.is_none() && k.busy_at.is_some_and(is_recent)
        })
    }

    /// Factor by which the target is slower than expected; at least 1.
    #[must_use]
    pub fn slowness(&self, target: &Target) -> f64 {
        self.state(target).map_or(1.0, |k| k.slowness)
    }

    /// Number of orders that the target has accepted in this incarnation; 0 until a report or an
    /// accepted order shows otherwise.
    #[must_use]
    pub fn sequence(&self, target: &Target) -> u64 {
        self.state(target).map_or(0, |k| k.sequence)
    }

    /// Applies the platform's listing of a target.
    pub fn on_listed(&mut self, target: &Arc<Target>, now: Time) {
        let known = self.state_mut(target);
        if known.listed.0 != target.layers {
            known.listed = (target.layers, now);
            known.busy_at = None;
        }
        if known.held.is_some_and(|h| Some(h.layers) == target.layers) {
            known.held = None;
        }
        if known.ordered.is_some_and(|(l, _)| Some(l) == target.layers) {
            known.ordered = None;
            known.held = None;
        }
    }

    /// Applies an engine's report. Returns whether the layers changed, or the slowness by more than
    /// `LOGGED_SLOWNESS_CHANGE`.
    pub fn on_report(&mut self, target: &Target, report: &Report, now: Time) -> bool {
        if report.started_ms != 0 && report.started_ms < target.started_ms {
            return false;
        }
        let known = self.state_mut(target);
        if report.started_ms > known.started_ms {
            // The report is from a later incarnation that the platform does not list yet.
            return false;
        }
        let is_changed = (known.slowness - report.slowness).abs() > LOGGED_SLOWNESS_CHANGE;
        known.sequence = known.sequence.max(report.order_sequence);
        known.slowness = report.slowness.max(1.0);
        known.reported_at = now;
        let since_listed = now.saturating_sub(known.listed.1);
        if known.listed.1 != Time::ZERO && since_listed < REPORT_LAG {
            return is_changed;
        }
        // While an order is carried out, the layers that are being given up accept no new work.
        let layers = report.layers.filter(|_| !report.is_busy);
        let reported = layers.unwrap_or(NO_LAYERS);
        known.busy_at = report.is_busy.then_some(now);
        let before = known.held.map_or(target.layers, |h| Some(h.layers));
        match &mut known.ordered {
            // The engine is replacing its old layers by the ordered ones.
            Some((_, at)) if report.is_busy => {
                *at = now;
                return is_changed;
            }
            Some((layers, _)) if report.layers == Some(*layers) => known.ordered = None,
            // The order is not in progress yet; it is dropped if it stays so for
            // [`ORDER_LIFETIME`].
            Some(_) => return is_changed,
            None => {}
        }
        known.held = (layers != target.layers).then_some(HeldLayers::own(reported, now));
        is_changed || before.unwrap_or(NO_LAYERS) != reported
    }

    /// Records an order that is about to be sent. Returns false, and records nothing, if the last
    /// one was less than `ORDER_PAUSE` ago.
    pub fn begin_order(&mut self, target: &Target, layers: LayerRange, now: Time) -> bool {
        let known = self.state_mut(target);
        let is_paused = known
            .last_order
            .is_some_and(|at| now.saturating_sub(at) < ORDER_PAUSE);
        if is_paused {
            return false;
        }
        known.last_order = Some(now);
        known.ordered = Some((layers, now));
        // The layers that the target holds so far accept no new work from now on.
        known.held = Some(HeldLayers::own(NO_LAYERS, now));
        true
    }

    /// Records that the target accepted an order that stated `expected` earlier ones.
    pub fn on_accepted(&mut self, target: &Target, expected: u64) {
        let known = self.state_mut(target);
        known.sequence = known.sequence.max(expected + 1);
    }

    /// Drops an order that the target did not accept.
    pub fn drop_order(&mut self, target: &Target) {
        let known = self.state_mut(target);
        known.ordered = None;
        known.held = None;
    }

    /// Records that the report of a target with a pending order is read, unless it was read less
    /// than `period` ago. Returns whether the caller should read it.
    pub fn begin_poll(&mut self, target: &Target, now: Time, period: Duration) -> bool {
        let known = self.state_mut(target);
        let is_due = known.ordered.is_some() && now.saturating_sub(known.last_poll) >= period;
        if is_due {
            known.last_poll = now;
        }
        is_due
    }

    /// Drops targets that are not listed, outdated records and orders that no report confirmed.
    pub fn expire(&mut self, fleet: &Fleet, now: Time) {
        self.engines.retain(|id, _| fleet.get(id).is_some());
        for (_, known) in self.engines.iter_mut() {
            known.expire(now);
        }
    }

    /// Records the number of listed targets and when it last changed.
    pub fn record_targets(&mut self, targets: &[Arc<Target>], now: Time) {
        if !targets.is_empty() && self.first_target_at.is_none() {
            self.first_target_at = Some(now);
        }
        if self.target_count.0 != targets.len() {
            self.target_count = (targets.len(), now);
        }
    }

    /// Number of targets with a record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no target has a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether some target has a pending order.
    #[must_use]
    pub fn has_orders(&self) -> bool {
        self.engines.values().any(|k| k.ordered.is_some())
    }

    /// Whether the number of targets has not changed for `quiet`, or the first target was listed at
    /// least `at_most` ago.
    #[must_use]
    pub fn is_settled(&self, now: Time, quiet: Duration, at_most: Duration) -> bool {
        let is_quiet = self.target_count.0 > 0 && now.saturating_sub(self.target_count.1) >= quiet;
        let waited = self
            .first_target_at
            .is_some_and(|at| now.saturating_sub(at) >= at_most);
        is_quiet || waited
    }

    /// Layers and slowness that this entry reports to its peers: those that it learned from the
    /// targets and that the platform's list lacks.
    #[must_use]
    pub fn for_peers(&self) -> Vec<Placement> {
        let known = self.engines.iter();
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

    /// Applies a peer's report of a target. Layers that this entry learned itself, and reports that
    /// it read lately, take precedence.
    pub fn on_peer_placement(&mut self, target: &Target, placement: &Placement, now: Time) {
        if placement.started_ms != target.started_ms {
            return;
        }
        let known = self.state_mut(target);
        let has_own = known.ordered.is_some() || known.own_layers().is_some();
        if let Some(layers) = placement.layers
            && !has_own
            && now.saturating_sub(known.reported_at) >= PEER_REPORT_LIFETIME
        {
            known.held = (target.layers.unwrap_or(NO_LAYERS) != layers).then_some(HeldLayers {
                layers,
                at: now,
                is_own: false,
            });
        }
        let slowness = f64::from(placement.slowness_tenths) / 10.0;
        if slowness > 1.0 {
            known.slowness = slowness;
            known.reported_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
