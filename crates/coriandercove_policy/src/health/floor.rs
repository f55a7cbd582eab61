//! Capacity floor: the share of the capacity of every layer that is never ejected.

use coriandercove_base::{Layer, TargetId, Time};

use super::{Health, HealthAction, TargetHealth};

/// Tolerance for rounding errors in sums of capacities.
const EPSILON: f64 = 1e-9;

impl Health {
    /// Whether the floor still holds for all layers of a target if the target is ejected.
    pub(super) fn floor_allows(&self, target: &TargetId) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        let held = &state.layers;
        let mut boundaries = self.layer_boundaries(&held.model);
        boundaries.retain(|l| held.first_layer <= *l && *l < held.end_layer);
        let floor_holds = |layer: &Layer| {
            let (active, total) = self.capacity(&held.model, *layer);
            active - held.capacity + EPSILON >= self.cfg.floor * total
        };
        boundaries.iter().all(floor_holds)
    }

    /// Readmits targets until the floor holds for all layers of a model, in the order in which
    /// their ejections end.
    pub(super) fn restore_floor(&mut self, model: &str, now: Time) -> Vec<HealthAction> {
        let mut out = Vec::new();
        let is_ejected = |s: &TargetHealth| s.is_ejected() && &*s.layers.model == model;
        if !self.targets.values().any(is_ejected) {
            return out;
        }
        for layer in self.layer_boundaries(model) {
            loop {
                let (active, total) = self.capacity(model, layer);
                if active + EPSILON >= self.cfg.floor * total {
                    break;
                }
                let Some(target) = self.first_to_readmit(model, layer) else {
                    break;
                };
                if let Some(state) = self.targets.get_mut(&target) {
                    state.readmit(now);
                }
                out.push(HealthAction::Readmit { target });
            }
        }
        out
    }

    /// Returns the ejected target of a layer whose ejection ends first.
    fn first_to_readmit(&self, model: &str, layer: Layer) -> Option<TargetId> {
        let held = self
            .targets
            .iter()
            .filter(|(_, s)| s.holds_layer(model, layer));
        let ejected = held.filter_map(|(name, s)| Some((s.ejected_until?, name)));
        ejected.min().map(|(_, name)| name.clone())
    }

    /// Layers at which the set of targets that hold a layer can change: the first and end layers of
    /// all targets of the model.
    fn layer_boundaries(&self, model: &str) -> Vec<Layer> {
        let held = self.targets.values().map(|s| &s.layers);
        let mut boundaries: Vec<Layer> = held
            .filter(|l| &*l.model == model)
            .flat_map(|l| [l.first_layer, l.end_layer])
            .collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        boundaries
    }

    /// Returns the capacity of a layer that is not ejected, and its total capacity.
    fn capacity(&self, model: &str, layer: Layer) -> (f64, f64) {
        let held = self
            .targets
            .values()
            .filter(|s| s.holds_layer(model, layer));
        held.fold((0.0, 0.0), |(active, total), state: &TargetHealth| {
            let capacity = state.layers.capacity;
            let counted = if state.is_ejected() { 0.0 } else { capacity };
            (active + counted, total + capacity)
        })
    }
}
