//! Divides the layers of a model among targets with different accelerators.
//!
//! Answers two load patterns. At the start, the whole fleet is empty and every chain is laid out at
//! once. After losses, the targets that are left or new take the layers that are served thinnest,
//! and targets that serve keep what they hold, so that no load takes capacity away.

use std::sync::Arc;

use coriandercove_base::{TargetId, ZoneId};

use crate::fleet::LayerRange;
use crate::routes::{Accelerator, EngineModel};

/// Requests of usual size that a chain should have room for at once.
///
/// From the engines' figures: at this number the memory for layers and the memory for requests of
/// the mixed accelerators carry about the same load.
pub const STREAMS_PER_CHAIN: f64 = 80.0;

/// Bytes of a MB as the engines count them.
const MB: f64 = 1e6;

/// A target that can hold layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// The target.
    pub id: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its accelerator.
    pub accelerator: Accelerator,
    /// Layers that it holds or loads now.
    pub layers: Option<LayerRange>,
}

/// Layers for one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The target.
    pub id: TargetId,
    /// Layers that it should hold.
    pub layers: LayerRange,
}

/// KV cache that a target has beside `layers` layers, in tokens x layers.
#[must_use]
pub fn kv_capacity(engine: &EngineModel, accelerator: &Accelerator, layers: u16) -> u64 {
    let left = accelerator.memory_mb - engine.layer_mb * f64::from(layers);
    let per_token_layer = engine.kv_token_bytes / f64::from(engine.layers.max(1));
    (left * MB / per_token_layer).max(0.0) as u64
}

/// Layers that a target holds such that `tokens` tokens of requests fit beside them; at least one
/// if the memory holds one.
#[must_use]
pub fn layers_for(engine: &EngineModel, accelerator: &Accelerator, tokens: f64) -> u16 {
    let kv_mb = tokens * engine.kv_token_bytes / f64::from(engine.layers.max(1)) / MB;
    let fit = (accelerator.memory_mb / (engine.layer_mb + kv_mb)).floor();
    let most = (accelerator.memory_mb / engine.layer_mb).floor();
    fit.max(1.0).min(most).min(f64::from(engine.layers)) as u16
}

/// Assigns layers to every target that has none; targets that hold layers keep them.
///
/// If no target holds layers, whole chains are laid out, inside a zone where they fit. Otherwise
/// the free targets take the ranges with the least capacity.
#[must_use]
pub fn plan(engine: &EngineModel, holders: &[Holder]) -> Vec<Assignment> {
    let tokens = STREAMS_PER_CHAIN * (engine.usual_prompt + engine.usual_answer);
    let mut free: Vec<&Holder> = holders.iter().filter(|h| h.layers.is_none()).collect();
    // The same order at every entry, fast accelerators first.
    free.sort_by(|a, b| {
        let by_speed = a
            .accelerator
            .decode_factor
            .total_cmp(&b.accelerator.decode_factor);
        by_speed.then(a.id.cmp(&b.id))
    });
    if free.is_empty() {
        return Vec::new();
    }
    let mut out = Vec::new();
    if holders.iter().all(|h| h.layers.is_none()) {
        free = lay_out(engine, &free, tokens, &mut out);
    }
    fill(engine, holders, &free, tokens, &mut out);
    out
}

/// Lays out whole chains: first within zones, then over zones. Returns the targets left over.
fn lay_out<'a>(
    engine: &EngineModel,
    free: &[&'a Holder],
    tokens: f64,
    out: &mut Vec<Assignment>,
) -> Vec<&'a Holder> {
    let mut zones: Vec<&Arc<str>> = free.iter().map(|h| &h.zone).collect();
    zones.sort();
    zones.dedup();
    let mut left = Vec::new();
    for zone in zones {
        let mut members: Vec<&Holder> = free.iter().filter(|h| h.zone == *zone).copied().collect();
        while let Some(n) = chain_length(engine, &members, tokens) {
            let chain: Vec<&Holder> = members.drain(..n).collect();
            assign_chain(engine, &chain, tokens, out);
        }
        left.extend(members);
    }
    // What is left of each zone stays together, so that a chain changes zones seldom.
    while let Some(n) = chain_length(engine, &left, tokens) {
        let chain: Vec<&Holder> = left.drain(..n).collect();
        assign_chain(engine, &chain, tokens, out);
    }
    left
}

/// How many of the first targets hold all layers together.
fn chain_length(engine: &EngineModel, members: &[&Holder], tokens: f64) -> Option<usize> {
    let mut sum = 0;
    for (i, h) in members.iter().enumerate() {
        sum += layers_for(engine, &h.accelerator, tokens);
        if sum >= engine.layers {
            return Some(i + 1);
        }
    }
    None
}

/// Gives adjacent ranges to the targets of a chain; what exceeds the model is taken off the
/// slowest.
fn assign_chain(
    engine: &EngineModel,
    chain: &[&Holder],
    tokens: f64,
    out: &mut Vec<Assignment>,
) {
    let mut sizes: Vec<u16> = chain
        .iter()
        .map(|h| layers_for(engine, &h.accelerator, tokens))
        .collect();
    let mut excess = sizes.iter().sum::<u16>() - engine.layers;
    let mut by_slowness: Vec<usize> = (0..chain.len()).collect();
    by_slowness.sort_by(|a, b| {
        let slowness = |i: &usize| chain[*i].accelerator.decode_factor;
        slowness(b).total_cmp(&slowness(a))
    });
    while excess > 0 {
        for i in &by_slowness {
            if excess > 0 && sizes[*i] > 1 {
                sizes[*i] -= 1;
                excess -= 1;
            }
        }
    }
    let mut first = 0;
    for (h, size) in chain.iter().zip(sizes) {
        out.push(Assignment {
            id: h.id.clone(),
            layers: LayerRange::new(first, first + size),
        });
        first += size;
    }
}

/// Gives each free target the range with the least capacity, the thinnest layer first.
fn fill(
    engine: &EngineModel,
    holders: &[Holder],
    free: &[&Holder],
    tokens: f64,
    out: &mut Vec<Assignment>,
) {
    let mut capacity = vec![0.0; usize::from(engine.layers)];
    for h in holders {
        if let Some(range) = h.layers {
            add_capacity(&mut capacity, &h.accelerator, range);
        }
    }
    for a in out.iter() {
        if let Some(h) = holders.iter().find(|h| h.id == a.id) {
            add_capacity(&mut capacity, &h.accelerator, a.layers);
        }
    }
    for h in free {
        let size = layers_for(engine, &h.accelerator, tokens);
        let layers = thinnest(&capacity, size, h, holders, out);
        add_capacity(&mut capacity, &h.accelerator, layers);
        out.push(Assignment {
            id: h.id.clone(),
            layers,
        });
    }
}

fn add_capacity(capacity: &mut [f64], accelerator: &Accelerator, range: LayerRange) {
    let end = usize::from(range.end).min(capacity.len());
    let start = usize::from(range.first).min(end);
    for c in &mut capacity[start..end] {
        *c += 1.0 / accelerator.decode_factor;
    }
}

/// The window of `size` layers that covers the thinnest layers; at equal gain the one that begins
/// where another range of the zone ends, so that paths stay inside the zone.
fn thinnest(
    capacity: &[f64],
    size: u16,
    holder: &Holder,
    holders: &[Holder],
    out: &[Assignment],
) -> LayerRange {
    let layers = capacity.len() as u16;
    let size = size.min(layers);
    let least = capacity.iter().copied().fold(f64::INFINITY, f64::min);
    let ends = zone_boundaries(holder, holders, out);
    let mut best = (f64::NEG_INFINITY, 0);
    for first in 0..=(layers - size) {
        let window = &capacity[usize::from(first)..usize::from(first + size)];
        // Layers near the minimum count most.
        let need: f64 = window.iter().map(|c| 1.0 / (0.05 + c - least)).sum();
        let aligned = ends.binary_search(&first).is_ok();
        let gain = need * if aligned { 1.0 + ALIGNMENT } else { 1.0 };
        if gain > best.0 {
            best = (gain, first);
        }
    }
    LayerRange::new(best.1, best.1 + size)
}

/// Preference for a window that begins where another range of the zone ends.
const ALIGNMENT: f64 = 0.02;

fn zone_boundaries(holder: &Holder, holders: &[Holder], out: &[Assignment]) -> Vec<u16> {
    let mut ends = vec![0];
    for h in holders.iter().filter(|h| h.zone == holder.zone) {
        let assigned = out.iter().find(|a| a.id == h.id).map(|a| a.layers);
        ends.extend(h.layers.or(assigned).map(|l| l.end));
    }
    ends.sort_unstable();
    ends.dedup();
    ends
}

#[cfg(test)]
mod tests;
