//! Ejection of failing and slow targets, re-admission and slow start.

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
        /// Several failures in a row.
        ConsecutiveFailures,
        /// A high rate of failures.
        FailureRate,
        /// Much slower than its peers, relative to what its accelerator should do.
        Slow,
    }

    /// Decision about a target.
    #[derive(Eq)]
    pub enum HealthAction {
        /// Give the target no new work until `until`.
        Eject {
            /// The target.
            target: TargetId,
            /// Why.
            cause: EjectCause,
            /// End of the ejection.
            until: Time,
        },
        /// Give the target work again, with slow start.
        Readmit {
            /// The target.
            target: TargetId,
        },
        /// The target is an outlier but the floor keeps it; reported once per episode.
        KeptByFloor {
            /// The target.
            target: TargetId,
            /// Why it would be ejected.
            cause: EjectCause,
        },
    }

    /// Result of one call or stage step.
    #[derive(Copy)]
    pub enum Outcome {
        /// Succeeded, with observed time over expected time (1 is as expected).
        Success {
            /// Observed time divided by expected time.
            slowness: f64,
        },
        /// Failed for a reason that lies with the target.
        Failure,
    }
}

/// What a target is needed for; the floor is held for every layer.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Model, or name of the plain service.
    pub model: ModelId,
    /// First layer held.
    pub first_layer: Layer,
    /// Layer after the last one held.
    pub end_layer: Layer,
    /// Capacity in any unit that is the same for all targets of the model.
    pub capacity: f64,
}

/// Settings of ejection and slow start.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthConfig {
    /// Failures in a row that eject a target.
    pub consecutive_failures: u32,
    /// Rate of failures that ejects a target.
    pub failure_rate: f64,
    /// Results needed before rate and slowness count.
    pub min_results: u32,
    /// Factor over the median slowness of the peers that ejects a target.
    pub slow_factor: f64,
    /// Share of the capacity of every layer that is never ejected.
    pub floor: f64,
    /// First ejection time; doubles with each ejection.
    pub base_ejection: Duration,
    /// Longest ejection time.
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

/// Failures in a row that eject a target again while it still warms up after an ejection.
const PROBATION_FAILURES: u32 = 2;

/// Time of health that takes one doubling off the next ejection time.
const FORGIVE: Duration = Duration::from_secs(60);

/// Least weight in slow start, so that a new target gets any work to warm up with.
const MIN_WEIGHT: f64 = 0.1;

/// Peers needed besides the target itself before slowness is judged.
const MIN_PEERS: usize = 2;

/// Health of all targets as one entry sees it.
///
/// For every layer of a model, the capacity that is not ejected stays at least the floor's share
/// of the whole capacity.
#[derive(Debug)]
pub struct Health {
    cfg: HealthConfig,
    targets: BTreeMap<TargetId, State>,
}

#[derive(Debug)]
struct State {
    member: Member,
    stats: Stats,
    ejected_until: Option<Time>,
    /// Doublings of the next ejection time, before forgiveness.
    ejections: u32,
    admitted_at: Time,
    /// Whether the weight ramps up from `admitted_at`.
    ramps: bool,
    /// Cause for which the floor's protection was reported in this episode.
    kept: Option<EjectCause>,
}

impl State {
    fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    fn holds(&self, model: &str, layer: Layer) -> bool {
        let m = &self.member;
        &*m.model == model && m.first_layer <= layer && layer < m.end_layer
    }

    fn readmit(&mut self, now: Time) {
        self.ejected_until = None;
        self.admitted_at = now;
        self.ramps = true;
        self.kept = None;
        self.stats = Stats::default();
    }
}

impl Health {
    /// No targets.
    #[must_use]
    pub fn new(cfg: HealthConfig) -> Self {
        Self {
            cfg,
            targets: BTreeMap::new(),
        }
    }

    /// Adds a target or changes what it is needed for; a new target starts slowly if `ramps`.
    /// Returns readmissions that the floor requires after a change.
    pub fn insert(
        &mut self,
        target: TargetId,
        member: Member,
        now: Time,
        ramps: bool,
    ) -> Vec<HealthAction> {
        let mut models = vec![member.model.clone()];
        if let Some(state) = self.targets.get_mut(&target) {
            models.push(state.member.model.clone());
            state.member = member;
        } else {
            let state = State {
                member,
                stats: Stats::default(),
                ejected_until: None,
                ejections: 0,
                admitted_at: now,
                ramps,
                kept: None,
            };
            self.targets.insert(target, state);
        }
        models.dedup();
        let restored = models.iter().flat_map(|m| self.restore_floor(m, now));
        restored.collect()
    }

    /// Forgets a target. Returns readmissions that the floor requires now.
    pub fn remove(&mut self, target: &str, now: Time) -> Vec<HealthAction> {
        match self.targets.remove(target) {
            Some(state) => self.restore_floor(&state.member.model, now),
            None => Vec::new(),
        }
    }

    /// Takes a result in. Results of work that began before an ejection are ignored.
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
            // A success ends an episode of failures, but a slow target succeeds all the time.
            state.kept = state.kept.filter(|cause| *cause == EjectCause::Slow);
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

    /// Ejects slow targets and readmits targets whose time is over; called about once a second.
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
        let slow = self.slow();
        for (name, state) in &mut self.targets {
            if state.kept == Some(EjectCause::Slow) && !slow.contains(name) {
                state.kept = None;
            }
        }
        for name in slow {
            out.extend(self.eject(&name, now, EjectCause::Slow));
        }
        out
    }

    /// Weight from slow start: above 0, 1 when fully warmed up. 0 if ejected or unknown.
    #[must_use]
    pub fn weight(&self, target: &str, now: Time) -> f64 {
        match self.targets.get(target) {
            Some(state) if !state.is_ejected() => self.ramp(state, now),
            _ => 0.0,
        }
    }

    /// Whether the target is ejected.
    #[must_use]
    pub fn is_ejected(&self, target: &str) -> bool {
        self.targets.get(target).is_some_and(State::is_ejected)
    }

    fn ramp(&self, state: &State, now: Time) -> f64 {
        let warm = now.saturating_sub(state.admitted_at).as_secs_f64();
        let whole = self.cfg.slow_start.as_secs_f64();
        if state.ramps && warm < whole {
            (warm / whole).max(MIN_WEIGHT)
        } else {
            1.0
        }
    }

    fn failure_limit(&self, state: &State, now: Time) -> u32 {
        let on_probation = state.ejections > 0 && self.ramp(state, now) < 1.0;
        if on_probation {
            PROBATION_FAILURES.min(self.cfg.consecutive_failures)
        } else {
            self.cfg.consecutive_failures
        }
    }

    /// Targets that are much slower than the median of their model, slowest first.
    fn slow(&self) -> Vec<TargetId> {
        let mut by_model: BTreeMap<&str, Vec<(f64, &TargetId)>> = BTreeMap::new();
        for (name, state) in self.targets.iter().filter(|(_, s)| !s.is_ejected()) {
            if let Some(slowness) = state.stats.slowness(self.cfg.min_results) {
                let model = &*state.member.model;
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

    fn eject(&mut self, target: &TargetId, now: Time, cause: EjectCause) -> Option<HealthAction> {
        let is_allowed = self.floor_allows(target);
        let state = self.targets.get_mut(target)?;
        if !is_allowed {
            let is_first = state.kept.replace(cause).is_none();
            return is_first.then(|| HealthAction::KeptByFloor {
                target: target.clone(),
                cause,
            });
        }
        let healthy = now.saturating_sub(state.admitted_at);
        let forgiven = healthy.as_secs() / FORGIVE.as_secs();
        let doublings = state.ejections.saturating_sub(forgiven as u32);
        let time = self
            .cfg
            .base_ejection
            .saturating_mul(1 << doublings.min(16));
        let until = now + time.min(self.cfg.max_ejection);
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
