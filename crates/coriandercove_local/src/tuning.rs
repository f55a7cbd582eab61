//! Settings of the engine stand-ins of a plan, which measurements change.

use std::time::Duration;

use coriandercove_config::LayerCompute;
use coriandercove_standin::engine::{CostModel, EngineSettings};

use crate::plan::{EnginePlan, Plan};

/// Changes to the default settings that the engine stand-ins of a plan have for their accelerators.
///
/// On a machine with few cores, the stand-ins need slower and smaller iterations than real
/// accelerators. Otherwise a measurement shows the CPU time of the machine instead of the router.
#[derive(Debug, Clone, Default)]
pub struct EngineTuning {
    /// Factor on all times of the cost model; the default is 1.
    pub slowdown: Option<u32>,
    /// Maximum number of sequences in one iteration; the stand-in's default if absent.
    pub max_batch: Option<u32>,
    /// Whether the configuration states the expected compute times of each kind of accelerator.
    pub compute_known: bool,
}

impl Plan {
    /// Returns the settings of the stand-in for an engine of this plan.
    #[must_use]
    pub fn engine_settings(&self, engine: &EnginePlan, seed: u64) -> EngineSettings {
        let (first, end) = (engine.first_layer, engine.end_layer);
        let mut settings = EngineSettings::new(&self.model, first, end, self.layers);
        settings.info.accelerator.clone_from(&engine.accelerator);
        if let Some(cost) = CostModel::for_accelerator(&engine.accelerator) {
            settings.cost = cost;
        }
        settings.cost = slowed(settings.cost, self.tuning.slowdown.unwrap_or(1));
        if let Some(max_batch) = self.tuning.max_batch {
            settings.info.max_batch = max_batch;
        }
        settings.seed = seed;
        settings
    }

    /// Returns the expected compute times of one layer on each kind of accelerator of the plan,
    /// sorted by kind; empty unless [`EngineTuning::compute_known`] is set.
    #[must_use]
    pub fn compute(&self) -> Vec<LayerCompute> {
        if !self.tuning.compute_known {
            return Vec::new();
        }
        let mut compute: Vec<LayerCompute> = self
            .engines
            .iter()
            .map(|engine| layer_compute(&self.engine_settings(engine, 0)))
            .collect();
        compute.sort_by(|a, b| a.accelerator.cmp(&b.accelerator));
        compute.dedup_by(|a, b| a.accelerator == b.accelerator);
        compute
    }
}

/// Multiplies all times of a cost model by `factor`.
fn slowed(cost: CostModel, factor: u32) -> CostModel {
    CostModel {
        base: cost.base * factor,
        decode_layer: cost.decode_layer * factor,
        prefill_layer: cost.prefill_layer * factor,
    }
}

/// Returns the compute times of one layer when the iterations of the engine contain `max_batch`
/// sequences.
fn layer_compute(settings: &EngineSettings) -> LayerCompute {
    let batch = u64::from(settings.info.max_batch);
    let iteration = settings.cost.iteration(batch * settings.layers(), 0);
    let layer: Duration = iteration / settings.layers().max(1) as u32;
    LayerCompute {
        accelerator: settings.info.accelerator.clone(),
        decode_us: layer.as_micros() as u32,
        prefill_ns: settings.cost.prefill_layer.as_nanos() as u32,
    }
}
