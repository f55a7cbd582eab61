//! The share of the capacity of every layer that is never ejected.

use coriandercove_base::{Layer, TargetId, Time};

use super::{Health, HealthAction, State};

/// Tolerance for sums of capacities.
const EPSILON: f64 = 1e-9;

impl Health {
    /// Whether the floor holds for all layers of a target if it is ejected.
    pub(super) fn floor_allows(&self, target: &TargetId) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        let member = &state.member;
        let mut layers = self.starts(&member.model);
        layers.retain(|l| member.first_layer <= *l && *l < member.end_layer);
        let is_kept = |layer: &Layer| {
            let (active, total) = self.capacity(&member.model, *layer);
            active - member.capacity + EPSILON >= self.cfg.floor * total
        };
        layers.iter().all(is_kept)
    }

    /// Readmits targets until the floor holds for all layers of a model, those first whose
    /// ejection ends first.
    pub(super) fn restore_floor(&mut self, model: &str, now: Time) -> Vec<HealthAction> {
        let mut out = Vec::new();
        let is_ejected = |s: &State| s.is_ejected() && &*s.member.model == model;
        if !self.targets.values().any(is_ejected) {
            return out;
        }
        for layer in self.starts(model) {
            loop {
                let (active, total) = self.capacity(model, layer);
                if active + EPSILON >= self.cfg.floor * total {
                    break;
                }
                let Some(target) = self.first_to_return(model, layer) else {
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

    fn first_to_return(&self, model: &str, layer: Layer) -> Option<TargetId> {
        let held = self.targets.iter().filter(|(_, s)| s.holds(model, layer));
        let ejected = held.filter_map(|(name, s)| Some((s.ejected_until?, name)));
        ejected.min().map(|(_, name)| name.clone())
    }

    /// Layers at which the set of holders can change: the first and end layers of all members.
    fn starts(&self, model: &str) -> Vec<Layer> {
        let members = self.targets.values().map(|s| &s.member);
        let mut layers: Vec<Layer> = members
            .filter(|m| &*m.model == model)
            .flat_map(|m| [m.first_layer, m.end_layer])
            .collect();
        layers.sort_unstable();
        layers.dedup();
        layers
    }

    /// Capacity for a layer that is not ejected, and all of it.
    fn capacity(&self, model: &str, layer: Layer) -> (f64, f64) {
        let held = self.targets.values().filter(|s| s.holds(model, layer));
        held.fold((0.0, 0.0), |(active, total), state: &State| {
            let capacity = state.member.capacity;
            let counted = if state.is_ejected() { 0.0 } else { capacity };
            (active + counted, total + capacity)
        })
    }
}
