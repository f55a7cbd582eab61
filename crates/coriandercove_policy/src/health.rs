//! Outlier detection: ejection of failing and slow targets, readmission and slow start.

mod floor;
mod stats;

use std::collections::BTreeMap;
use std::time::Duration;

use coriandercove_base::{Layer, ModelId, TargetId, Time, data};

use stats::Stats;

data! {
    /// Why a target was ejected.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum EjectCause {
        /// [`HealthConfig::consecutive_failures`] failures in a row.
        ConsecutiveFailures,
        /// A failure rate of at least [`HealthConfig::failure_rate`].
        FailureRate,
        /// Much slower than its peers. Slowness is relative to the expected time, so that a slower
        /// kind of accelerator does not count as slow.
        Slow,
    }

    /// Decision about a target.
    #[derive(Eq)]
    pub enum HealthAction {
        /// Give the target no new work until `until`.
        Eject {
            /// Name of the target.
            target: TargetId,
            /// Reason of the ejection.
            cause: EjectCause,
            /// End of the ejection.
            until: Time,
        },
        /// Give the target new work again, with slow start.
        Readmit {
            /// Name of the target.
            target: TargetId,
        },
        /// The target is an outlier, but is not ejected because too little capacity would be left.
        /// Reported once until the target recovers.
        KeptByFloor {
            /// Name of the target.
            target: TargetId,
            /// Why it would be ejected.
            cause: EjectCause,
        },
    }

    /// Result of one call, or of one step of a stage.
    #[derive(Copy)]
    pub enum Outcome {
        /// The call or step succeeded.
        Success {
            /// Observed time divided by expected time; 1 is as expected.
            slowness: f64,
        },
        /// Failed for a reason that lies with the target.
        Failure,
    }
}

/// Layers that a target holds and its capacity for them. The capacity floor holds for every layer.
#[derive(Debug, Clone, PartialEq)]
pub struct LayerCapacity {
    /// Model, or name of the plain service.
    pub model: ModelId,
    /// First layer held.
    pub first_layer: Layer,
    /// Layer after the last one held.
    pub end_layer: Layer,
    /// Capacity, in any unit that is the same for all targets of the model.
    pub capacity: f64,
}

/// Settings of [`Health`].
#[derive(Debug, Clone, PartialEq)]
pub struct HealthConfig {
    /// Number of failures in a row that ejects a target.
    pub consecutive_failures: u32,
    /// Fraction of failed results that ejects a target.
    pub failure_rate: f64,
    /// Number of results before the failure rate and slowness are evaluated.
    pub min_results: u32,
    /// A target is ejected if its slowness exceeds the median of its model by this factor.
    pub slow_factor: f64,
    /// Capacity floor: share of the capacity of every layer that is never ejected.
    pub floor: f64,
    /// Duration of the first ejection; doubles with each further one.
    pub base_ejection: Duration,
    /// Upper bound of the duration of an ejection.
    pub max_ejection: Duration,
    /// Time for the weight of a new or readmitted target to reach 1.
    pub slow_start: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            failure_rate: 0.5,
            min_results: 20,
            slow_factor: 3.0,
            floor: 0.5,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(300),
            slow_start: Duration::from_secs(10),
        }
    }
}

/// Number of failures in a row that ejects a target again during the slow start after an ejection.
const PROBATION_FAILURES: u32 = 2;

/// Time since the last admission that removes one doubling from the duration of the next ejection.
const FORGIVENESS_PERIOD: Duration = Duration::from_secs(60);

/// Lower bound of the weight in slow start, so that a new target gets some work to warm up.
const MIN_WEIGHT: f64 = 0.1;

/// Number of peers besides the target itself that are needed to evaluate slowness.
const MIN_PEERS: usize = 2;

/// Health of all targets as observed by one entry.
///
/// For every layer of a model, the capacity that is not ejected is at least the share
/// [`HealthConfig::floor`] of the layer's whole capacity.
#[derive(Debug)]
pub struct Health {
    cfg: HealthConfig,
    targets: BTreeMap<TargetId, TargetHealth>,
}

#[derive(Debug)]
struct TargetHealth {
    layers: LayerCapacity,
    stats: Stats,
    ejected_until: Option<Time>,
    /// Doublings of the duration of the next ejection, before those removed by
    /// [`FORGIVENESS_PERIOD`].
    ejections: u32,
    admitted_at: Time,
    /// Whether the weight increases gradually from `admitted_at` on.
    has_slow_start: bool,
    /// Cause that was last reported with [`HealthAction::KeptByFloor`], until the target recovers.
    kept_by_floor: Option<EjectCause>,
}

impl TargetHealth {
    fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    fn holds_layer(&self, model: &str, layer: Layer) -> bool {
        let l = &self.layers;
        &*l.model == model && l.first_layer <= layer && layer < l.end_layer
    }

    fn readmit(&mut self, now: Time) {
        self.ejected_until = None;
        self.admitted_at = now;
        self.has_slow_start = true;
        self.kept_by_floor = None;
        self.stats = Stats::default();
    }
}

impl Health {
    /// Creates a health state without targets.
    #[must_use]
    pub fn new(cfg: HealthConfig) -> Self {
        Self {
            cfg,
            targets: BTreeMap::new(),
        }
    }

    /// Adds a target, or changes its layers and capacity. A new target gets a slow start if
    /// `has_slow_start`. Returns the readmissions that the floor requires after the change.
    pub fn insert(
        &mut self,
        target: TargetId,
        layers: LayerCapacity,
        now: Time,
        has_slow_start: bool,
    ) -> Vec<HealthAction> {
        let mut models = vec![layers.model.clone()];
        if let Some(state) = self.targets.get_mut(&target) {
            models.push(state.layers.model.clone());
            state.layers = layers;
        } else {
            let state = TargetHealth {
                layers,
                stats: Stats::default(),
                ejected_until: None,
                ejections: 0,
                admitted_at: now,
                has_slow_start,
                kept_by_floor: None,
            };
            self.targets.insert(target, state);
        }
        models.dedup();
        let restored = models
            .iter()
            .flat_map(|model| self.restore_floor(model, now));
        restored.collect()
    }

    /// Removes a target. Returns the readmissions that the floor requires without it.
    pub fn remove(&mut self, target: &str, now: Time) -> Vec<HealthAction> {
        match self.targets.remove(target) {
            Some(state) => self.restore_floor(&state.layers.model, now),
            None => Vec::new(),
        }
    }

    /// Records a result of a target. Results of ejected targets are ignored, since their work began
    /// before the ejection.
    pub fn on_result(&mut self, target: &str, now: Time, outcome: Outcome) -> Vec<HealthAction> {
        let Some((name, state)) = self.targets.get_key_value(target) else {
            return Vec::new();
        };
        if state.is_ejected() {
            return Vec::new();
        }
        let name = name.clone();
        let limit = self.failure_limit(state, now);
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        state.stats.add(now, outcome);
        if state.stats.consecutive_failures == 0 {
            // A success ends a series of failures, but not slowness, since a slow target succeeds
            // too.
            state.kept_by_floor = state
                .kept_by_floor
                .filter(|cause| *cause == EjectCause::Slow);
            return Vec::new();
        }
        let rate = state.stats.failure_rate(self.cfg.min_results);
        let cause = if state.stats.consecutive_failures >= limit {
            EjectCause::ConsecutiveFailures
        } else if rate.is_some_and(|r| r >= self.cfg.failure_rate) {
            EjectCause::FailureRate
        } else {
            return Vec::new();
        };
        self.eject(&name, now, cause).into_iter().collect()
    }

    /// Ejects slow targets, and readmits targets whose ejection has ended. Called about once a
    /// second.
    pub fn tick(&mut self, now: Time) -> Vec<HealthAction> {
        let mut out = Vec::new();
        for (name, state) in &mut self.targets {
            if state.ejected_until.is_some_and(|t| t <= now) {
                state.readmit(now);
                out.push(HealthAction::Readmit {
                    target: name.clone(),
                });
            }
        }
        let slow_targets = self.slow_targets();
        for (name, state) in &mut self.targets {
            if state.kept_by_floor == Some(EjectCause::Slow) && !slow_targets.contains(name) {
                state.kept_by_floor = None;
            }
        }
        for name in slow_targets {
            out.extend(self.eject(&name, now, EjectCause::Slow));
        }
        out
    }

    /// Returns the slow-start weight of a target: above 0, and 1 after the slow start. 0 if the
    /// target is ejected or unknown.
    #[must_use]
    pub fn weight(&self, target: &str, now: Time) -> f64 {
        match self.targets.get(target) {
            Some(state) if !state.is_ejected() => self.slow_start_weight(state, now),
            _ => 0.0,
        }
    }

    /// Whether the target is ejected; false if it is unknown.
    #[must_use]
    pub fn is_ejected(&self, target: &str) -> bool {
        self.targets
            .get(target)
            .is_some_and(TargetHealth::is_ejected)
    }

    fn slow_start_weight(&self, state: &TargetHealth, now: Time) -> f64 {
        let elapsed = now.saturating_sub(state.admitted_at).as_secs_f64();
        let duration = self.cfg.slow_start.as_secs_f64();
        if state.has_slow_start && elapsed < duration {
            (elapsed / duration).max(MIN_WEIGHT)
        } else {
            1.0
        }
    }

    fn failure_limit(&self, state: &TargetHealth, now: Time) -> u32 {
        let on_probation = state.ejections > 0 && self.slow_start_weight(state, now) < 1.0;
        if on_probation {
            PROBATION_FAILURES.min(self.cfg.consecutive_failures)
        } else {
            self.cfg.consecutive_failures
        }
    }

    /// Returns the targets that are much slower than the median of their model, slowest first
    /// within a model.
    fn slow_targets(&self) -> Vec<TargetId> {
        let mut by_model: BTreeMap<&str, Vec<(f64, &TargetId)>> = BTreeMap::new();
        for (name, state) in self.targets.iter().filter(|(_, s)| !s.is_ejected()) {
            if let Some(slowness) = state.stats.slowness(self.cfg.min_results) {
                let model = &*state.layers.model;
                by_model.entry(model).or_default().push((slowness, name));
            }
        }
        let mut out = Vec::new();
        for mut peers in by_model.into_values() {
            if peers.len() <= MIN_PEERS {
                continue;
            }
            peers.sort_by(|a, b| b.0.total_cmp(&a.0));
            let limit = peers[peers.len() / 2].0 * self.cfg.slow_factor;
            out.extend(
                peers
                    .iter()
                    .take_while(|p| p.0 > limit)
                    .map(|p| p.1.clone()),
            );
        }
        out
    }

    /// Ejects a target, or reports once that the floor prevents it.
    fn eject(&mut self, target: &TargetId, now: Time, cause: EjectCause) -> Option<HealthAction> {
        let is_allowed = self.floor_allows(target);
        let state = self.targets.get_mut(target)?;
        if !is_allowed {
            let is_first = state.kept_by_floor.replace(cause).is_none();
            return is_first.then(|| HealthAction::KeptByFloor {
                target: target.clone(),
                cause,
            });
        }
        let healthy = now.saturating_sub(state.admitted_at);
        let forgiven = healthy.as_secs() / FORGIVENESS_PERIOD.as_secs();
        let doublings = state.ejections.saturating_sub(forgiven as u32);
        let duration = self
            .cfg
            .base_ejection
            .saturating_mul(1 << doublings.min(16));
        let until = now + duration.min(self.cfg.max_ejection);
        state.ejections = doublings + 1;
        state.ejected_until = Some(until);
        Some(HealthAction::Eject {
            target: target.clone(),
            cause,
            until,
        })
    }
}

#[cfg(test)]
mod tests;
