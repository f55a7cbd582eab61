//! Ejection of failing and slow targets, re-admission and slow start.

use std::time::Duration;

use coriandercove_base::{Layer, ModelId, TargetId, Time, data};

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

/// Health of all targets as one entry sees it.
#[derive(Debug)]
pub struct Health {}

impl Health {
    /// No targets.
    #[must_use]
    pub fn new(cfg: HealthConfig) -> Self {
        unimplemented!()
    }

    /// Adds a target or changes what it is needed for; a new target starts slowly if `ramp`.
    pub fn insert(&mut self, target: TargetId, member: Member, now: Time, ramp: bool) {
        unimplemented!()
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &str) {
        unimplemented!()
    }

    /// Takes a result in.
    pub fn on_result(&mut self, target: &str, now: Time, outcome: Outcome) -> Vec<HealthAction> {
        unimplemented!()
    }

    /// Ejects slow targets and readmits targets whose time is over; called about once a second.
    pub fn tick(&mut self, now: Time) -> Vec<HealthAction> {
        unimplemented!()
    }

    /// Weight from slow start: above 0, 1 when fully warmed up. 0 if ejected or unknown.
    #[must_use]
    pub fn weight(&self, target: &str, now: Time) -> f64 {
        unimplemented!()
    }

    /// Whether the target is ejected.
    #[must_use]
    pub fn is_ejected(&self, target: &str) -> bool {
        unimplemented!()
    }
}
